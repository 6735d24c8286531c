import {Entitlement} from './entitlement-ledger.js';

/** A job in the bucket of its organisation. */
export interface BucketArrival {
  readonly jobId: string;
  readonly atMilliseconds: number;
  /** Weight of the organisation when the job was recorded. */
  readonly weight: number;
  entitlement: Entitlement;
  /** Tokens that are left after the job. */
  tokensLeft: number;
}

/** Tokens in a bucket at a time. */
interface BucketLevel {
  readonly atMilliseconds: number;
  readonly tokens: number;
}

/**
 * Arrivals are inserted at their place in time if they are at most this much older than the
 * newest one. Clocks of daemons differ by seconds, and a partition of the store may not be
 * readable for more than four seconds.
 */
export const REORDERING_MILLISECONDS = 10_000;
/** Bounds the memory and the time for an insertion when an organisation sends very fast. */
const MAXIMUM_ARRIVALS = 4_096;
const MILLISECONDS_PER_SECOND = 1_000;
/** A token counts as whole if only rounding errors are missing. */
const TOKEN_TOLERANCE = 1e-6;

/**
 * A token bucket that is driven by the times of arrivals, whatever the order in which they
 * are inserted: the result is that of the arrivals in order of time, and of job id for equal
 * times.
 * Load: in a burst, the coordinator reads jobs from several partitions of the store and
 * from daemons whose clocks differ. If each job took a token when it is read, a late
 * one would get a token that its time had already used, and the next coordinator, which
 * reads the jobs in another order, would give the tokens to other jobs.
 */
export class ArrivalBucket {
  /** Arrivals of the reordering window, oldest first. */
  private readonly arrivals: BucketArrival[] = [];
  /** Level after the arrivals that have left the window; undefined while none has. */
  private settled: BucketLevel | undefined;

  /** Number of arrivals that are kept. */
  get size(): number {
    return this.arrivals.length;
  }

  /** Time at which the bucket is full again if nothing else arrives. */
  get fullAtMilliseconds(): number {
    const newest = this.arrivals.at(-1);
    if (!newest) return -Infinity;
    const missing = capacityOf(newest.weight) - newest.tokensLeft;
    return (
      newest.atMilliseconds +
      (missing / newest.weight) * MILLISECONDS_PER_SECOND
    );
  }

  /** Inserts a job; the entitlement of later arrivals may change. */
  insert(
    jobId: string,
    submittedAtMilliseconds: number,
    weight: number,
  ): BucketArrival {
    const arrival: BucketArrival = {
      jobId,
      atMilliseconds: Math.max(
        submittedAtMilliseconds,
        this.settled?.atMilliseconds ?? -Infinity,
      ),
      weight,
      entitlement: Entitlement.Excess,
      tokensLeft: NaN,
    };
    let index = this.arrivals.length;
    while (index > 0 && isBefore(arrival, this.arrivals[index - 1])) index--;
    this.arrivals.splice(index, 0, arrival);
    this.classifyFrom(index);
    this.settle();
    return arrival;
  }

  /** Classifies the arrivals from `first` on, until the level is what it was before. */
  private classifyFrom(first: number): void {
    for (let index = first; index < this.arrivals.length; index++) {
      const arrival = this.arrivals[index];
      const tokens = this.tokensFor(index);
      const isEntitled = tokens >= 1 - TOKEN_TOLERANCE;
      const tokensLeft = isEntitled ? Math.max(0, tokens - 1) : tokens;
      const entitlement = isEntitled
        ? Entitlement.Entitled
        : Entitlement.Excess;
      const isUnchanged =
        arrival.tokensLeft === tokensLeft &&
        arrival.entitlement === entitlement;
      if (isUnchanged) return;
      arrival.tokensLeft = tokensLeft;
      arrival.entitlement = entitlement;
    }
  }

  /** Returns the tokens that the arrival at `index` finds. */
  private tokensFor(index: number): number {
    const {atMilliseconds, weight} = this.arrivals[index];
    const before = this.levelBefore(index);
    if (!before) return capacityOf(weight);
    const elapsed = atMilliseconds - before.atMilliseconds;
    const refill = (weight * elapsed) / MILLISECONDS_PER_SECOND;
    return Math.min(capacityOf(weight), before.tokens + refill);
  }

  private levelBefore(index: number): BucketLevel | undefined {
    return index > 0 ? levelAfter(this.arrivals[index - 1]) : this.settled;
  }

  /** Drops the arrivals before which nothing is inserted any more. */
  private settle(): void {
    const {arrivals} = this;
    const newest = arrivals[arrivals.length - 1].atMilliseconds;
    let count = Math.max(0, arrivals.length - MAXIMUM_ARRIVALS);
    while (newest - arrivals[count].atMilliseconds > REORDERING_MILLISECONDS)
      count++;
    if (count === 0) return;
    this.settled = levelAfter(arrivals[count - 1]);
    arrivals.splice(0, count);
  }
}

/** Returns the capacity of a bucket: at least one token, or no job would ever find one. */
function capacityOf(weight: number): number {
  return Math.max(1, weight);
}

function levelAfter({atMilliseconds, tokensLeft}: BucketArrival): BucketLevel {
  return {atMilliseconds, tokens: tokensLeft};
}

function isBefore(left: BucketArrival, right: BucketArrival): boolean {
  if (left.atMilliseconds !== right.atMilliseconds)
    return left.atMilliseconds < right.atMilliseconds;
  return left.jobId < right.jobId;
}
