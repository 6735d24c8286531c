import type {Clock} from '@gentiandoor/kernel';
import type {SlotReleaseRate} from './slot-release-rate.js';
import {WorkLength} from './work-length.js';

/** Shares a pool's slots between short and long work. */
export interface WorkLengthPolicy {
  /** Whether work of this kind may start now. */
  mayStart(work: WorkLength): boolean;
  /** Which kind goes first when both wait. */
  preferred(): WorkLength;
  /** An exchange of this kind began. */
  onStart(work: WorkLength): void;
}

/** Short and long work alike: the baseline; long work ends up in every slot. */
export class EqualWorkLengthPolicy implements WorkLengthPolicy {
  mayStart(): boolean {
    return true;
  }

  preferred(): WorkLength {
    return WorkLength.Short;
  }

  onStart(): void {}
}

const MINIMUM_RESERVED_SHARE = 0.125;
const GUARANTEED_LONG_SHARE = 0.25;
const AVERAGING_MILLISECONDS = 10_000;

/**
 * Keeps slots free for the short work that is likely to come; long work borrows the rest.
 * Answers projections and reviews that fill all slots in front of a counter preview: a slot taken
 * by long work is gone for its whole time, so room must be there before the short request comes.
 * The reserve is the mean of short work in flight over ten seconds and its square root, one
 * standard deviation of random arrivals; the peaks of one daemon find room in what others leave
 * idle, so more would only lie idle. An eighth (one slot of 8) stays when no short work was seen.
 * Long work is never held under a quarter: below that it goes first, so it does not starve.
 */
export class ShortWorkReserve implements WorkLengthPolicy {
  private meanShortInFlight = 0;
  private lastShortInFlight = 0;
  private lastAt = 0;

  /** `capacity` gives the slots that this daemon may use in the pool now. */
  constructor(
    private readonly clock: Clock,
    private readonly releaseRate: SlotReleaseRate,
    private readonly capacity: () => number,
  ) {}

  mayStart(work: WorkLength): boolean {
    if (work === WorkLength.Short) return true;
    const long = this.releaseRate.inFlightOf(WorkLength.Long);
    return long < this.maximumLongInFlight();
  }

  preferred(): WorkLength {
    const long = this.releaseRate.inFlightOf(WorkLength.Long);
    return long < this.guaranteedLongSlots()
      ? WorkLength.Long
      : WorkLength.Short;
  }

  onStart(): void {
    this.observe();
  }

  private maximumLongInFlight(): number {
    this.observe();
    const capacity = this.capacity();
    const smallest = capacity * MINIMUM_RESERVED_SHARE;
    const likely = this.meanShortInFlight + Math.sqrt(this.meanShortInFlight);
    const limit = capacity - Math.ceil(Math.max(smallest, likely));
    return Math.max(limit, this.guaranteedLongSlots());
  }

  private guaranteedLongSlots(): number {
    return Math.max(1, Math.floor(this.capacity() * GUARANTEED_LONG_SHARE));
  }

  /** Weighs what was in flight since the last look by its time. */
  private observe(): void {
    const now = this.clock.monotonicMilliseconds();
    const share = 1 - Math.exp((this.lastAt - now) / AVERAGING_MILLISECONDS);
    this.meanShortInFlight +=
      (this.lastShortInFlight - this.meanShortInFlight) * share;
    this.lastAt = now;
    this.lastShortInFlight = this.releaseRate.inFlightOf(WorkLength.Short);
  }
}
