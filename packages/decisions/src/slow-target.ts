/** Decides which targets are so slow that a request does better to wait for another. */
export interface SlowTargetRule {
  /** By the milliseconds that an exchange takes at the target and usually takes in its pool. */
  isSlow(expected: number, usual: number): boolean;
}

/** Takes any free slot: the baseline. */
export class AllowSlowTargets implements SlowTargetRule {
  isSlow(): boolean {
    return false;
  }
}

/** Past this factor a target is slow; the last fifty answers differ by less by chance. */
const SLOW_FACTOR = 3;

/**
 * Leaves a slow target's slot alone until the queue's wait makes up for it.
 * Answers one target that takes ten times as long: it is used last, so its slots are what is free
 * when the rest are taken, and a choice has nothing else to choose. Who gets such a slot waits far
 * longer than for one elsewhere, which comes free in (time of an exchange / slots). The estimate
 * fades in seconds without answers, so that the target is tried again. When more than half of the
 * targets are slow, none is left alone.
 */
export class AvoidSlowTargets implements SlowTargetRule {
  isSlow(expected: number, usual: number): boolean {
    return expected > usual * SLOW_FACTOR;
  }
}
