/** Weight of the newest response time in the moving average. */
const SMOOTHING_FACTOR = 0.15;
/** The timeout as a multiple of the mean response time. */
const MEAN_FACTOR = 4;

/**
 * Bound of an exchange with a service that mostly answers at once.
 * Load: a store of which a third of the answers are lost for seconds. Without it each lost answer
 * holds up everything behind it for the longest bound, though a repeat would be answered in
 * milliseconds. A bound that was reached doubles the next ones until an answer comes, so that a
 * store that is only slow is waited for.
 */
export class AdaptiveTimeout {
  private movingAverageMilliseconds = 0;
  private doublings = 0;

  constructor(
    private readonly minimumMilliseconds: number,
    private readonly maximumMilliseconds: number,
  ) {}

  /** How long to wait for the next answer. */
  get milliseconds(): number {
    const bound =
      this.minimumMilliseconds + MEAN_FACTOR * this.movingAverageMilliseconds;
    return Math.min(this.maximumMilliseconds, bound * 2 ** this.doublings);
  }

  /** Mean of the last answers. */
  get meanResponseMilliseconds(): number {
    return this.movingAverageMilliseconds;
  }

  recordResponse(milliseconds: number): void {
    this.movingAverageMilliseconds +=
      SMOOTHING_FACTOR * (milliseconds - this.movingAverageMilliseconds);
    this.doublings = 0;
  }

  /** An answer came that had waited for something else: it says that there are answers, not how fast. */
  recordDelayedResponse(): void {
    this.doublings = 0;
  }

  recordTimeout(): void {
    if (this.milliseconds < this.maximumMilliseconds) this.doublings++;
  }
}
