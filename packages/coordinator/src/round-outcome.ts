import type {PlacementShortage} from '@gentiandoor/scheduling';
import type {RoundCause} from './round-cause.js';

/** Limit for which a placement round leaves tasks, whatever capacity is free. */
export enum RoundLimit {
  /** Too many steps before them, none of which requests more, found the pool full. */
  Misses = 'miss_limit',
  Organisation = 'organisation_limit',
  OrdersInFlight = 'orders_in_flight',
}

/** Why a placement round left a ready task waiting. */
export type WaitReason = PlacementShortage | RoundLimit;

/** What a placement round of a service did. */
export interface RoundSummary {
  readonly service: string;
  readonly causes: ReadonlySet<RoundCause>;
  /** Number of tasks that it placed. */
  readonly placed: number;
  /** Number of ready tasks that it left, by reason. */
  readonly waiting: ReadonlyMap<WaitReason, number>;
}

/** Is notified of each placement round. */
export interface RoundObserver {
  noteRound(round: RoundSummary): void;
}

/** Counts what a placement round places and leaves. */
export class RoundOutcome {
  private placed = 0;
  private readonly waiting = new Map<WaitReason, number>();

  notePlaced(tasks: readonly unknown[]): void {
    this.placed += tasks.length;
  }

  noteWaiting(tasks: readonly unknown[], reason: WaitReason): void {
    this.waiting.set(reason, (this.waiting.get(reason) ?? 0) + tasks.length);
  }

  summaryOf(service: string, causes: ReadonlySet<RoundCause>): RoundSummary {
    return {service, causes, placed: this.placed, waiting: this.waiting};
  }
}
