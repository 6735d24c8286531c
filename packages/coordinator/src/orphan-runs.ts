import {RunEnd} from '@gentiandoor/jobs';
import type {Clock} from '@gentiandoor/kernel';
import {worstCaseLeaseMilliseconds} from '@gentiandoor/scheduling';
import type {LiveRun} from './live-run.js';

/** Allowance for local processing delays. */
const SLACK_MILLISECONDS = 100;

/**
 * Tracks runs of an earlier coordinator on workers without an entry. They count as alive until the
 * worker registers again, its incarnation is known to have ended, or the longest possible lease has
 * expired.
 */
export class OrphanRuns {
  private readonly byWorker = new Map<string, Set<LiveRun>>();

  constructor(
    private readonly leaseMilliseconds: number,
    private readonly clock: Clock,
    private readonly endRun: (
      worker: string,
      run: LiveRun,
      end: RunEnd,
    ) => void,
  ) {}

  add(worker: string, run: LiveRun): void {
    let runs = this.byWorker.get(worker);
    if (!runs) {
      this.byWorker.set(worker, (runs = new Set()));
      const worstCaseMilliseconds =
        worstCaseLeaseMilliseconds(this.leaseMilliseconds) + SLACK_MILLISECONDS;
      this.clock.schedule(worstCaseMilliseconds, () =>
        this.endAll(worker, RunEnd.Lost),
      );
    }
    runs.add(run);
  }

  /** Removes and returns the runs of a worker that has registered again. */
  take(worker: string): Iterable<LiveRun> {
    const runs = this.byWorker.get(worker) ?? [];
    this.byWorker.delete(worker);
    return runs;
  }

  /** Ends the runs of all incarnations that are not `alive`, i.e. not in the list of VMs. */
  noteIncarnations(alive: ReadonlySet<string>): void {
    for (const worker of [...this.byWorker.keys()])
      if (!alive.has(worker)) this.endAll(worker, RunEnd.Crashed);
  }

  private endAll(worker: string, end: RunEnd): void {
    for (const run of this.take(worker)) this.endRun(worker, run, end);
  }
}
