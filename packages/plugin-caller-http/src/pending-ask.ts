import {ErrorKind, RequestError} from '@gentiandoor/kernel';
import {
  TurnAway,
  type PoolSlot,
  type SlotAsk,
  type SlotPool,
  type SlotRefusal,
  type TargetOutcome,
  type TeamTerms,
  type WorkLength,
} from '@gentiandoor/decisions';
import type {HeldSlot} from './service-router.js';

/** What a pool decides by. */
export type AskTerms = Omit<SlotAsk, 'grant' | 'refuse'>;

const KIND_OF_TURN_AWAY: Readonly<Record<TurnAway, ErrorKind>> = {
  [TurnAway.Full]: ErrorKind.QueueFull,
  [TurnAway.Late]: ErrorKind.QueueTimeout,
  [TurnAway.Standing]: ErrorKind.QueueDropped,
};

/** A request that asked a pool for a slot and is granted or refused once. */
export class PendingAsk implements SlotAsk {
  readonly service: string;
  readonly queueLimit: number;
  readonly work: WorkLength;
  readonly team: TeamTerms;
  readonly caller: string;
  readonly idempotent: boolean;
  readonly tried: ReadonlySet<string> | undefined;
  readonly enteredAt: number;
  readonly deadline: number;
  /** Whether it is neither granted nor refused. */
  isWaiting = true;
  private stopListening: (() => void) | undefined;

  constructor(
    terms: AskTerms,
    private readonly onSlot: (slot: PoolSlot) => void,
    private readonly onError: (error: RequestError) => void,
  ) {
    this.service = terms.service;
    this.queueLimit = terms.queueLimit;
    this.work = terms.work;
    this.team = terms.team;
    this.caller = terms.caller;
    this.idempotent = terms.idempotent;
    this.tried = terms.tried;
    this.enteredAt = terms.enteredAt;
    this.deadline = terms.deadline;
  }

  grant(slot: PoolSlot): void {
    this.settle();
    this.onSlot(slot);
  }

  refuse(refusal: SlotRefusal): void {
    this.settle();
    this.onError(errorOf(refusal));
  }

  /**
   * Gives the place in the queue up when the caller goes: a caller that left would hold a place,
   * and then a slot, in front of those that still wait.
   */
  cancelOn(signal: AbortSignal | undefined, pool: SlotPool): void {
    if (!signal) return;
    const cancel = () => {
      if (!pool.cancel(this)) return;
      this.settle();
      const detail = 'the caller left the queue';
      this.onError(new RequestError(ErrorKind.CallerGone, detail));
    };
    if (signal.aborted) {
      cancel();
      return;
    }
    signal.addEventListener('abort', cancel, {once: true});
    this.stopListening = () => signal.removeEventListener('abort', cancel);
  }

  private settle(): void {
    this.isWaiting = false;
    this.stopListening?.();
  }
}

/** A pool's slot as the caller's edge holds it. */
export class RoutedSlot implements HeldSlot {
  private isReleased = false;

  constructor(
    private readonly slot: PoolSlot,
    private readonly onRelease: () => void,
  ) {}

  get id(): string {
    return this.slot.target.id;
  }

  get address(): string {
    return this.slot.target.address;
  }

  /** As many as exchanges: eight daemons with eight slots each fill the 64 connections. */
  get connections(): number {
    const {slots, connections} = this.slot.target;
    return Math.min(slots, connections);
  }

  isRoutable(): boolean {
    return this.slot.isRoutable();
  }

  report(outcome: TargetOutcome): void {
    this.slot.report(outcome);
  }

  release(): void {
    if (this.isReleased) return;
    this.isReleased = true;
    this.onRelease();
    this.slot.release();
  }
}

function errorOf(refusal: SlotRefusal): RequestError {
  const {reason, quotaHeld, retryAfterSeconds} = refusal;
  if (reason === undefined) {
    const detail = 'no VM can take the request';
    return new RequestError(ErrorKind.NoTarget, detail, {retryAfterSeconds});
  }
  const kind = quotaHeld ? ErrorKind.QuotaExceeded : KIND_OF_TURN_AWAY[reason];
  const detail = `turned away: ${reason}`;
  return new RequestError(kind, detail, {retryAfterSeconds});
}
