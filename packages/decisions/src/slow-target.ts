/** Decides whether a free slot on a slow target is worth taking. */
export interface SlowTargetRule {
  /**
   * True when a request does better to wait for another target. All in milliseconds: what an
   * exchange takes at this target, what it usually takes, and what the queue's wait would be.
   */
  isWorseThanWaiting(
    expected: number,
    usual: number,
    queueWait: number,
  ): boolean;
}

/** Takes any free slot: the baseline. */
export class TakeAnySlot implements SlowTargetRule {
  isWorseThanWaiting(): boolean {
    return false;
  }
}

/** Past this factor a target is slow; the last fifty answers differ by less by chance. */
const SLOW_FACTOR = 3;

/**
 * Leaves a slow target's slot alone until the queue's wait makes up for it.
 * Answers one target that takes ten times as long: it is used last, so its slots are what is free
 * when the rest are taken, and two random choices have nothing else to choose. Who gets such a
 * slot waits far longer than for one elsewhere, which comes free in (time of an exchange / slots).
 * What is usual is the mean over all exchanges: when most targets are slow, none is. The estimate
 * fades in seconds without answers, so that the target is tried again.
 */
export class WaitRatherThanSlow implements SlowTargetRule {
  isWorseThanWaiting(
    expected: number,
    usual: number,
    queueWait: number,
  ): boolean {
    if (expected <= usual * SLOW_FACTOR) return false;
    return expected - usual > queueWait;
  }
}
