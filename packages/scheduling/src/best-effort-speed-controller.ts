/** Share of the target above which best-effort work is slowed down. */
const THROTTLE_RATIO = 0.85;
/** Share of the target below which best-effort work is sped up again. */
const RECOVER_RATIO = 0.6;
const FULL_PERCENT = 100;
/** Factor of one step down. */
const BACK_OFF_FACTOR = 0.4;
/** Percent of one step up; smaller than a step down to avoid oscillation. */
const RECOVER_STEP_PERCENT = 15;
/** Percent below which the work is paused. */
const MINIMUM_PERCENT = 5;

/**
 * Speed of the best-effort tasks on one worker.
 * Load: batch tasks beside tasks that answer callers, with a disturbance that changes within
 * seconds. Without it the response times of what serves stay over their target while batch work
 * goes on at full speed.
 */
export class BestEffortSpeedController {
  private current = FULL_PERCENT;

  get percent(): number {
    return this.current;
  }

  /** `worstRatio`: largest tail against its target among the serving tasks beside; 0 for none. */
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
