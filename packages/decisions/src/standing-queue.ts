/** A queue that was never empty for this long is standing: five round trips to a far target. */
const STANDING_MILLISECONDS = 100;
/** Least wait allowed in a standing queue; below it timers and network decide. */
const SMALLEST_TARGET_MILLISECONDS = 5;
const EXCHANGES_WAITED = 2;

/**
 * How long a request may wait, by whether the queue ever empties.
 * Answers a standing queue: with a bound on length only, saturation makes every caller wait for
 * the whole queue, the work of those that gave up included, while the targets do no more than they
 * would with a short queue. A burst is let wait as long as the service allows; when the queue has
 * not been empty for 100 ms the wait is cut to the time of two exchanges, which still keeps every
 * slot fed: a slot comes free each (time of an exchange / slots).
 */
export class StandingQueue {
  private emptyAt = 0;

  /** The queue was seen empty. */
  onEmpty(now: number): void {
    this.emptyAt = now;
  }

  isStanding(now: number): boolean {
    return now - this.emptyAt > STANDING_MILLISECONDS;
  }

  /** Milliseconds that a request may wait now, of the `longest` that its service allows. */
  allowedWait(
    now: number,
    longest: number,
    exchangeMilliseconds: number,
  ): number {
    if (!this.isStanding(now)) return longest;
    const target = Math.max(
      SMALLEST_TARGET_MILLISECONDS,
      EXCHANGES_WAITED * exchangeMilliseconds,
    );
    return Math.min(longest, target);
  }
}
