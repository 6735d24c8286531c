/** Share of a pool's capacity that may be lost to preemption. */
const LOST_SHARE = 0.05;
/**
 * Period over which the share is averaged: a load peak of 4.5 s needs the stops at its beginning.
 * Over one second, a pool of one 8-core VM could not afford to stop a single run.
 */
export const BUDGET_WINDOW_MILLISECONDS = 4_000;

interface Loss {
  readonly at: number;
  readonly millicoreMilliseconds: number;
}

/**
 * Limits the work that a pool loses to preemption.
 * Load: a queue that needs several times its pool for seconds, next to much late work. Without it,
 * the pool repeats work that was stopped instead of finishing any.
 */
export class PreemptionBudget {
  private losses: Loss[] = [];

  /** Returns the millicore-milliseconds that may be lost at `now`. */
  remaining(capacityMillicores: number, now: number): number {
    const from = now - BUDGET_WINDOW_MILLISECONDS;
    this.losses = this.losses.filter(({at}) => at > from);
    const lost = this.losses.reduce(
      (sum, loss) => sum + loss.millicoreMilliseconds,
      0,
    );
    return LOST_SHARE * capacityMillicores * BUDGET_WINDOW_MILLISECONDS - lost;
  }

  spend(millicoreMilliseconds: number, now: number): void {
    this.losses.push({at: now, millicoreMilliseconds});
  }
}
