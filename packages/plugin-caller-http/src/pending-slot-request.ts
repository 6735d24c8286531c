import {ErrorKind, RequestError} from '@gentiandoor/kernel';
import {
  QueueRejectionReason,
  type PoolSlot,
  type SlotRequest,
  type SlotPool,
  type SlotRefusal,
  type TargetOutcome,
  type TeamPolicy,
  type WorkLength,
} from '@gentiandoor/decisions';
import type {HeldSlot} from './service-router.js';

/** Fields of a slot request that a pool bases its decision on. */
export type SlotRequestFields = Omit<SlotRequest, 'grant' | 'refuse'>;

const ERROR_KIND_BY_REJECTION: Readonly<
  Record<QueueRejectionReason, ErrorKind>
> = {
  [QueueRejectionReason.Full]: ErrorKind.QueueFull,
  [QueueRejectionReason.DeadlineExceeded]: ErrorKind.QueueTimeout,
  [QueueRejectionReason.StandingQueue]: ErrorKind.QueueDropped,
};

/** A request for a slot of a pool, which is granted or refused once. */
export class PendingSlotRequest implements SlotRequest {
  readonly service: string;
  readonly queueLimit: number;
  readonly work: WorkLength;
  readonly team: TeamPolicy;
  readonly caller: string;
  readonly idempotent: boolean;
  readonly tried: ReadonlySet<string> | undefined;
  readonly enqueuedAt: number;
  readonly deadline: number;
  /** True until the request is granted, refused or cancelled. */
  isWaiting = true;
  private removeAbortListener: (() => void) | undefined;

  constructor(
    fields: SlotRequestFields,
    private readonly onGranted: (slot: PoolSlot) => void,
    private readonly onRejected: (error: RequestError) => void,
  ) {
    this.service = fields.service;
    this.queueLimit = fields.queueLimit;
    this.work = fields.work;
    this.team = fields.team;
    this.caller = fields.caller;
    this.idempotent = fields.idempotent;
    this.tried = fields.tried;
    this.enqueuedAt = fields.enqueuedAt;
    this.deadline = fields.deadline;
  }

  grant(slot: PoolSlot): void {
    this.markSettled();
    this.onGranted(slot);
  }

  refuse(refusal: SlotRefusal): void {
    this.markSettled();
    this.onRejected(refusalError(refusal));
  }

  /**
   * Cancels the request when the caller disconnects. Otherwise it would hold a place in the queue,
   * and then a slot, ahead of callers that still wait.
   */
  cancelOnAbort(signal: AbortSignal | undefined, pool: SlotPool): void {
    if (!signal) return;
    const cancel = () => {
      if (!pool.cancel(this)) return;
      this.markSettled();
      const detail = 'the caller left the queue';
      this.onRejected(new RequestError(ErrorKind.CallerGone, detail));
    };
    if (signal.aborted) {
      cancel();
      return;
    }
    signal.addEventListener('abort', cancel, {once: true});
    this.removeAbortListener = () =>
      signal.removeEventListener('abort', cancel);
  }

  private markSettled(): void {
    this.isWaiting = false;
    this.removeAbortListener?.();
  }
}

/** Wraps a slot of a pool for one exchange; it is released at most once. */
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

  /** At most one per exchange: eight daemons with eight slots each fill the 64 connections. */
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

function refusalError(refusal: SlotRefusal): RequestError {
  const {reason, isQuotaExhausted, retryAfterSeconds} = refusal;
  if (reason === undefined) {
    const detail = 'no VM can take the request';
    return new RequestError(ErrorKind.NoTarget, detail, {retryAfterSeconds});
  }
  const kind = isQuotaExhausted
    ? ErrorKind.QuotaExceeded
    : ERROR_KIND_BY_REJECTION[reason];
  const detail = `turned away: ${reason}`;
  return new RequestError(kind, detail, {retryAfterSeconds});
}
