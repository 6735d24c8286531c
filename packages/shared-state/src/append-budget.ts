import type {Clock} from '@gentiandoor/kernel';

const MILLISECONDS_PER_SECOND = 1000;

/**
 * Appends that one daemon may send to one stream: a token bucket. Answers bursts of records:
 * the platform takes some hundred appends a second from everyone, and one busy stream would
 * use up what the others need. The burst is what a quiet daemon may send at once.
 */
export class AppendBudget {
  private tokens: number;
  private countedAt: number;

  constructor(
    private readonly clock: Clock,
    private readonly perSecond: number,
    private readonly burst: number,
  ) {
    this.tokens = burst;
    this.countedAt = clock.monotonicMilliseconds();
  }

  /** Milliseconds until an append may be sent; 0 for now. */
  waitMilliseconds(): number {
    this.refill();
    if (this.tokens >= 1) return 0;
    return Math.ceil(
      ((1 - this.tokens) * MILLISECONDS_PER_SECOND) / this.perSecond,
    );
  }

  /** Uses one append. */
  take(): void {
    this.refill();
    this.tokens -= 1;
  }

  private refill(): void {
    const now = this.clock.monotonicMilliseconds();
    const grown =
      ((now - this.countedAt) * this.perSecond) / MILLISECONDS_PER_SECOND;
    this.tokens = Math.min(this.burst, this.tokens + grown);
    this.countedAt = now;
  }
}
