import type {SelectionRequest} from './target-selector.js';
import type {RoutableTarget, TargetEntry} from './target-entry.js';
import {OutcomeKind, type TargetOutcome} from './target-outcome.js';
import type {QueueRejectionReason, QueuedRequest} from './request-queue.js';

/** A request for a slot of the pool. Exactly one of `grant` and `refuse` is called, once. */
export interface SlotRequest extends QueuedRequest, SelectionRequest {
  grant(slot: PoolSlot): void;
  refuse(refusal: SlotRefusal): void;
}

/** Why a request was refused a slot. */
export interface SlotRefusal {
  /** Undefined if the pool has no target that can currently accept any work. */
  readonly reason: QueueRejectionReason | undefined;
  /** Whether the team's quota kept the request waiting. */
  readonly isQuotaExhausted: boolean;
  /** Whole seconds after which to retry. */
  readonly retryAfterSeconds: number;
}

/** Callbacks from a granted slot to its pool. */
export interface SlotIssuer {
  isRoutable(entry: TargetEntry): boolean;
  onOutcome(slot: PoolSlot, outcome: TargetOutcome): void;
  onReleased(slot: PoolSlot): void;
}

/** A granted slot. */
export class PoolSlot {
  /** Whether the exchange ended with a response that is not a failure. */
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

  /** Whether the target is still routable; checked immediately before the first byte is sent. */
  isRoutable(): boolean {
    return this.pool.isRoutable(this.entry);
  }

  /** Reports what the exchange showed about the target. */
  report(outcome: TargetOutcome): void {
    this.wasAnswered = outcome.kind === OutcomeKind.Succeeded;
    this.pool.onOutcome(this, outcome);
  }

  /** Releases the slot; later calls have no effect. */
  release(): void {
    if (this.isReleased) return;
    this.isReleased = true;
    this.pool.onReleased(this);
  }
}
