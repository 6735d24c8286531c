const BUCKET_MILLISECONDS = 100;
/** Half of the window over which arrivals are counted, in buckets. */
const HALF_WINDOW_BUCKETS = 5;
const WINDOW_BUCKETS = 2 * HALF_WINDOW_BUCKETS;
const WINDOW_MILLISECONDS = WINDOW_BUCKETS * BUCKET_MILLISECONDS;
/** A rising rate is extrapolated at most to this multiple. */
const MAXIMUM_GROWTH = 2;

interface Bucket {
  work: number;
  jobs: number;
}

/**
 * Estimates the rate at which work arrives for a service, in millicores.
 * Load: queues that alternate in bursts of several times their mean load. Without it, a
 * pool is enlarged only once its VMs are full, and the VMs arrive later than they
 * could, by the duration of a move.
 */
export class ArrivalRateEstimator {
  private readonly buckets = new Map<number, Bucket>();

  /**
   * Records the arrival of a job. `work` is the sum over its tasks of millicores times
   * milliseconds.
   */
  observe(work: number, now: number): void {
    const index = Math.floor(now / BUCKET_MILLISECONDS);
    const bucket = this.buckets.get(index) ?? {work: 0, jobs: 0};
    bucket.work += work;
    bucket.jobs++;
    this.buckets.set(index, bucket);
  }

  /**
   * Returns the standard error of the rate in millicores: the random variation in the
   * number of arriving jobs.
   */
  standardErrorMillicores(now: number): number {
    const newest = Math.floor(now / BUCKET_MILLISECONDS);
    const {work, jobs} = this.between(newest - WINDOW_BUCKETS, newest);
    return work / Math.sqrt(Math.max(1, jobs)) / WINDOW_MILLISECONDS;
  }

  /** Returns the millicores that work arriving at the current rate keeps busy. */
  offeredLoadMillicores(now: number): number {
    const newest = Math.floor(now / BUCKET_MILLISECONDS);
    this.forget(newest - WINDOW_BUCKETS);
    const recent = this.between(newest - HALF_WINDOW_BUCKETS, newest);
    const previous = this.between(
      newest - WINDOW_BUCKETS,
      newest - HALF_WINDOW_BUCKETS,
    );
    const jobs = Math.max(1, recent.jobs + previous.jobs);
    const work = recent.work + previous.work;
    const perJob = work / jobs;
    // A single job is not a rate: one large job in a quiet queue caused VMs for ten
    // such jobs to be moved in.
    const withoutOneJob = work - perJob;
    // Random variation of this size is not a rise: at ten jobs a second, every other
    // half window looks like one.
    const byChance = perJob * Math.sqrt(jobs);
    const rising = Math.max(0, recent.work - previous.work - byChance);
    const maximum = MAXIMUM_GROWTH * withoutOneJob;
    return Math.min(maximum, withoutOneJob + 2 * rising) / WINDOW_MILLISECONDS;
  }

  /** Returns the sum of the buckets after `from` up to and including `to`. */
  private between(from: number, to: number): Bucket {
    const sum: Bucket = {work: 0, jobs: 0};
    for (let index = from + 1; index <= to; index++) {
      sum.work += this.buckets.get(index)?.work ?? 0;
      sum.jobs += this.buckets.get(index)?.jobs ?? 0;
    }
    return sum;
  }

  private forget(before: number): void {
    for (const index of this.buckets.keys())
      if (index <= before) this.buckets.delete(index);
  }
}
