/** Many times a worker's answer of a few milliseconds, and short against a term: polls and renewals wait behind the orders. */
const SLOW_ANSWER_MILLISECONDS = 120;
/** A large step's tasks twice over: fewer orders at a time leave even a small VM idle. */
const LEAST_ORDERS = 24;
/** What the first round of a turn asks for on a few hundred workers. */
const FIRST_ORDERS = 256;
const MOST_ORDERS = 4_000;
/** Half as many again within one round of answers: doubling overshoots by as much before the first slow one is back. */
const GROWTH_FOR_AN_ANSWER = 0.25;
/** Share of the orders under way that is kept when answers get slow. */
const SHRINK_FACTOR = 0.75;

/**
 * How many orders a coordinator may have under way.
 * Load: a turn asks for more starts a second than the coordinator's link or processor gives. Without
 * a bound hundreds of orders wait behind each other for a second, with the polls that renew leases and
 * the writes that renew the term among them, and by then the jobs they were chosen for are late. The
 * bound falls while answers are slow and grows while they are not and it is used.
 */
export class OrderWindow {
  private underWay = 0;
  private size = FIRST_ORDERS;
  private shrunkAt = -Infinity;

  /** Whether `count` orders may be begun together; a gang that is larger than the bound goes alone. */
  allows(count: number): boolean {
    return this.underWay === 0 || this.underWay + count <= this.size;
  }

  /** An order was decided. */
  begin(): void {
    this.underWay++;
  }

  /** Its fate is known. */
  end(): void {
    this.underWay--;
  }

  /** A worker answered at once, as far as it is concerned, and the answer came after `milliseconds`. */
  noteAnswer(milliseconds: number, now: number): void {
    if (milliseconds > SLOW_ANSWER_MILLISECONDS) this.shrink(milliseconds, now);
    else if (2 * this.underWay >= this.size)
      this.size = Math.min(MOST_ORDERS, this.size + GROWTH_FOR_AN_ANSWER);
  }

  /** Once for each round of answers: the next ones were under way already. */
  private shrink(milliseconds: number, now: number): void {
    if (now - this.shrunkAt < milliseconds) return;
    this.shrunkAt = now;
    const used = Math.min(this.size, this.underWay);
    this.size = Math.max(LEAST_ORDERS, SHRINK_FACTOR * used);
  }
}
