/** Ratio of tail latency to its target above which best-effort work is slowed down. */
const THROTTLE_RATIO = 0.85;
/**
 * Ratio of tail latency to its target below which best-effort work is sped up again.
 */
const RECOVER_RATIO = 0.6;
const FULL_PERCENT = 100;
/** Factor applied to the speed in one step down. */
const BACK_OFF_FACTOR = 0.4;
/**
 * Percentage points added in one step up; smaller than a step down to avoid
 * oscillation.
 */
const RECOVER_STEP_PERCENT = 15;
/** Speed in percent below which the work is paused. */
const MINIMUM_PERCENT = 5;

/**
 * Controls the speed of the best-effort tasks on one worker.
 * Load: batch tasks next to tasks that serve callers, with interference that changes
 * within seconds. Without it, the response times of the serving tasks stay above their
 * target while batch work continues at full speed.
 */
export class BestEffortSpeedController {
  private current = FULL_PERCENT;

  get percent(): number {
    return this.current;
  }

  /**
   * Adjusts the speed and returns it in percent. `worstRatio` is the highest ratio of
   * tail latency to its target among the serving tasks on the same worker; 0 if there
   * are none.
   */
  update(worstRatio: number): number {
    if (worstRatio > THROTTLE_RATIO) this.slowDown();
    else if (worstRatio < RECOVER_RATIO) this.speedUp();
    return this.current;
  }

  private slowDown(): void {
    const slower = Math.floor(this.current * BACK_OFF_FACTOR);
    this.current = slower < MINIMUM_PERCENT ? 0 : slower;
  }

  private speedUp(): void {
    this.current = Math.min(FULL_PERCENT, this.current + RECOVER_STEP_PERCENT);
  }
}
