/** Weight of the newest response time in the moving average. */
const SMOOTHING_FACTOR = 0.15;
/** The timeout as a multiple of the mean response time. */
const MEAN_FACTOR = 4;

/**
 * Timeout of requests to a service that usually responds immediately.
 * Load: a store that loses a third of its responses for seconds. Without it, each lost
 * response delays everything behind it for the maximum timeout, although a retry would
 * be answered in milliseconds. Each timeout doubles the next ones until a response
 * arrives, so that a store that is merely slow is waited for.
 */
export class AdaptiveTimeout {
  private movingAverageMilliseconds = 0;
  private doublings = 0;

  constructor(
    private readonly minimumMilliseconds: number,
    private readonly maximumMilliseconds: number,
  ) {}

  /** Current timeout for the next response. */
  get milliseconds(): number {
    const timeout =
      this.minimumMilliseconds + MEAN_FACTOR * this.movingAverageMilliseconds;
    return Math.min(this.maximumMilliseconds, timeout * 2 ** this.doublings);
  }

  /** Moving average of recent response times. */
  get meanResponseMilliseconds(): number {
    return this.movingAverageMilliseconds;
  }

  /** Records the time until a response and resets the back-off. */
  recordResponse(milliseconds: number): void {
    this.movingAverageMilliseconds +=
      SMOOTHING_FACTOR * (milliseconds - this.movingAverageMilliseconds);
    this.doublings = 0;
  }

  /**
   * Records a response that the service held back until something else happened: it
   * shows that the service responds, but not how fast.
   */
  recordDelayedResponse(): void {
    this.doublings = 0;
  }

  /**
   * Records that no response arrived in time, which doubles the timeout up to its
   * maximum.
   */
  recordTimeout(): void {
    if (this.milliseconds < this.maximumMilliseconds) this.doublings++;
  }
}
