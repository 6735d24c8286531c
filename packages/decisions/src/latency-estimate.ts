const DECAY_MILLISECONDS = 5000;
/** An answer counts at least this much, so that a busy target is judged by its last 50 answers. */
const SMALLEST_SHARE = 0.02;
const FAILURE_FACTOR = 4;
const LARGEST_PENALTY_MILLISECONDS = 10_000;

/**
 * How long a target takes, for comparing targets: a mean that forgets over five seconds of time,
 * so that a target with little traffic is not judged by what it did minutes ago. Failures are no
 * answers and add a penalty to the target's cost: a target that fails in a millisecond has few in
 * flight and short times, and would draw the most work of all.
 */
export class LatencyEstimate {
  private value: number | undefined;
  private valueAt = 0;
  private penaltyValue = 0;
  private penaltyAt = 0;

  /**
   * Milliseconds expected of an exchange; `usual` where nothing is known. Without fresh answers
   * the estimate goes back to the usual: a target once slow is tried again.
   */
  expected(usual: number, now: number): number {
    if (this.value === undefined) return usual;
    return usual + (this.value - usual) * remaining(now - this.valueAt);
  }

  /** Milliseconds that recent failures add to the target's cost. */
  penalty(now: number): number {
    if (this.penaltyValue === 0) return 0;
    return this.penaltyValue * remaining(now - this.penaltyAt);
  }

  observe(milliseconds: number, now: number): void {
    if (this.value === undefined) {
      this.value = milliseconds;
    } else {
      const byTime = 1 - remaining(now - this.valueAt);
      const share = Math.max(SMALLEST_SHARE, byTime);
      this.value += (milliseconds - this.value) * share;
    }
    this.valueAt = now;
  }

  /** Counts a failed exchange. */
  penalise(usual: number, now: number): void {
    const grown = (this.penalty(now) + usual) * FAILURE_FACTOR;
    this.penaltyValue = Math.min(LARGEST_PENALTY_MILLISECONDS, grown);
    this.penaltyAt = now;
  }
}

function remaining(elapsed: number): number {
  return Math.exp(-elapsed / DECAY_MILLISECONDS);
}
