/** Maximum drift of a worker's clock, as the platform states. */
const SLOWEST_CLOCK_RATE = 0.98;

/**
 * What is known of a worker's own steady clock and of the lease that was given on it.
 * Load: workers that stop answering while their tasks run on. Without it a task is started again
 * while its first run is alive behind a cut.
 */
export class LeaseClock {
  private observedClock: number | undefined;
  private observedAt = 0;
  private latestLeaseEnd = 0;

  /** A clock reading came in an answer that arrived at `receivedAt` on our clock. */
  observe(workerClock: number, receivedAt: number): void {
    this.observedClock = workerClock;
    this.observedAt = receivedAt;
  }

  /** Whether any reading has come yet; before that no lease can be given. */
  get isKnown(): boolean {
    return this.observedClock !== undefined;
  }

  /** End, on the worker's clock, of a lease of `duration` that begins now. */
  leaseEnd(now: number, duration: number): number {
    if (this.observedClock === undefined)
      throw new Error('clock of the worker is not known');
    return Math.floor(this.observedClock + (now - this.observedAt) + duration);
  }

  /** Notes a lease that may have reached the worker, whatever became of the order. */
  recordGrant(leaseEnd: number): void {
    this.latestLeaseEnd = Math.max(this.latestLeaseEnd, leaseEnd);
  }

  /**
   * True when every lease that we gave is over even on the slowest clock allowed: the reading was
   * taken at or before its arrival, so the worker's clock is at least this far.
   */
  hasLapsed(now: number): boolean {
    if (this.observedClock === undefined) return false;
    const least =
      this.observedClock + (now - this.observedAt) * SLOWEST_CLOCK_RATE;
    return least > this.latestLeaseEnd;
  }
}

/** Time after which a lease of `duration`, given by somebody else by now, is over on any worker's clock. */
export function worstCaseLeaseMilliseconds(duration: number): number {
  return duration / SLOWEST_CLOCK_RATE;
}
