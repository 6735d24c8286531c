/** How much of its usual load a target may get after it came into use. */
export interface WeightRamp {
  /** The target came into the routable set. */
  onAdded(target: string, now: number): void;
  /** The target left the routable set; it gets nothing from this moment on. */
  onRemoved(target: string, now: number): void;
  /** In (0, 1]. */
  weight(target: string, now: number): number;
}

/** Full load at once: the baseline. */
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
/** A change is forgotten after this long without another. */
const FLAP_RESET_MILLISECONDS = 120_000;

interface RampState {
  since: number;
  rampMilliseconds: number;
  lastChange: number;
  isRoutable: boolean;
}

/**
 * Brings a target back in bounded steps, slower each time it comes and goes.
 * Answers a cold target that would get its full share before its caches are warm, and a list that
 * flaps: each return would otherwise move a whole share of the load there and back. Leaving is
 * never slowed: a leaving target gets nothing new. Ten seconds from a tenth to the whole is a
 * ninth of its share a second, which the others give up without a visible step; the time doubles
 * with each return within two minutes, up to 80 seconds.
 * Targets that are there when the pool is first seen start whole: all cold at once is no reason
 * to hold any back.
 */
export class LinearWeightRamp implements WeightRamp {
  private readonly states = new Map<string, RampState>();

  /** The target was there from the start. */
  onFirst(target: string): void {
    this.states.delete(target);
  }

  onAdded(target: string, now: number): void {
    const state = this.states.get(target);
    const returnedLately =
      state !== undefined && now - state.lastChange < FLAP_RESET_MILLISECONDS;
    const rampMilliseconds = returnedLately
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
    const grown = (now - state.since) / state.rampMilliseconds;
    return Math.min(1, START_WEIGHT + (1 - START_WEIGHT) * grown);
  }

  private forgetStable(now: number): void {
    for (const [id, state] of this.states) {
      if (now - state.lastChange > FLAP_RESET_MILLISECONDS)
        this.states.delete(id);
    }
  }
}
