import type {ExecutableTask, JobExecution} from '@gentiandoor/jobs';
import {
  dominantResourceMillicores,
  vmsForSpreadConstraint,
  type SpreadConstrainedStep,
  type VmCapacity,
} from '@gentiandoor/scheduling';
import {stepName} from './live-run.js';

/** Waiting work of a service, used to decide the size of its pool. */
export interface ServiceLoad {
  /**
   * Millicores that waiting tasks request, weighted by what their results are still
   * worth.
   */
  readonly waitingMillicores: number;
  readonly waitingTasks: number;
  /** VMs that waiting tasks need because they may not share them. */
  readonly spreadVms: number;
  /**
   * Time since which tasks have been waiting without interruption; undefined if none
   * waits.
   */
  readonly waitingSince: number | undefined;
}

/** Load of a service without waiting tasks. */
export const NO_LOAD: ServiceLoad = {
  waitingMillicores: 0,
  waitingTasks: 0,
  spreadVms: 0,
  waitingSince: undefined,
};

/** Sums up the work that one round of placement leaves waiting. */
export class WaitingLoadCounter {
  private millicores = 0;
  private tasks = 0;
  private readonly spreads = new Map<string, SpreadConstrainedStep>();

  constructor(private readonly vmCapacity: VmCapacity | undefined) {}

  /**
   * Counts waiting tasks of one step; `weight` is the worth of VMs for them, in [0, 1].
   */
  note(
    execution: JobExecution,
    tasks: readonly ExecutableTask[],
    weight: number,
  ): void {
    this.tasks += tasks.length;
    for (const {specification} of tasks)
      this.millicores +=
        weight * dominantResourceMillicores(specification, this.vmCapacity);
    this.noteSpread(execution, tasks);
  }

  /** Returns the load at `now`; `before` is the load after the previous round. */
  load(before: ServiceLoad, now: number): ServiceLoad {
    return {
      waitingMillicores: this.millicores,
      waitingTasks: this.tasks,
      spreadVms: vmsForSpreadConstraint(this.spreads.values()),
      waitingSince: this.tasks > 0 ? (before.waitingSince ?? now) : undefined,
    };
  }

  private noteSpread(
    execution: JobExecution,
    tasks: readonly ExecutableTask[],
  ): void {
    const {occurrence, step, specification} = tasks[0];
    if (specification.maximumPerWorker === 0) return;
    const key = stepName(execution.job.id, tasks[0]);
    const before = this.spreads.get(key);
    this.spreads.set(key, {
      waiting: (before?.waiting ?? 0) + tasks.length,
      running:
        before?.running ??
        execution
          .tasksOfStep(occurrence, step)
          .filter(({progress}) => progress.worker !== '').length,
      maximumPerWorker: specification.maximumPerWorker,
    });
  }
}
