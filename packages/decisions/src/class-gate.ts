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
const FORGET_MILLISECONDS = 10_000;

/**
 * Keeps slots free for the short work that is likely to come; long work borrows the rest.
 * Answers projections and reviews that fill all slots in front of a counter preview: a slot taken
 * by long work is gone for its whole time, so room must be there before the short request comes.
 * The reserve is the mean of short work in flight over ten seconds and its square root, one
 * standard deviation of random arrivals; the peaks of one daemon find room in what others leave
 * idle, so more would only lie idle. An eighth (one slot of 8) stays when no short work was seen.
 * Long work is never held under a quarter: below that it goes first, so it does not starve.
 */
export class ShortReserve implements ClassGate {
  private mean = 0;
  private lastCount = 0;
  private lastAt = 0;

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

  onStart(): void {
    this.observe();
  }

  private longLimit(): number {
    this.observe();
    const capacity = this.capacity();
    const smallest = capacity * SMALLEST_RESERVE_SHARE;
    const likely = this.mean + Math.sqrt(this.mean);
    const limit = capacity - Math.ceil(Math.max(smallest, likely));
    return Math.max(limit, this.guarantee());
  }

  private guarantee(): number {
    return Math.max(1, Math.floor(this.capacity() * LONG_GUARANTEE_SHARE));
  }

  /** Weighs what was in flight since the last look by its time. */
  private observe(): void {
    const now = this.clock.monotonicMilliseconds();
    const share = 1 - Math.exp((this.lastAt - now) / FORGET_MILLISECONDS);
    this.mean += (this.lastCount - this.mean) * share;
    this.lastAt = now;
    this.lastCount = this.drain.inFlightOf(WorkLength.Short);
  }
}
