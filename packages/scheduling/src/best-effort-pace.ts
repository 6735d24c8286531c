/** Share of the target at which best-effort work gives way, before callers see it. */
const GIVE_WAY_RATIO = 0.85;
/** Share of the target under which best-effort work gets some of its speed back. */
const RECOVER_RATIO = 0.6;
const FULL_PERCENT = 100;
/** One step down must be felt within the next poll, since harm is counted after a few of them. */
const BACK_OFF_FACTOR = 0.4;
/** One step up is small against a step down, so that the speed settles instead of swinging. */
const RECOVER_STEP_PERCENT = 15;
/** Below this the work is as good as standing still. */
const LEAST_PERCENT = 5;

/**
 * Speed of the best-effort tasks on one worker.
 * Load: batch tasks beside tasks that answer callers, with a disturbance that changes within
 * seconds. Without it the response times of what serves stay over their target while batch work
 * goes on at full speed.
 */
export class BestEffortPace {
  private current = FULL_PERCENT;

  get percent(): number {
    return this.current;
  }

  /** `worstRatio`: largest tail against its target among the serving tasks beside; 0 for none. */
  update(worstRatio: number): number {
    if (worstRatio > GIVE_WAY_RATIO) this.slowDown();
    else if (worstRatio < RECOVER_RATIO) this.speedUp();
    return this.current;
  }

  private slowDown(): void {
    const slower = Math.floor(this.current * BACK_OFF_FACTOR);
    this.current = slower < LEAST_PERCENT ? 0 : slower;
  }

  private speedUp(): void {
    this.current = Math.min(FULL_PERCENT, this.current + RECOVER_STEP_PERCENT);
  }
}
