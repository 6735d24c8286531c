import type {Clock} from '@gentiandoor/kernel';
import type {DrainRate} from './drain-rate.js';
import {WorkLength} from './work-class.js';

/** Shares a pool's slots between short and long work. */
export interface ClassGate {
  /** Whether work of this kind may start now. */
  mayStart(work: WorkLength): boolean;
  /** Which kind goes first when both wait. */
  first(): WorkLength;
  /** An exchange of this kind began. */
  onStart(work: WorkLength): void;
}

/** Short and long work alike: the baseline; long work ends up in every slot. */
export class NoClassGate implements ClassGate {
  mayStart(): boolean {
    return true;
  }

  first(): WorkLength {
    return WorkLength.Short;
  }

  onStart(): void {}
}

const SMALLEST_RESERVE_SHARE = 0.125;
const LONG_GUARANTEE_SHARE = 0.25;
const PEAK_MARGIN = 1.5;
const PEAK_FORGET_MILLISECONDS = 30_000;

/**
 * Keeps slots free for the short work that is likely to come; long work borrows the rest.
 * Answers projections and reviews that fill all slots in front of a counter preview: a slot taken
 * by long work is gone for its whole time, so room must be there before the short request comes.
 * The reserve is half as much again as the most short work in flight lately (forgotten over 30 s),
 * so it follows the day; an eighth (one slot of 8) stays when no short work was seen at all. Long
 * work is never held under a quarter: below that it goes first, so it does not starve.
 */
export class ShortReserve implements ClassGate {
  private peak = 0;
  private peakAt = 0;

  /** `capacity` gives the slots that this daemon may use in the pool now. */
  constructor(
    private readonly clock: Clock,
    private readonly drain: DrainRate,
    private readonly capacity: () => number,
  ) {}

  mayStart(work: WorkLength): boolean {
    if (work === WorkLength.Short) return true;
    const long = this.drain.inFlightOf(WorkLength.Long);
    return long < this.longLimit();
  }

  first(): WorkLength {
    const long = this.drain.inFlightOf(WorkLength.Long);
    return long < this.guarantee() ? WorkLength.Long : WorkLength.Short;
  }

  onStart(work: WorkLength): void {
    if (work === WorkLength.Long) return;
    const short = this.drain.inFlightOf(WorkLength.Short);
    if (short < this.currentPeak()) return;
    this.peak = short;
    this.peakAt = this.clock.monotonicMilliseconds();
  }

  private longLimit(): number {
    const capacity = this.capacity();
    const smallest = Math.ceil(capacity * SMALLEST_RESERVE_SHARE);
    const wanted = Math.ceil(this.currentPeak() * PEAK_MARGIN);
    const limit = capacity - Math.max(smallest, wanted);
    return Math.max(limit, this.guarantee());
  }

  private guarantee(): number {
    return Math.max(1, Math.floor(this.capacity() * LONG_GUARANTEE_SHARE));
  }

  private currentPeak(): number {
    const age = this.clock.monotonicMilliseconds() - this.peakAt;
    return this.peak * Math.exp(-age / PEAK_FORGET_MILLISECONDS);
  }
}
