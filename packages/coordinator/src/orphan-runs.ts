import {RunEnd} from '@gentiandoor/jobs';
import type {Clock} from '@gentiandoor/kernel';
import {worstCaseLeaseMilliseconds} from '@gentiandoor/scheduling';
import type {LiveRun} from './live-run.js';

/** Allowance for local processing delays. */
const SLACK_MILLISECONDS = 100;

/**
 * Runs of an earlier coordinator on workers without an entry: they count as alive until the worker
 * comes back, its incarnation is known to be over, or the longest lease has run out.
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
      const bound =
        worstCaseLeaseMilliseconds(this.leaseMilliseconds) + SLACK_MILLISECONDS;
      this.clock.schedule(bound, () => this.endAll(worker, RunEnd.Lost));
    }
    runs.add(run);
  }

  /** Hands the runs of a worker that has come back over. */
  take(worker: string): Iterable<LiveRun> {
    const runs = this.byWorker.get(worker) ?? [];
    this.byWorker.delete(worker);
    return runs;
  }

  /** Takes the incarnations that the list of VMs shows; every other one is over. */
  noteIncarnations(alive: ReadonlySet<string>): void {
    for (const worker of [...this.byWorker.keys()])
      if (!alive.has(worker)) this.endAll(worker, RunEnd.Crashed);
  }

  private endAll(worker: string, end: RunEnd): void {
    for (const run of this.take(worker)) this.endRun(worker, run, end);
  }
}
