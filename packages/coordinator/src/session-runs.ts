import {fitsOnWorker, type PlacementWorker} from '@gentiandoor/scheduling';
import {RunStatus, runName, type LiveRun} from './live-run.js';
import {
  hasLongRunningTask,
  placementView,
  weightedMillicores,
} from './placement-view.js';
import type {ListedRun, Resources, WorkerEntry} from './worker-gateway.js';

/** A worker that refused a run for want of room counts as full for so long, or until its entry or runs change. */
export const CAPACITY_REFUSAL_MILLISECONDS = 1_000;

/** Runs that may be alive on one worker. */
export class SessionRuns {
  private readonly byTask = new Map<string, LiveRun>();
  /** What a placement sees of the worker, until its runs or its entry change. */
  private view: PlacementWorker | undefined;
  /** Until when the worker counts as full; undefined where it does not. */
  private fullUntil: number | undefined;

  /** By task. */
  get all(): ReadonlyMap<string, LiveRun> {
    return this.byTask;
  }

  get count(): number {
    return this.byTask.size;
  }

  /** Whether a long-running task is among them. */
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

  /** The worker's entry has changed. */
  entryChanged(): void {
    this.invalidateView();
  }

  /** Millicores taken away from other work, weighed by what the work is still worth. */
  weightedMillicores(room: Resources): number {
    return weightedMillicores(this.byTask.values(), room);
  }

  /** The worker refused a run for want of room: it has less than its entry says. */
  noteCapacityRefusal(now: number): void {
    this.fullUntil = now + CAPACITY_REFUSAL_MILLISECONDS;
    this.view = undefined;
  }

  /** What a placement sees of the worker; made anew only when something has changed, since each round looks at every worker. */
  placementView(
    entry: WorkerEntry,
    trust: number,
    now: number,
  ): PlacementWorker {
    if (this.fullUntil !== undefined && now >= this.fullUntil)
      this.invalidateView();
    if (this.view?.reliability !== trust)
      this.view = this.newView(entry, trust);
    return this.view;
  }

  /** Whether a run whose order was not sent yet fits beside those that may be on the worker. */
  hasCapacityFor(run: LiveRun, entry: WorkerEntry): boolean {
    const others = [...this.byTask.values()].filter(
      other => other !== run && other.status !== RunStatus.Planned,
    );
    const view = placementView(entry, others, 1);
    return fitsOnWorker(view, run.executableTask.specification);
  }

  /** Nothing was seen of the runs for a while: they have not stood still. */
  restartStallDetection(now: number): void {
    for (const run of this.byTask.values()) run.percentChangedAt = now;
  }

  /** Settled runs that a poll asked for at `requestedAt` shows neither alive nor ended: they never ran, or are long over. */
  missingFrom(
    running: readonly ListedRun[],
    ended: ReadonlySet<string>,
    requestedAt: number,
  ): LiveRun[] {
    const alive = new Set(running.map(runName));
    return [...this.byTask.values()].filter(run => {
      const name = runName(run);
      if (alive.has(name) || ended.has(name)) return false;
      return (
        run.status === RunStatus.Recovered || run.orderAnsweredAt < requestedAt
      );
    });
  }

  private invalidateView(): void {
    this.fullUntil = undefined;
    this.view = undefined;
  }

  private newView(entry: WorkerEntry, trust: number): PlacementWorker {
    const view = placementView(entry, [...this.byTask.values()], trust);
    if (this.fullUntil === undefined) return view;
    return {...view, freeMillicores: 0, freeMegabytes: 0, freeAccelerators: 0};
  }
}
