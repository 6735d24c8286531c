import type {SelectionRequest} from './target-selector.js';
import type {RoutableTarget, TargetEntry} from './target-entry.js';
import {OutcomeKind, type TargetOutcome} from './target-outcome.js';
import type {QueueRejectionReason, QueuedRequest} from './request-queue.js';

/** A request that wants a slot of the pool. Exactly one of `grant` and `refuse` is called, once. */
export interface SlotRequest extends QueuedRequest, SelectionRequest {
  grant(slot: PoolSlot): void;
  refuse(refusal: SlotRefusal): void;
}

/** Why a request got no slot. */
export interface SlotRefusal {
  /** Undefined when the pool has no target that could ever take it now. */
  readonly reason: QueueRejectionReason | undefined;
  /** Whether the team's quota kept it waiting. */
  readonly isQuotaExhausted: boolean;
  /** Whole seconds after which to come again. */
  readonly retryAfterSeconds: number;
}

/** What a granted slot tells its pool. */
export interface SlotIssuer {
  isRoutable(entry: TargetEntry): boolean;
  onOutcome(slot: PoolSlot, outcome: TargetOutcome): void;
  onReleased(slot: PoolSlot): void;
}

/** A granted slot. */
export class PoolSlot {
  /** Whether the exchange ended with an answer that is no failure. */
  wasAnswered = false;
  private isReleased = false;

  constructor(
    private readonly pool: SlotIssuer,
    readonly entry: TargetEntry,
    readonly request: SlotRequest,
    /** Monotonic milliseconds of the grant. */
    readonly startedAt: number,
  ) {}

  get target(): RoutableTarget {
    return this.entry.target;
  }

  /** Asked directly before the first byte goes out. */
  isRoutable(): boolean {
    return this.pool.isRoutable(this.entry);
  }

  /** What the exchange showed of the target. */
  report(outcome: TargetOutcome): void {
    this.wasAnswered = outcome.kind === OutcomeKind.Succeeded;
    this.pool.onOutcome(this, outcome);
  }

  /** Gives the slot back; a second call does nothing. */
  release(): void {
    if (this.isReleased) return;
    this.isReleased = true;
    this.pool.onReleased(this);
  }
}
