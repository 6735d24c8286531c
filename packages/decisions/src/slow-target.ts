/** Decides which targets are so slow that a request had better wait for another. */
export interface SlowTargetRule {
  /**
   * Whether a target is slow, by the expected milliseconds of an exchange there and the usual ones
   * in its pool.
   */
  isSlow(expected: number, usual: number): boolean;
}

/** Uses any free slot: the baseline. */
export class AllowSlowTargets implements SlowTargetRule {
  isSlow(): boolean {
    return false;
  }
}

/**
 * Above this factor a target is slow; means of the last fifty responses differ by less by chance.
 */
const SLOW_FACTOR = 3;

/**
 * Avoids a free slot of a slow target until the queue's wait is longer than the extra latency.
 * Load: one target that takes ten times as long. It is used last, so its slots are the only free
 * ones when the rest are taken, and without this rule the selection has no alternative. A request
 * that gets such a slot takes far longer than one that waits for a slot elsewhere, which becomes
 * free every (time of an exchange / slots). Without responses the estimate decays within seconds,
 * so the target is tried again. If more than half of the targets are slow, none is avoided.
 */
export class AvoidSlowTargets implements SlowTargetRule {
  isSlow(expected: number, usual: number): boolean {
    return expected > usual * SLOW_FACTOR;
  }
}
