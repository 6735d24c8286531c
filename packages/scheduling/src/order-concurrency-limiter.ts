/** Response time above which the limit shrinks. */
const SLOW_RESPONSE_MILLISECONDS = 100;
/** Interval after which response times are evaluated and the limit is adjusted. */
const INTERVAL_MILLISECONDS = 250;
/** Lower bound of the limit, in orders. */
const MINIMUM_LIMIT = 24;
/** Initial limit, in orders. */
const INITIAL_LIMIT = 384;
const MAXIMUM_LIMIT = 4_000;
/** The limit shrinks at most by this factor at once. */
const MINIMUM_SHRINK_FACTOR = 0.5;
const GROWTH_FACTOR = 1.25;

/**
 * Limits how many orders a coordinator may have in flight.
 * Load: a burst that requires more starts per second than the coordinator's link or
 * processor can handle. Without a limit, hundreds of orders queue for a second,
 * together with the polls that renew leases and the writes that renew the term, and by
 * then the jobs for which they were chosen are late. The limit shrinks while even the
 * fastest response of an interval is slow, which a burst alone never causes, and grows
 * while it is used and responses are fast.
 */
export class OrderConcurrencyLimiter {
  private inFlight = 0;
  private limit = INITIAL_LIMIT;
  private intervalStart = -Infinity;
  private fastestResponseMilliseconds = Infinity;
  private peakInFlight = 0;

  /**
   * Whether `count` orders may be started together; a gang larger than the limit is
   * sent when nothing else is in flight.
   */
  allows(count: number): boolean {
    return this.inFlight === 0 || this.inFlight + count <= this.limit;
  }

  /** Records that an order was decided. */
  begin(): void {
    this.inFlight++;
    this.peakInFlight = Math.max(this.peakInFlight, this.inFlight);
  }

  /** Records that the outcome of an order is known. */
  end(): void {
    this.inFlight--;
  }

  /**
   * Records the time until the response to an order that the worker itself answered
   * without delay. Returns whether more orders are allowed than before.
   */
  recordResponse(milliseconds: number, now: number): boolean {
    this.fastestResponseMilliseconds = Math.min(
      this.fastestResponseMilliseconds,
      milliseconds,
    );
    if (now - this.intervalStart < INTERVAL_MILLISECONDS) return false;
    const limitBefore = this.limit;
    if (this.fastestResponseMilliseconds > SLOW_RESPONSE_MILLISECONDS)
      this.shrink();
    else if (2 * this.peakInFlight >= this.limit) this.grow();
    this.intervalStart = now;
    this.fastestResponseMilliseconds = Infinity;
    this.peakInFlight = this.inFlight;
    return this.limit > limitBefore;
  }

  private shrink(): void {
    const used = Math.min(this.limit, this.peakInFlight);
    const factor =
      SLOW_RESPONSE_MILLISECONDS / this.fastestResponseMilliseconds;
    this.limit = Math.max(
      MINIMUM_LIMIT,
      used * Math.max(MINIMUM_SHRINK_FACTOR, factor),
    );
  }

  private grow(): void {
    this.limit = Math.min(MAXIMUM_LIMIT, GROWTH_FACTOR * this.limit);
  }
}
