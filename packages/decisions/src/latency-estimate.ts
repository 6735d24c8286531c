const DECAY_MILLISECONDS = 5000;
/** An answer counts at least this much, so that a busy target is judged by its last 50 answers. */
const SMALLEST_SHARE = 0.02;
const FAILURE_FACTOR = 4;
const SMALLEST_PENALTY_MILLISECONDS = 100;
const LARGEST_PENALTY_MILLISECONDS = 10_000;

/**
 * How long a target takes, for comparing targets: a mean that forgets over five seconds of time,
 * so that a target with little traffic is not judged by what it did minutes ago. A failure
 * multiplies the estimate: a target that fails in a millisecond has few in flight and short times,
 * and would draw the most work of all.
 */
export class LatencyEstimate {
  private value: number | undefined;
  private last = 0;

  /**
   * Milliseconds expected, of which `usual` is expected where nothing is known. Without fresh
   * answers the estimate goes back to the usual: a target once slow is tried again.
   */
  expected(usual: number, now: number): number {
    if (this.value === undefined) return usual;
    const fresh = Math.exp((this.last - now) / DECAY_MILLISECONDS);
    return usual + (this.value - usual) * fresh;
  }

  observe(milliseconds: number, now: number): void {
    if (this.value === undefined) {
      this.value = milliseconds;
    } else {
      const byTime = 1 - Math.exp((this.last - now) / DECAY_MILLISECONDS);
      const share = Math.max(SMALLEST_SHARE, byTime);
      this.value += (milliseconds - this.value) * share;
    }
    this.last = now;
  }

  /** A failed exchange; its short time must not make the target look fast. */
  penalise(now: number): void {
    const grown = (this.value ?? 0) * FAILURE_FACTOR;
    const bounded = Math.max(SMALLEST_PENALTY_MILLISECONDS, grown);
    this.value = Math.min(LARGEST_PENALTY_MILLISECONDS, bounded);
    this.last = now;
  }
}
