import {SubjectKind, type Decision} from '@gentiandoor/kernel';
import {
  WorkStep,
  checkDrained,
  type FleetState,
  type PlannedWork,
} from '@gentiandoor/shared-state';

/** A drain that takes longer is named; exchanges of the offices' services end within minutes. */
const SLOW_MILLISECONDS = 60_000;

/**
 * Names what holds planned stops up: one daemon that cannot acknowledge, or a long job, holds
 * a move or reboot for as long as it lasts, and operators must be told which. Each drain is
 * named once for each thing that it waits for.
 */
export class DrainWatch {
  private readonly since = new Map<number, number>();
  private readonly named = new Map<number, string>();

  /** Decisions to wait, for drains that have become slow since the last look. */
  look(state: FleetState, now: number): Decision[] {
    const decisions: Decision[] = [];
    const present = new Set<number>();
    for (const work of state.work.values()) {
      if (work.step !== WorkStep.Draining) continue;
      present.add(work.startedAt);
      const decision = this.lookAt(state, work, now);
      if (decision) decisions.push(decision);
    }
    this.forgetOthers(present);
    return decisions;
  }

  private lookAt(
    state: FleetState,
    work: PlannedWork,
    now: number,
  ): Decision | undefined {
    const {startedAt} = work;
    const since = this.since.get(startedAt) ?? now;
    this.since.set(startedAt, since);
    if (now - since < SLOW_MILLISECONDS) return undefined;
    const cause = checkDrained(state, work)?.detail;
    if (cause === undefined || cause === this.named.get(startedAt))
      return undefined;
    this.named.set(startedAt, cause);
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
    for (const known of [this.since, this.named])
      for (const startedAt of known.keys())
        if (!present.has(startedAt)) known.delete(startedAt);
  }
}
