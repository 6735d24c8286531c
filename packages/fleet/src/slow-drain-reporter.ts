import {SubjectKind, type Decision} from '@gentiandoor/kernel';
import {
  PlannedWorkStep,
  checkDrained,
  type FleetState,
  type PlannedWork,
} from '@gentiandoor/shared-state';

/**
 * A drain that takes longer than this is reported; exchanges of the offices' services end within
 * minutes.
 */
const SLOW_DRAIN_MILLISECONDS = 60_000;

/**
 * Reports what delays planned stops: one daemon that cannot acknowledge, or a long job, delays a
 * move or reboot for as long as it lasts, and operators must know which. Each drain is reported
 * once per cause.
 */
export class SlowDrainReporter {
  private readonly drainingSince = new Map<number, number>();
  private readonly reportedCauses = new Map<number, string>();

  /** Returns the decisions to wait, for drains that have become slow since the last call. */
  report(state: FleetState, now: number): Decision[] {
    const decisions: Decision[] = [];
    const draining = new Set<number>();
    for (const work of state.work.values()) {
      if (work.step !== PlannedWorkStep.Draining) continue;
      draining.add(work.startedAt);
      const decision = this.reportDrain(state, work, now);
      if (decision) decisions.push(decision);
    }
    this.forgetOthers(draining);
    return decisions;
  }

  private reportDrain(
    state: FleetState,
    work: PlannedWork,
    now: number,
  ): Decision | undefined {
    const {startedAt} = work;
    const since = this.drainingSince.get(startedAt) ?? now;
    this.drainingSince.set(startedAt, since);
    if (now - since < SLOW_DRAIN_MILLISECONDS) return undefined;
    const cause = checkDrained(state, work)?.detail;
    if (cause === undefined || cause === this.reportedCauses.get(startedAt))
      return undefined;
    this.reportedCauses.set(startedAt, cause);
    return {
      subject: SubjectKind.Vm,
      id: work.vm,
      decision: `delay the ${work.kind} of VM ${work.vm}`,
      rule: 'drain-watch: nothing goes on before each daemon and job has let go',
      cause,
      evidence: {waitedMilliseconds: now - since, startedAt},
      turnedDown: [
        {
          choice: 'continue without waiting for them',
          because: 'a request would be cut off',
        },
      ],
    };
  }

  private forgetOthers(draining: ReadonlySet<number>): void {
    for (const entries of [this.drainingSince, this.reportedCauses])
      for (const startedAt of entries.keys())
        if (!draining.has(startedAt)) entries.delete(startedAt);
  }
}
