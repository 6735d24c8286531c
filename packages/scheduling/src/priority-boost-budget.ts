/** At most one job in this many is moved forward. */
const JOBS_PER_BOOST = 12;
const MAXIMUM_AVAILABLE_BOOSTS = 4;

/**
 * Bounds how many late jobs go ahead of ones that can still be in time.
 * Load: a burst just over what the pool holds. Without rescues the few jobs that fell behind are
 * never served, because something in time is always there; without a bound a long overload makes
 * everything late instead of some.
 */
export class PriorityBoostBudget {
  private availableBoosts = MAXIMUM_AVAILABLE_BOOSTS;
  private readonly granted = new Set<string>();

  /** A job was served. */
  recordServed(): void {
    this.availableBoosts = Math.min(
      MAXIMUM_AVAILABLE_BOOSTS,
      this.availableBoosts + 1 / JOBS_PER_BOOST,
    );
  }

  /** Whether `jobId` may go ahead; a job that may once may until it ends. */
  allows(jobId: string): boolean {
    if (this.granted.has(jobId)) return true;
    if (this.availableBoosts < 1) return false;
    this.availableBoosts--;
    this.granted.add(jobId);
    return true;
  }

  forget(jobId: string): void {
    this.granted.delete(jobId);
  }
}
