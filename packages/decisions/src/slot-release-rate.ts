import type {RandomSource} from '@gentiandoor/kernel';
import {WorkLength} from './work-length.js';

const MILLISECONDS_PER_SECOND = 1000;
const MINIMUM_SMOOTHING_FACTOR = 0.01;
const INITIAL_SLOT_MILLISECONDS = 50;

class MeanSlotTime {
  milliseconds = INITIAL_SLOT_MILLISECONDS;
  private count = 0;

  observe(milliseconds: number): void {
    this.count++;
    const share = Math.max(MINIMUM_SMOOTHING_FACTOR, 1 / this.count);
    this.milliseconds += (milliseconds - this.milliseconds) * share;
  }
}

/**
 * How fast slots come free, from what is in flight and how long exchanges hold a slot.
 * Little's law gives it at once after a change of load, where a count of releases over a window
 * would lag by the window.
 */
export class SlotReleaseRate {
  private readonly slotTimes = {
    [WorkLength.Short]: new MeanSlotTime(),
    [WorkLength.Long]: new MeanSlotTime(),
  };
  private readonly inFlight = {[WorkLength.Short]: 0, [WorkLength.Long]: 0};

  onStart(work: WorkLength): void {
    this.inFlight[work]++;
  }

  onEnd(work: WorkLength): void {
    this.inFlight[work]--;
  }

  /**
   * An exchange that was answered held its slot for so long. Busy answers and failures are left
   * out: a fault that fails in a millisecond would make every later exchange look slow.
   */
  onAnswered(work: WorkLength, heldMilliseconds: number): void {
    this.slotTimes[work].observe(heldMilliseconds);
  }

  inFlightOf(work: WorkLength): number {
    return this.inFlight[work];
  }

  /** Mean milliseconds that an exchange holds a slot. */
  meanSlotMilliseconds(work: WorkLength): number {
    return this.slotTimes[work].milliseconds;
  }

  /** Slots of one kind of work that come free in a millisecond. */
  slotsPerMillisecond(work: WorkLength): number {
    return Math.max(1, this.inFlight[work]) / this.slotTimes[work].milliseconds;
  }
}

const MINIMUM_RETRY_SECONDS = 1;
const MAXIMUM_RETRY_SECONDS = 60;

/**
 * Whole seconds after which to come again: when those that wait now are through, spread over as
 * long again, so that callers refused together do not come back together.
 */
export function retryAfterSeconds(
  random: RandomSource,
  waiting: number,
  perMillisecond: number,
): number {
  const drained = (waiting + 1) / perMillisecond / MILLISECONDS_PER_SECOND;
  const base = Math.max(MINIMUM_RETRY_SECONDS, drained);
  const spread = base * (1 + random.nextFraction());
  return Math.min(MAXIMUM_RETRY_SECONDS, Math.ceil(spread));
}
