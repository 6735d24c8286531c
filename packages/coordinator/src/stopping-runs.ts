import type {LiveRun} from './live-run.js';

/** Time beyond the platform's limit for a stop: to store the decision and to list the end. */
const STOP_MARGIN_MILLISECONDS = 1_000;

/** Remembers which runs are being stopped, or will be once the decision is stored. */
export class StoppingRuns {
  private readonly since = new WeakMap<LiveRun, number>();

  /** A stop takes at most `stopMilliseconds`. */
  constructor(private readonly stopMilliseconds: number) {}

  mark(run: LiveRun, now: number): void {
    this.since.set(run, now);
  }

  unmark(run: LiveRun): void {
    this.since.delete(run);
  }

  isStopping(run: LiveRun): boolean {
    return run.stopRequested || this.since.has(run);
  }

  /** Returns whether the resources of a run will soon be free. */
  endsSoon(run: LiveRun, now: number): boolean {
    return this.isStopping(run) && !this.isOverdue(run, now);
  }

  /**
   * Returns whether a stop takes longer than its limit. Its resources are no longer expected, and
   * the waiting task needs another worker.
   */
  isOverdue(run: LiveRun, now: number): boolean {
    if (!this.isStopping(run)) return false;
    const since = this.since.get(run);
    if (since === undefined) this.mark(run, now);
    const limit = this.stopMilliseconds + STOP_MARGIN_MILLISECONDS;
    return now - (since ?? now) > limit;
  }
}
