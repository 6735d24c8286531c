import type {Clock} from '@gentiandoor/kernel';

const MILLISECONDS_PER_SECOND = 1000;

/**
 * Appends that one daemon may send to one stream: a token bucket. Answers bursts of records:
 * the platform takes some hundred appends a second from everyone, and one busy stream would
 * use up what the others need. The burst is what a quiet daemon may send at once.
 */
export class AppendRateLimiter {
  private tokens: number;
  private refilledAt: number;

  constructor(
    private readonly clock: Clock,
    private readonly tokensPerSecond: number,
    private readonly burst: number,
  ) {
    this.tokens = burst;
    this.refilledAt = clock.monotonicMilliseconds();
  }

  /** Milliseconds until an append may be sent; 0 for now. */
  millisecondsUntilToken(): number {
    this.refill();
    if (this.tokens >= 1) return 0;
    return Math.ceil(
      ((1 - this.tokens) * MILLISECONDS_PER_SECOND) / this.tokensPerSecond,
    );
  }

  /** Uses one append. */
  consumeToken(): void {
    this.refill();
    this.tokens -= 1;
  }

  private refill(): void {
    const now = this.clock.monotonicMilliseconds();
    const grown =
      ((now - this.refilledAt) * this.tokensPerSecond) /
      MILLISECONDS_PER_SECOND;
    this.tokens = Math.min(this.burst, this.tokens + grown);
    this.refilledAt = now;
  }
}
