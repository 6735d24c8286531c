/** Response time above which the window shrinks. */
const SLOW_ANSWER_MILLISECONDS = 100;
/** Interval over which response times are judged. */
const INTERVAL_MILLISECONDS = 250;
/** Lower limit of the window, in orders. */
const LEAST_ORDERS = 24;
/** Initial size of the window, in orders. */
const FIRST_ORDERS = 384;
const MOST_ORDERS = 4_000;
/** The window shrinks at most to this share at once. */
const LEAST_KEPT_SHARE = 0.5;
const GROWTH_FACTOR = 1.25;

/**
 * How many orders a coordinator may have under way.
 * Load: a turn asks for more starts a second than the coordinator's link or processor gives. Without
 * a bound hundreds of orders wait behind each other for a second, with the polls that renew leases and
 * the writes that renew the term among them, and by then the jobs they were chosen for are late. The
 * bound falls while even the quickest answer of an interval is late, which a burst alone never brings
 * about, and grows while it is used and they are not.
 */
export class OrderWindow {
  private underWay = 0;
  private size = FIRST_ORDERS;
  private intervalFrom = -Infinity;
  private quickest = Infinity;
  private mostUnderWay = 0;

  /** Whether `count` orders may be begun together; a gang that is larger than the bound goes alone. */
  allows(count: number): boolean {
    return this.underWay === 0 || this.underWay + count <= this.size;
  }

  /** An order was decided. */
  begin(): void {
    this.underWay++;
    this.mostUnderWay = Math.max(this.mostUnderWay, this.underWay);
  }

  /** Its fate is known. */
  end(): void {
    this.underWay--;
  }

  /** A worker answered at once, as far as it is concerned, and the answer came after `milliseconds`. */
  noteAnswer(milliseconds: number, now: number): void {
    this.quickest = Math.min(this.quickest, milliseconds);
    if (now - this.intervalFrom < INTERVAL_MILLISECONDS) return;
    if (this.quickest > SLOW_ANSWER_MILLISECONDS) this.shrink();
    else if (2 * this.mostUnderWay >= this.size) this.grow();
    this.intervalFrom = now;
    this.quickest = Infinity;
    this.mostUnderWay = this.underWay;
  }

  private shrink(): void {
    const used = Math.min(this.size, this.mostUnderWay);
    const share = SLOW_ANSWER_MILLISECONDS / this.quickest;
    this.size = Math.max(
      LEAST_ORDERS,
      used * Math.max(LEAST_KEPT_SHARE, share),
    );
  }

  private grow(): void {
    this.size = Math.min(MOST_ORDERS, GROWTH_FACTOR * this.size);
  }
}
