const DECAY_MILLISECONDS = 5000;
/** Minimum weight of a response, so that a busy target is rated by its last 50 responses. */
const MINIMUM_SMOOTHING_FACTOR = 0.02;
const FAILURE_FACTOR = 4;
const MAXIMUM_PENALTY_MILLISECONDS = 10_000;

/**
 * Estimates the latency of a target, for comparison with other targets: a mean that decays over
 * five seconds of time, so that a target with little traffic is not rated by what it did minutes
 * ago. Failures are not latencies; they add a penalty to the target's cost. Without it a target
 * that fails within a millisecond would have few exchanges in flight and low latencies, and attract
 * the most work of all.
 */
export class LatencyEstimate {
  private mean: number | undefined;
  private meanAt = 0;
  private penaltyValue = 0;
  private penaltyAt = 0;

  /**
   * Returns the expected milliseconds of an exchange; `usualMilliseconds` if nothing is known.
   * Without recent responses the estimate returns to the usual value, so that a target that was
   * slow is tried again.
   */
  expectedMilliseconds(usualMilliseconds: number, now: number): number {
    if (this.mean === undefined) return usualMilliseconds;
    return (
      usualMilliseconds +
      (this.mean - usualMilliseconds) * decayFactor(now - this.meanAt)
    );
  }

  /** Returns the milliseconds that recent failures add to the target's cost. */
  penaltyMilliseconds(now: number): number {
    if (this.penaltyValue === 0) return 0;
    return this.penaltyValue * decayFactor(now - this.penaltyAt);
  }

  observe(milliseconds: number, now: number): void {
    if (this.mean === undefined) {
      this.mean = milliseconds;
    } else {
      const timeFactor = 1 - decayFactor(now - this.meanAt);
      const smoothingFactor = Math.max(MINIMUM_SMOOTHING_FACTOR, timeFactor);
      this.mean += (milliseconds - this.mean) * smoothingFactor;
    }
    this.meanAt = now;
  }

  /** Records a failed exchange. */
  observeFailure(usualMilliseconds: number, now: number): void {
    const penalty =
      (this.penaltyMilliseconds(now) + usualMilliseconds) * FAILURE_FACTOR;
    this.penaltyValue = Math.min(MAXIMUM_PENALTY_MILLISECONDS, penalty);
    this.penaltyAt = now;
  }
}

function decayFactor(elapsedMilliseconds: number): number {
  return Math.exp(-elapsedMilliseconds / DECAY_MILLISECONDS);
}
