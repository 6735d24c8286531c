import type {WorkLength} from './work-length.js';

/** What the queue needs to know about a team. */
export interface TeamPolicy {
  readonly name: string;
  /** Share relative to other teams. */
  readonly weight: number;
  /** Maximum slots in use at one time in the whole deployment. */
  readonly slots: number;
  readonly urgent: boolean;
}

/**
 * A request that waits for a slot. Team and caller come from the authenticated identity, never from
 * the content of the request.
 */
export interface QueuedRequest {
  readonly service: string;
  /** Maximum requests of the service that may wait here. */
  readonly queueLimit: number;
  readonly work: WorkLength;
  readonly team: TeamPolicy;
  readonly caller: string;
  /** Monotonic milliseconds at which it started to wait. */
  readonly enqueuedAt: number;
  /** Monotonic milliseconds after which it is rejected. */
  readonly deadline: number;
}

/** Why a queued request was rejected. */
export enum QueueRejectionReason {
  /** The maximum number of requests is already waiting. */
  Full = 'full',
  /** It has waited, or would wait, past its deadline. */
  DeadlineExceeded = 'late',
  /** Its wait exceeds what is allowed in a standing queue, which is kept short. */
  StandingQueue = 'standing',
}

/** A request that the queue rejected. */
export interface QueueRejection<Item extends QueuedRequest> {
  readonly item: Item;
  readonly reason: QueueRejectionReason;
}

/**
 * Requests that wait for a slot of one pool. Each item is either dequeued or rejected, never both.
 */
export interface RequestQueue<Item extends QueuedRequest> {
  readonly length: number;
  /** Returns how many requests of one service wait. */
  lengthOf(service: string): number;
  /** Adds the item; returns the items rejected as a result, which may include the item itself. */
  enqueue(item: Item, now: number): readonly QueueRejection<Item>[];
  /** Removes and returns the next item that `mayRun` allows. */
  dequeue(now: number, mayRun: (item: Item) => boolean): Item | undefined;
  /** Removes an item whose caller gave up; returns false if it is no longer waiting. */
  remove(item: Item): boolean;
  /** Removes and returns all items that must be rejected by now. */
  removeExpired(now: number): readonly QueueRejection<Item>[];
}
