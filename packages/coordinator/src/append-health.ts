import type {Clock} from '@gentiandoor/kernel';

/** Whether this daemon's appends succeed, whichever partition they go to. */
export class AppendHealth {
  private failingFrom: number | undefined;
  private failedAt = -Infinity;
  private isProbed = false;

  constructor(private readonly clock: Clock) {}

  /** The newest append failed. */
  get isFailing(): boolean {
    return this.failingFrom !== undefined;
  }

  /** How long appends have failed without a success between; 0 while they succeed. */
  get failingMilliseconds(): number {
    if (this.failingFrom === undefined) return 0;
    return this.clock.monotonicMilliseconds() - this.failingFrom;
  }

  /** Time since the newest append that failed; infinite before the first. */
  get sinceFailureMilliseconds(): number {
    return this.clock.monotonicMilliseconds() - this.failedAt;
  }

  /** Whether the caller may find out if appends succeed again; one at a time may, until `endProbe`. */
  beginProbe(): boolean {
    if (this.isProbed) return false;
    this.isProbed = true;
    return true;
  }

  endProbe(): void {
    this.isProbed = false;
  }

  noteSuccess(): void {
    this.failingFrom = undefined;
  }

  noteFailure(): void {
    this.failedAt = this.clock.monotonicMilliseconds();
    this.failingFrom ??= this.failedAt;
  }
}
