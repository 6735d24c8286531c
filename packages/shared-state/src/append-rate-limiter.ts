import type {Clock} from '@gentiandoor/kernel';

const MILLISECONDS_PER_SECOND = 1000;

/**
 * Limits the appends that one daemon sends to one stream with a token bucket.
 *
 * Load: bursts of records. The platform accepts a few hundred appends per second from all
 * daemons together. Without the limit one busy stream would use up the share of the others.
 * The burst is the number of appends that an idle daemon may send at once.
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

  /** Returns the milliseconds until the next append may be sent; 0 if it may be sent now. */
  millisecondsUntilToken(): number {
    this.refill();
    if (this.tokens >= 1) return 0;
    return Math.ceil(
      ((1 - this.tokens) * MILLISECONDS_PER_SECOND) / this.tokensPerSecond,
    );
  }

  /** Takes one token for an append, even if none is available. */
  consumeToken(): void {
    this.refill();
    this.tokens -= 1;
  }

  private refill(): void {
    const now = this.clock.monotonicMilliseconds();
    const addedTokens =
      ((now - this.refilledAt) * this.tokensPerSecond) /
      MILLISECONDS_PER_SECOND;
    this.tokens = Math.min(this.burst, this.tokens + addedTokens);
    this.refilledAt = now;
  }
}
