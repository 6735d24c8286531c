import type {Clock} from '@gentiandoor/kernel';

/** Weight of the newest response time in the moving average. */
const SMOOTHING_FACTOR = 0.3;

/** Tracks whether this daemon's appends to the store succeed, across all partitions. */
export class AppendHealth {
  private failingSince: number | undefined;
  private failedAt = -Infinity;
  private isProbing = false;
  private movingAverageMilliseconds = 0;

  constructor(private readonly clock: Clock) {}

  /** Whether the latest append failed. */
  get isFailing(): boolean {
    return this.failingSince !== undefined;
  }

  /** How long appends have failed without a success in between; 0 while they succeed. */
  get failingMilliseconds(): number {
    if (this.failingSince === undefined) return 0;
    return this.clock.monotonicMilliseconds() - this.failingSince;
  }

  /** Time since the latest failed append; infinite before the first failure. */
  get sinceFailureMilliseconds(): number {
    return this.clock.monotonicMilliseconds() - this.failedAt;
  }

  /**
   * Returns whether the caller may probe the store; only one probe runs at a time, until
   * `endProbe`.
   */
  beginProbe(): boolean {
    if (this.isProbing) return false;
    this.isProbing = true;
    return true;
  }

  endProbe(): void {
    this.isProbing = false;
  }

  /** Moving average of the time that successful appends took. */
  get meanResponseMilliseconds(): number {
    return this.movingAverageMilliseconds;
  }

  /** Records an append that succeeded after `milliseconds`. */
  noteSuccess(milliseconds: number): void {
    this.failingSince = undefined;
    this.movingAverageMilliseconds +=
      SMOOTHING_FACTOR * (milliseconds - this.movingAverageMilliseconds);
  }

  noteFailure(): void {
    this.failedAt = this.clock.monotonicMilliseconds();
    this.failingSince ??= this.failedAt;
  }
}
