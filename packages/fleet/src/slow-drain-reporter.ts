import {SubjectKind, type Decision} from '@gentiandoor/kernel';
import {
  PlannedWorkStep,
  checkDrained,
  type FleetState,
  type PlannedWork,
} from '@gentiandoor/shared-state';

/** A drain that takes longer is named; exchanges of the offices' services end within minutes. */
const SLOW_DRAIN_MILLISECONDS = 60_000;

/**
 * Names what holds planned stops up: one daemon that cannot acknowledge, or a long job, holds
 * a move or reboot for as long as it lasts, and operators must be told which. Each drain is
 * named once for each thing that it waits for.
 */
export class SlowDrainReporter {
  private readonly drainingSince = new Map<number, number>();
  private readonly reportedCauses = new Map<number, string>();

  /** Decisions to wait, for drains that have become slow since the last look. */
  report(state: FleetState, now: number): Decision[] {
    const decisions: Decision[] = [];
    const present = new Set<number>();
    for (const work of state.work.values()) {
      if (work.step !== PlannedWorkStep.Draining) continue;
      present.add(work.startedAt);
      const decision = this.reportDrain(state, work, now);
      if (decision) decisions.push(decision);
    }
    this.forgetOthers(present);
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
      decision: `wait with the ${work.kind} of VM ${work.vm}`,
      rule: 'drain-watch: nothing goes on before each daemon and job has let go',
      cause,
      evidence: {waitedMilliseconds: now - since, startedAt},
      turnedDown: [
        {choice: 'go on without them', because: 'a request would be cut'},
      ],
    };
  }

  private forgetOthers(present: ReadonlySet<number>): void {
    for (const known of [this.drainingSince, this.reportedCauses])
      for (const startedAt of known.keys())
        if (!present.has(startedAt)) known.delete(startedAt);
  }
}
