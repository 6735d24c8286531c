import type {ExecutableTask, JobExecution} from '@gentiandoor/jobs';
import {Entitlement} from '@gentiandoor/organisations';
import {
  dominantResourceMillicores,
  vmsForSpreadConstraint,
  type SpreadConstrainedStep,
  type VmCapacity,
} from '@gentiandoor/scheduling';
import {stepName} from './live-run.js';
import type {PlacementCandidate} from './waiting-jobs.js';

/**
 * Waiting work of a service, used to decide the size of its pool. While entitled work waits
 * for any service, it covers entitled work only, apart from `excessMillicores`.
 */
export interface ServiceLoad {
  /**
   * Millicores that waiting tasks request, weighted by what their results are still
   * worth.
   */
  readonly waitingMillicores: number;
  /**
   * Millicores that waiting tasks of excess jobs request and that are not part of
   * `waitingMillicores`, weighted alike.
   */
  readonly excessMillicores: number;
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
  excessMillicores: 0,
  waitingTasks: 0,
  spreadVms: 0,
  waitingSince: undefined,
};

/** Waiting work of a service, with and without the work of excess jobs. */
export interface WaitingLoad {
  readonly entitled: ServiceLoad;
  readonly all: ServiceLoad;
}

/** Waiting load of a service without waiting tasks. */
export const NO_WAITING_LOAD: WaitingLoad = {entitled: NO_LOAD, all: NO_LOAD};

/** Sums up the work that one round of placement leaves waiting. */
export class WaitingLoadCounter {
  private readonly entitled: WaitingSum;
  private readonly all: WaitingSum;

  constructor(vmCapacity: VmCapacity | undefined) {
    this.entitled = new WaitingSum(vmCapacity);
    this.all = new WaitingSum(vmCapacity);
  }

  /** Counts waiting tasks of one step of `candidate`. */
  note(candidate: PlacementCandidate, tasks: readonly ExecutableTask[]): void {
    const {execution, weight, entitlement} = candidate;
    this.all.note(execution, tasks, weight);
    if (entitlement === Entitlement.Entitled)
      this.entitled.note(execution, tasks, weight);
  }

  /** Returns the load at `now`; `before` is the load after the previous round. */
  load(before: WaitingLoad, now: number): WaitingLoad {
    const excessMillicores = this.all.millicores - this.entitled.millicores;
    return {
      entitled: this.entitled.load(before.entitled, now, excessMillicores),
      all: this.all.load(before.all, now, 0),
    };
  }
}

/** Sums up waiting tasks. */
class WaitingSum {
  millicores = 0;
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

  load(
    before: ServiceLoad,
    now: number,
    excessMillicores: number,
  ): ServiceLoad {
    return {
      waitingMillicores: this.millicores,
      excessMillicores,
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
