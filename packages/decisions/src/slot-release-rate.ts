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
    const smoothingFactor = Math.max(MINIMUM_SMOOTHING_FACTOR, 1 / this.count);
    this.milliseconds += (milliseconds - this.milliseconds) * smoothingFactor;
  }
}

/**
 * Estimates how fast slots are released, from the exchanges in flight and the time that an exchange
 * occupies a slot. Little's law reflects a change of load at once, whereas counting releases over a
 * window would lag by the window.
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
   * Records how long an answered exchange occupied its slot. Busy responses and failures are left
   * out: a fault that fails within a millisecond would make every later exchange look slow.
   */
  onAnswered(work: WorkLength, slotMilliseconds: number): void {
    this.slotTimes[work].observe(slotMilliseconds);
  }

  inFlightOf(work: WorkLength): number {
    return this.inFlight[work];
  }

  /** Returns the mean milliseconds that an exchange occupies a slot. */
  meanSlotMilliseconds(work: WorkLength): number {
    return this.slotTimes[work].milliseconds;
  }

  /** Returns how many slots one kind of work releases per millisecond. */
  slotsPerMillisecond(work: WorkLength): number {
    return Math.max(1, this.inFlight[work]) / this.slotTimes[work].milliseconds;
  }
}

const MINIMUM_RETRY_SECONDS = 1;
const MAXIMUM_RETRY_SECONDS = 60;

/**
 * Returns the whole seconds after which to retry: the time until all requests now waiting have been
 * served, spread over the same time again so that callers refused together do not retry together.
 */
export function retryAfterSeconds(
  random: RandomSource,
  waiting: number,
  slotsPerMillisecond: number,
): number {
  const drainSeconds =
    (waiting + 1) / slotsPerMillisecond / MILLISECONDS_PER_SECOND;
  const base = Math.max(MINIMUM_RETRY_SECONDS, drainSeconds);
  const spread = base * (1 + random.nextFraction());
  return Math.min(MAXIMUM_RETRY_SECONDS, Math.ceil(spread));
}
