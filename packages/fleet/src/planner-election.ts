import {jitter, type RandomSource} from '@gentiandoor/kernel';
import {plannerOf, type FleetState} from '@gentiandoor/shared-state';

/** Limits of the election, in milliseconds. */
export interface PlannerElectionOptions {
  /** Maximum interval between two records of the planner. */
  readonly renewMilliseconds: number;
  /** A planner that has written nothing for this long is replaced. */
  readonly failoverMilliseconds: number;
  /**
   * Delay before taking over a vacant role; jittered, so that daemons do not all append at once.
   */
  readonly takeoverDelayMilliseconds: number;
}

/** Four renewals may be lost before a planner is replaced; a slow takeover causes no loss. */
export const PLANNER_ELECTION_DEFAULTS: PlannerElectionOptions = {
  renewMilliseconds: 15_000,
  failoverMilliseconds: 60_000,
  takeoverDelayMilliseconds: 2000,
};

/** What a daemon does about the planner role now. */
export enum ElectionAction {
  Wait = 'wait',
  TakeOver = 'take',
  Plan = 'plan',
}

/**
 * Decides when a daemon tries to become the planner.
 * Load: a planner that stops, hangs or is unreachable. Without an election planned work would end
 * with its daemon. Times only decide when to try: the log decides who plans, so a wrong clock costs
 * a change of planner and nothing else. The time without records of the planner is measured on this
 * daemon's own monotonic clock; it does not run while the log is unreachable, since no records can
 * be read then.
 */
export class PlannerElection {
  private lastRecordOffset = -1;
  private lastTerm = -1;
  private timeoutStartedAt = 0;
  private takeoverDelayMilliseconds: number;

  constructor(
    private readonly incarnation: string,
    private readonly random: RandomSource,
    private readonly options = PLANNER_ELECTION_DEFAULTS,
  ) {
    this.takeoverDelayMilliseconds = jitter(
      random,
      2 * options.takeoverDelayMilliseconds,
    );
  }

  next(
    state: FleetState,
    now: number,
    isLogReachable: boolean,
  ): ElectionAction {
    const planner = plannerOf(state);
    const hasNewRecord =
      planner.heardAt !== this.lastRecordOffset ||
      planner.term !== this.lastTerm;
    if (hasNewRecord || !isLogReachable) this.restartTimeout(planner, now);
    if (!state.members.has(this.incarnation)) return ElectionAction.Wait;
    if (planner.holder === this.incarnation) return ElectionAction.Plan;
    const limit = state.members.has(planner.holder)
      ? this.options.failoverMilliseconds + this.takeoverDelayMilliseconds
      : this.takeoverDelayMilliseconds;
    if (now - this.timeoutStartedAt < limit) return ElectionAction.Wait;
    this.restartTimeout(planner, now);
    return ElectionAction.TakeOver;
  }

  /** Whether the planner should write a record only to show that it is alive. */
  shouldRenew(now: number): boolean {
    return now - this.timeoutStartedAt >= this.options.renewMilliseconds;
  }

  private restartTimeout(
    planner: {readonly heardAt: number; readonly term: number},
    now: number,
  ): void {
    this.lastRecordOffset = planner.heardAt;
    this.lastTerm = planner.term;
    this.timeoutStartedAt = now;
    this.takeoverDelayMilliseconds = jitter(
      this.random,
      2 * this.options.takeoverDelayMilliseconds,
    );
  }
}
