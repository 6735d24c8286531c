/** Limits the share of its usual load that a target may receive after it was added. */
export interface WeightRamp {
  /** Handles a target that became routable. */
  onAdded(target: string, now: number): void;
  /** Handles a target that is no longer routable; it receives nothing from this moment on. */
  onRemoved(target: string, now: number): void;
  /** Returns the current weight, in (0, 1]. */
  weight(target: string, now: number): number;
}

/** Applies the full load at once: the baseline. */
export class NoWeightRamp implements WeightRamp {
  onAdded(): void {}

  onRemoved(): void {}

  weight(): number {
    return 1;
  }
}

const START_WEIGHT = 0.1;
const RAMP_MILLISECONDS = 10_000;
const MAXIMUM_RAMP_MILLISECONDS = 80_000;
/** Changes are forgotten after this long without another. */
const FLAP_RESET_MILLISECONDS = 120_000;

interface RampState {
  since: number;
  rampMilliseconds: number;
  lastChange: number;
  isRoutable: boolean;
}

/**
 * Increases the load of a returning target gradually, and more slowly each time it comes and goes.
 * Load: a cold target, which would receive its full share before its caches are warm, and a list
 * that flaps: without a ramp each return would move a whole share of the load there and back.
 * Removal is never delayed: a leaving target receives nothing new. Ten seconds from a tenth to the
 * full share is 9% of its share per second, which the other targets give up without a visible step;
 * the time doubles with each return within two minutes, up to 80 seconds.
 * Targets present when the pool is first seen start at full weight: if all of them are cold, there
 * is no reason to hold any back.
 */
export class LinearWeightRamp implements WeightRamp {
  private readonly states = new Map<string, RampState>();

  /** Handles a target that was present from the start. */
  onFirst(target: string): void {
    this.states.delete(target);
  }

  onAdded(target: string, now: number): void {
    const state = this.states.get(target);
    const hasReturnedRecently =
      state !== undefined && now - state.lastChange < FLAP_RESET_MILLISECONDS;
    const rampMilliseconds = hasReturnedRecently
      ? Math.min(MAXIMUM_RAMP_MILLISECONDS, state.rampMilliseconds * 2)
      : RAMP_MILLISECONDS;
    this.states.set(target, {
      since: now,
      rampMilliseconds,
      lastChange: now,
      isRoutable: true,
    });
  }

  onRemoved(target: string, now: number): void {
    const state = this.states.get(target);
    const rampMilliseconds = state?.rampMilliseconds ?? RAMP_MILLISECONDS / 2;
    this.states.set(target, {
      since: now,
      rampMilliseconds,
      lastChange: now,
      isRoutable: false,
    });
    this.forgetStable(now);
  }

  weight(target: string, now: number): number {
    const state = this.states.get(target);
    if (!state?.isRoutable) return 1;
    const progress = (now - state.since) / state.rampMilliseconds;
    return Math.min(1, START_WEIGHT + (1 - START_WEIGHT) * progress);
  }

  private forgetStable(now: number): void {
    for (const [id, state] of this.states) {
      if (now - state.lastChange > FLAP_RESET_MILLISECONDS)
        this.states.delete(id);
    }
  }
}
