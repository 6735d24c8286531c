import {RunEnd} from '@gentiandoor/jobs';
import type {Clock, Timer} from '@gentiandoor/kernel';
import {worstCaseLeaseMilliseconds} from '@gentiandoor/scheduling';
import {
  carryMilliseconds,
  isStartOpen,
  type CarryBounds,
} from './carried-runs.js';
import type {LiveRun} from './live-run.js';
import {
  instanceOf,
  namesIncarnation,
  type IncarnationName,
} from './worker-incarnation.js';

/** Allowance for local processing delays. */
const SLACK_MILLISECONDS = 100;

/** Times that bound how long an orphaned run may be alive. */
export interface OrphanBounds extends CarryBounds {
  /** Duration of the leases that polls and starts grant, in milliseconds. */
  readonly leaseMilliseconds: number;
}

/**
 * Tracks runs on workers without a session: those of an earlier coordinator, and those carried over
 * from an incarnation that is over. They count as alive until the worker registers, it is known that
 * no VM runs it, or the longest possible lease has expired.
 */
export class OrphanRuns {
  /** Runs with the timers that end them, by worker. */
  private readonly byWorker = new Map<string, Map<LiveRun, Timer>>();

  constructor(
    private readonly bounds: OrphanBounds,
    private readonly clock: Clock,
    private readonly endRun: (
      worker: string,
      run: LiveRun,
      end: RunEnd,
    ) => void,
  ) {}

  /** Adds a run that an earlier coordinator ordered. */
  addRecovered(worker: string, run: LiveRun): void {
    if (this.mayBeStarted(worker, run)) this.addCarried(worker, run);
    else {
      const lease = worstCaseLeaseMilliseconds(this.bounds.leaseMilliseconds);
      this.add(worker, run, lease + SLACK_MILLISECONDS);
    }
  }

  /** Adds a run that the next incarnation of its worker may start. */
  addCarried(worker: string, run: LiveRun): void {
    this.add(worker, run, carryMilliseconds(this.bounds));
  }

  /** Removes and returns the runs on a worker that has registered, whatever its incarnation. */
  take({id, instance}: IncarnationName): LiveRun[] {
    return [...this.byWorker.keys()]
      .filter(
        worker =>
          worker === id ||
          worker === instance ||
          instanceOf(worker) === instance,
      )
      .flatMap(worker => this.remove(worker));
  }

  /**
   * Ends the runs of all workers that no VM runs any more, but for those that a worker starts if it
   * comes back under its id.
   */
  endGone(isGone: (instance: string) => boolean): void {
    for (const [worker, runs] of [...this.byWorker]) {
      if (!isGone(instanceOf(worker))) continue;
      for (const [run, timer] of [...runs]) {
        if (this.mayBeStarted(worker, run)) continue;
        timer.cancel();
        this.end(worker, run, RunEnd.Crashed);
      }
    }
  }

  /** Returns whether a worker starts the run if it comes back under its id. */
  mayBeStarted(worker: string, run: LiveRun): boolean {
    const now = this.clock.monotonicMilliseconds();
    return namesIncarnation(worker) && isStartOpen(run, this.bounds, now);
  }

  private add(worker: string, run: LiveRun, milliseconds: number): void {
    const runs = this.byWorker.get(worker) ?? new Map<LiveRun, Timer>();
    this.byWorker.set(worker, runs);
    const endRun = () => this.end(worker, run, RunEnd.Lost);
    runs.set(run, this.clock.schedule(milliseconds, endRun));
  }

  private end(worker: string, run: LiveRun, end: RunEnd): void {
    const runs = this.byWorker.get(worker);
    runs?.delete(run);
    if (runs?.size === 0) this.byWorker.delete(worker);
    this.endRun(worker, run, end);
  }

  private remove(worker: string): LiveRun[] {
    const runs = this.byWorker.get(worker);
    if (!runs) return [];
    this.byWorker.delete(worker);
    for (const timer of runs.values()) timer.cancel();
    return [...runs.keys()];
  }
}
