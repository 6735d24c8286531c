/** Ends and refusals in a row that make a worker suspect: one failing job can't do it, three different ones can. */
const FAILURES_FOR_SUSPICION = 3;
/** Time for which a suspect worker is the last choice: long against a task, short against its repair. */
const SUSPICION_MILLISECONDS = 4_000;

/**
 * Tells a bad worker from bad jobs.
 * Load: a worker that fails at once all that it starts looks idle and draws all work. Without it
 * jobs use up their attempts on it. Only failures of different jobs in a row count, since one job
 * that fails everywhere says nothing about the worker.
 */
export class WorkerTrust {
  private readonly failedJobs = new Set<string>();
  private suspectUntil = -Infinity;

  noteSuccess(): void {
    this.failedJobs.clear();
    this.suspectUntil = -Infinity;
  }

  noteFailure(jobId: string, now: number): void {
    this.failedJobs.add(jobId);
    if (this.failedJobs.size >= FAILURES_FOR_SUSPICION) this.suspect(now);
  }

  /** The worker itself is to blame, whatever the job. */
  suspect(now: number): void {
    this.suspectUntil = now + SUSPICION_MILLISECONDS;
  }

  /** Share of trust in [0, 1]. */
  level(now: number): number {
    if (now < this.suspectUntil) return 0;
    return 1 - this.failedJobs.size / (FAILURES_FOR_SUSPICION + 1);
  }
}
