/** Response time above which the window shrinks. */
const SLOW_RESPONSE_MILLISECONDS = 100;
/** Interval over which response times are judged. */
const INTERVAL_MILLISECONDS = 250;
/** Lower limit of the window, in orders. */
const MINIMUM_LIMIT = 24;
/** Initial size of the window, in orders. */
const INITIAL_LIMIT = 384;
const MAXIMUM_LIMIT = 4_000;
/** The window shrinks at most to this share at once. */
const MINIMUM_SHRINK_FACTOR = 0.5;
const GROWTH_FACTOR = 1.25;

/**
 * How many orders a coordinator may have under way.
 * Load: a turn asks for more starts a second than the coordinator's link or processor gives. Without
 * a bound hundreds of orders wait behind each other for a second, with the polls that renew leases and
 * the writes that renew the term among them, and by then the jobs they were chosen for are late. The
 * bound falls while even the quickest answer of an interval is late, which a burst alone never brings
 * about, and grows while it is used and they are not.
 */
export class OrderConcurrencyLimiter {
  private inFlight = 0;
  private limit = INITIAL_LIMIT;
  private intervalFrom = -Infinity;
  private fastestResponseMilliseconds = Infinity;
  private peakInFlight = 0;

  /** Whether `count` orders may be begun together; a gang that is larger than the bound goes alone. */
  allows(count: number): boolean {
    return this.inFlight === 0 || this.inFlight + count <= this.limit;
  }

  /** An order was decided. */
  begin(): void {
    this.inFlight++;
    this.peakInFlight = Math.max(this.peakInFlight, this.inFlight);
  }

  /** Its fate is known. */
  end(): void {
    this.inFlight--;
  }

  /** A worker answered at once, as far as it is concerned, and the answer came after `milliseconds`. */
  recordResponse(milliseconds: number, now: number): void {
    this.fastestResponseMilliseconds = Math.min(
      this.fastestResponseMilliseconds,
      milliseconds,
    );
    if (now - this.intervalFrom < INTERVAL_MILLISECONDS) return;
    if (this.fastestResponseMilliseconds > SLOW_RESPONSE_MILLISECONDS)
      this.shrink();
    else if (2 * this.peakInFlight >= this.limit) this.grow();
    this.intervalFrom = now;
    this.fastestResponseMilliseconds = Infinity;
    this.peakInFlight = this.inFlight;
  }

  private shrink(): void {
    const used = Math.min(this.limit, this.peakInFlight);
    const share = SLOW_RESPONSE_MILLISECONDS / this.fastestResponseMilliseconds;
    this.limit = Math.max(
      MINIMUM_LIMIT,
      used * Math.max(MINIMUM_SHRINK_FACTOR, share),
    );
  }

  private grow(): void {
    this.limit = Math.min(MAXIMUM_LIMIT, GROWTH_FACTOR * this.limit);
  }
}
