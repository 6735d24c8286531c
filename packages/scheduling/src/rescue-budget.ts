/** At most one job in this many is moved forward. */
const JOBS_FOR_ONE_RESCUE = 12;
const MAXIMUM_SAVED = 4;

/**
 * Bounds how many late jobs go ahead of ones that can still be in time.
 * Load: a burst just over what the pool holds. Without rescues the few jobs that fell behind are
 * never served, because something in time is always there; without a bound a long overload makes
 * everything late instead of some.
 */
export class RescueBudget {
  private saved = MAXIMUM_SAVED;
  private readonly granted = new Set<string>();

  /** A job was served. */
  noteServed(): void {
    this.saved = Math.min(MAXIMUM_SAVED, this.saved + 1 / JOBS_FOR_ONE_RESCUE);
  }

  /** Whether `jobId` may go ahead; a job that may once may until it ends. */
  allows(jobId: string): boolean {
    if (this.granted.has(jobId)) return true;
    if (this.saved < 1) return false;
    this.saved--;
    this.granted.add(jobId);
    return true;
  }

  forget(jobId: string): void {
    this.granted.delete(jobId);
  }
}
