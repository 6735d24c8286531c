import type {WorkLength} from './work-length.js';

/** A team as the queue needs it. */
export interface TeamPolicy {
  readonly name: string;
  /** Share relative to other teams. */
  readonly weight: number;
  /** Slots at one time over the whole deployment. */
  readonly slots: number;
  readonly urgent: boolean;
}

/** A request that waits. Team and caller come from authenticated identity, never from the request's own words. */
export interface QueuedRequest {
  readonly service: string;
  /** Requests of the service that may wait here. */
  readonly queueLimit: number;
  readonly work: WorkLength;
  readonly team: TeamPolicy;
  readonly caller: string;
  /** Monotonic milliseconds at which it began to wait. */
  readonly enqueuedAt: number;
  /** Monotonic milliseconds after which it is turned away. */
  readonly deadline: number;
}

/** Why a waiter was turned away. */
export enum QueueRejectionReason {
  /** As many wait as may. */
  Full = 'full',
  /** It waited, or would wait, past its deadline. */
  DeadlineExceeded = 'late',
  /** A standing queue is kept short. */
  StandingQueue = 'standing',
}

/** A waiter that the queue gave up. */
export interface QueueRejection<Item extends QueuedRequest> {
  readonly item: Item;
  readonly reason: QueueRejectionReason;
}

/** Requests that wait for a slot of one pool. An item is handed out or turned away, never both. */
export interface RequestQueue<Item extends QueuedRequest> {
  readonly length: number;
  /** Requests of one service that wait. */
  lengthOf(service: string): number;
  /** Takes the item in; returns whom it turned away for it, the item itself among them or not. */
  enqueue(item: Item, now: number): readonly QueueRejection<Item>[];
  /** Takes out the next item to run among those that `mayRun` allows. */
  dequeue(now: number, mayRun: (item: Item) => boolean): Item | undefined;
  /** Takes out an item whose caller gave up; false when it is no longer waiting. */
  remove(item: Item): boolean;
  /** Takes out all items that must be turned away by now. */
  removeExpired(now: number): readonly QueueRejection<Item>[];
}
