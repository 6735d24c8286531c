import type {Clock} from '@gentiandoor/kernel';
import type {SlotReleaseRate} from './slot-release-rate.js';
import {WorkLength} from './work-length.js';

/** Divides a pool's slots between short and long work. */
export interface WorkLengthPolicy {
  /** Whether work of this length may start now. */
  mayStart(work: WorkLength): boolean;
  /** Returns the length that goes first when both wait. */
  preferred(): WorkLength;
  /** Handles the start of an exchange of this length. */
  onStart(work: WorkLength): void;
}

/** Treats short and long work alike: the baseline; long work ends up in every slot. */
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
 * Reserves slots for the short work that is likely to arrive; long work may use the rest.
 * Load: projections and reviews that fill all slots ahead of a counter preview. Long work occupies
 * its slot until it ends, so without a reserve there would be no free slot when the short request
 * arrives. The reserve is the mean number of short exchanges in flight over ten seconds plus its
 * square root, one standard deviation of random arrivals; one daemon's peaks can use the slots that
 * others leave idle, so a larger reserve would only be idle. An eighth (one slot of 8) is reserved
 * even if no short work was seen. Long work is guaranteed a quarter: below that it goes first, so
 * it does not starve.
 */
export class ShortWorkReserve implements WorkLengthPolicy {
  private meanShortInFlight = 0;
  private lastShortInFlight = 0;
  private lastAt = 0;

  /** `capacity` returns the slots that this daemon may use in the pool now. */
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
    const minimumReserve = capacity * MINIMUM_RESERVED_SHARE;
    const expectedReserve =
      this.meanShortInFlight + Math.sqrt(this.meanShortInFlight);
    const limit =
      capacity - Math.ceil(Math.max(minimumReserve, expectedReserve));
    return Math.max(limit, this.guaranteedLongSlots());
  }

  private guaranteedLongSlots(): number {
    return Math.max(1, Math.floor(this.capacity() * GUARANTEED_LONG_SHARE));
  }

  /** Updates the mean with the count since the last observation, weighted by the elapsed time. */
  private observe(): void {
    const now = this.clock.monotonicMilliseconds();
    const smoothingFactor =
      1 - Math.exp((this.lastAt - now) / AVERAGING_MILLISECONDS);
    this.meanShortInFlight +=
      (this.lastShortInFlight - this.meanShortInFlight) * smoothingFactor;
    this.lastAt = now;
    this.lastShortInFlight = this.releaseRate.inFlightOf(WorkLength.Short);
  }
}
