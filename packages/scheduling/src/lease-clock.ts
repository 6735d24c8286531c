/** Rate of the slowest clock of a worker that the platform allows. */
const SLOWEST_CLOCK_RATE = 0.98;

/**
 * Tracks a worker's monotonic clock and the leases granted on it.
 * Load: workers that stop responding while their tasks keep running. Without it, a task
 * is started again while its first run is still alive on the other side of a network
 * partition.
 */
export class LeaseClock {
  private observedClock: number | undefined;
  private observedAt = 0;
  private latestLeaseEnd = 0;

  /**
   * Records a reading of the worker's clock from a response that arrived at
   * `receivedAt` on the local clock.
   */
  observe(workerClock: number, receivedAt: number): void {
    this.observedClock = workerClock;
    this.observedAt = receivedAt;
  }

  /** Whether a reading has arrived yet; no lease can be granted before that. */
  get isKnown(): boolean {
    return this.observedClock !== undefined;
  }

  /**
   * Returns the end, on the worker's clock, of a lease of `duration` that begins now.
   */
  leaseEnd(now: number, duration: number): number {
    if (this.observedClock === undefined)
      throw new Error(
        'cannot compute a lease end: no reading of the worker clock has arrived',
      );
    return Math.floor(this.observedClock + (now - this.observedAt) + duration);
  }

  /**
   * Records a lease that may have reached the worker, whatever the outcome of the
   * order.
   */
  recordGrant(leaseEnd: number): void {
    this.latestLeaseEnd = Math.max(this.latestLeaseEnd, leaseEnd);
  }

  /**
   * Returns true once every granted lease has expired even on the slowest clock
   * allowed. The reading was taken at or before its arrival, so the worker's clock is
   * at least this far.
   */
  hasLapsed(now: number): boolean {
    if (this.observedClock === undefined) return false;
    const minimumClock =
      this.observedClock + (now - this.observedAt) * SLOWEST_CLOCK_RATE;
    return minimumClock > this.latestLeaseEnd;
  }
}

/**
 * Returns the time after which a lease of `duration`, granted by another coordinator at
 * the latest now, has expired on any worker's clock.
 */
export function worstCaseLeaseMilliseconds(duration: number): number {
  return duration / SLOWEST_CLOCK_RATE;
}
