const DECAY_MILLISECONDS = 5000;
/** An answer counts at least this much, so that a busy target is judged by its last 50 answers. */
const MINIMUM_SMOOTHING_FACTOR = 0.02;
const FAILURE_FACTOR = 4;
const MAXIMUM_PENALTY_MILLISECONDS = 10_000;

/**
 * How long a target takes, for comparing targets: a mean that forgets over five seconds of time,
 * so that a target with little traffic is not judged by what it did minutes ago. Failures are no
 * answers and add a penalty to the target's cost: a target that fails in a millisecond has few in
 * flight and short times, and would draw the most work of all.
 */
export class LatencyEstimate {
  private mean: number | undefined;
  private meanAt = 0;
  private penaltyValue = 0;
  private penaltyAt = 0;

  /**
   * Milliseconds expected of an exchange; `usual` where nothing is known. Without fresh answers
   * the estimate goes back to the usual: a target once slow is tried again.
   */
  expectedMilliseconds(usual: number, now: number): number {
    if (this.mean === undefined) return usual;
    return usual + (this.mean - usual) * decayFactor(now - this.meanAt);
  }

  /** Milliseconds that recent failures add to the target's cost. */
  penaltyMilliseconds(now: number): number {
    if (this.penaltyValue === 0) return 0;
    return this.penaltyValue * decayFactor(now - this.penaltyAt);
  }

  observe(milliseconds: number, now: number): void {
    if (this.mean === undefined) {
      this.mean = milliseconds;
    } else {
      const byTime = 1 - decayFactor(now - this.meanAt);
      const share = Math.max(MINIMUM_SMOOTHING_FACTOR, byTime);
      this.mean += (milliseconds - this.mean) * share;
    }
    this.meanAt = now;
  }

  /** Counts a failed exchange. */
  observeFailure(usual: number, now: number): void {
    const grown = (this.penaltyMilliseconds(now) + usual) * FAILURE_FACTOR;
    this.penaltyValue = Math.min(MAXIMUM_PENALTY_MILLISECONDS, grown);
    this.penaltyAt = now;
  }
}

function decayFactor(elapsed: number): number {
  return Math.exp(-elapsed / DECAY_MILLISECONDS);
}
