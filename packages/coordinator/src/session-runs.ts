import {fitsOnWorker, type PlacementWorker} from '@gentiandoor/scheduling';
import {RunStatus, runName, type LiveRun} from './live-run.js';
import {
  hasLongRunningTask,
  placementView,
  weightedMillicores,
} from './placement-view.js';
import type {ListedRun, Resources, WorkerEntry} from './worker-gateway.js';

/**
 * A worker that refused a run for lack of capacity counts as full for this long, or until
 * its entry or runs change.
 */
export const CAPACITY_REFUSAL_MILLISECONDS = 1_000;

/** Runs that may be alive on one worker. */
export class SessionRuns {
  private readonly byTask = new Map<string, LiveRun>();
  /** Cached placement view of the worker, until its runs or its entry change. */
  private view: PlacementWorker | undefined;
  /** Time until which the worker counts as full; undefined if it does not. */
  private fullUntil: number | undefined;

  /** The runs by task. */
  get all(): ReadonlyMap<string, LiveRun> {
    return this.byTask;
  }

  get count(): number {
    return this.byTask.size;
  }

  /** Whether any of the runs belongs to a long-running task. */
  get hasLongRunningTask(): boolean {
    return hasLongRunningTask(this.byTask.values());
  }

  has(run: LiveRun): boolean {
    return this.byTask.get(run.task) === run;
  }

  add(run: LiveRun): void {
    this.byTask.set(run.task, run);
    this.view = undefined;
  }

  remove(run: LiveRun): void {
    this.byTask.delete(run.task);
    this.invalidateView();
  }

  /** Called when the worker's entry has changed. */
  entryChanged(): void {
    this.invalidateView();
  }

  /**
   * Returns the millicores that the runs take from other work, weighted by what their
   * results are still worth.
   */
  weightedMillicores(capacity: Resources): number {
    return weightedMillicores(this.byTask.values(), capacity);
  }

  /**
   * Records that the worker refused a run for lack of capacity: it has less than its
   * entry says.
   */
  noteCapacityRefusal(now: number): void {
    this.fullUntil = now + CAPACITY_REFUSAL_MILLISECONDS;
    this.view = undefined;
  }

  /**
   * Returns the placement view of the worker. It is rebuilt only after a change, since
   * each round looks at every worker.
   */
  placementView(
    entry: WorkerEntry,
    reliability: number,
    now: number,
  ): PlacementWorker {
    if (this.fullUntil !== undefined && now >= this.fullUntil)
      this.invalidateView();
    if (this.view?.reliability !== reliability)
      this.view = this.createView(entry, reliability);
    return this.view;
  }

  /**
   * Returns whether a run whose order was not sent yet fits beside the runs that may be
   * on the worker.
   */
  hasCapacityFor(run: LiveRun, entry: WorkerEntry): boolean {
    const others = [...this.byTask.values()].filter(
      other => other !== run && other.status !== RunStatus.Planned,
    );
    const view = placementView(entry, others, 1);
    return fitsOnWorker(view, run.executableTask.specification);
  }

  /**
   * Restarts stall detection after a period in which the runs were not observed and thus
   * did not stall.
   */
  restartStallDetection(now: number): void {
    for (const run of this.byTask.values()) run.percentChangedAt = now;
  }

  /** Returns the runs that a poll lists neither as alive nor as ended. */
  missingFrom(
    running: readonly ListedRun[],
    ended: ReadonlySet<string>,
  ): LiveRun[] {
    const alive = new Set(running.map(runName));
    return [...this.byTask.values()].filter(run => {
      const name = runName(run);
      return !alive.has(name) && !ended.has(name);
    });
  }

  private invalidateView(): void {
    this.fullUntil = undefined;
    this.view = undefined;
  }

  private createView(entry: WorkerEntry, reliability: number): PlacementWorker {
    const view = placementView(entry, [...this.byTask.values()], reliability);
    if (this.fullUntil === undefined) return view;
    return {...view, freeMillicores: 0, freeMegabytes: 0, freeAccelerators: 0};
  }
}
