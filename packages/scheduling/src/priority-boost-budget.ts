/** At most one in this many served jobs gets a priority boost. */
const JOBS_PER_BOOST = 12;
const MAXIMUM_AVAILABLE_BOOSTS = 4;

/**
 * Limits how many late jobs go ahead of jobs that can still finish in time.
 * Load: a burst slightly larger than the pool. Without boosts, the few jobs that fell
 * behind are never served, because there is always a job that can finish in time;
 * without a limit, a long overload makes all jobs late instead of some.
 */
export class PriorityBoostBudget {
  private availableBoosts = MAXIMUM_AVAILABLE_BOOSTS;
  private readonly granted = new Set<string>();

  /** Records that a job was served, which earns a fraction of a boost. */
  recordServed(): void {
    this.availableBoosts = Math.min(
      MAXIMUM_AVAILABLE_BOOSTS,
      this.availableBoosts + 1 / JOBS_PER_BOOST,
    );
  }

  /** Whether `jobId` may go ahead; once granted, the boost lasts until the job ends. */
  allows(jobId: string): boolean {
    if (this.granted.has(jobId)) return true;
    if (this.availableBoosts < 1) return false;
    this.availableBoosts--;
    this.granted.add(jobId);
    return true;
  }

  /** Forgets a job that has ended. */
  forget(jobId: string): void {
    this.granted.delete(jobId);
  }
}
