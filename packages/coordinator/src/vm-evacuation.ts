import type {Clock} from '@gentiandoor/kernel';
import type {JobExecution} from '@gentiandoor/jobs';
import {runsToEvacuate, type EvacuationRun} from '@gentiandoor/scheduling';
import {RunStatus, aliveSince, type LiveRun} from './live-run.js';
import type {StoredAction} from './progress-writer.js';
import type {RunLog} from './run-log.js';
import type {WorkerSession} from './worker-session.js';

/** Dependencies of the evacuation of VMs. */
export interface VmEvacuationParts {
  readonly clock: Clock;
  readonly runLog: RunLog;
  /** Stores the progress of a job, then calls `then`. */
  readonly store: (execution: JobExecution, then?: StoredAction) => void;
}

/** Reason in the log and in the counter of preemptions. */
const REASON = 'vm_needed_by_other_pool';

/**
 * Empties VMs that are cordoned for another pool, by stopping checkpointing runs. The count of a
 * task's stops is stored before the stop is sent, so that a successor never stops it too often.
 */
export class VmEvacuation {
  /** Runs whose stop waits for the store. */
  private readonly pending = new WeakSet<LiveRun>();

  constructor(private readonly parts: VmEvacuationParts) {}

  /** Stops the runs on a cordoned VM that would keep it busy for long. */
  evacuate(session: WorkerSession): void {
    const now = this.parts.clock.monotonicMilliseconds();
    const runs = [...session.runs.values()];
    // The runs that are being stopped end soon; only for a confirmed run is it known how long it
    // has worked.
    const working = runs.filter(
      run => !run.stopRequested && !this.pending.has(run),
    );
    if (working.some(run => run.status !== RunStatus.Confirmed)) return;
    const tasks = new Set(
      runsToEvacuate(working.map(run => evacuationRun(run, now))),
    );
    for (const run of working) if (tasks.has(run.task)) this.stop(session, run);
  }

  private stop(session: WorkerSession, run: LiveRun): void {
    const {runLog, store} = this.parts;
    this.pending.add(run);
    run.executableTask.progress.preemptions++;
    runLog.preempted(run, session.id, REASON);
    store(run.execution, () => {
      this.pending.delete(run);
      if (session.isExpected(run)) void session.stopRun(run);
    });
  }
}

function evacuationRun(run: LiveRun, now: number): EvacuationRun {
  const {specification, progress} = run.executableTask;
  return {
    task: run.task,
    isCheckpointing: specification.checkpointing,
    isLongRunning: specification.longRunning,
    isGangMember: specification.gang,
    ageMilliseconds: now - (aliveSince(run) ?? now),
    expectedMilliseconds: run.expectedMilliseconds,
    progressPercent: run.percent,
    preemptions: progress.preemptions,
  };
}
