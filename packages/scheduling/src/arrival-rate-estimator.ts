const BUCKET_MILLISECONDS = 100;
/** Window over which arrivals are counted. */
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
 * Rate at which work arrives for a service, in millicores.
 * Load: queues that ask by turns for several times their mean. Without it a pool is enlarged only
 * when its VMs are full, and the VMs arrive a move's time later than they could.
 */
export class ArrivalRateEstimator {
  private readonly buckets = new Map<number, Bucket>();

  /** `work`: millicores times milliseconds of the tasks of a job that has come. */
  observe(work: number, now: number): void {
    const index = Math.floor(now / BUCKET_MILLISECONDS);
    const bucket = this.buckets.get(index) ?? {work: 0, jobs: 0};
    bucket.work += work;
    bucket.jobs++;
    this.buckets.set(index, bucket);
  }

  /** Millicores by which the rate lies off by chance: so many jobs come like that anyway. */
  standardErrorMillicores(now: number): number {
    const newest = Math.floor(now / BUCKET_MILLISECONDS);
    const {work, jobs} = this.between(newest - WINDOW_BUCKETS, newest);
    return work / Math.sqrt(Math.max(1, jobs)) / WINDOW_MILLISECONDS;
  }

  /** Millicores that work which arrives at the present rate keeps busy. */
  offeredLoadMillicores(now: number): number {
    const newest = Math.floor(now / BUCKET_MILLISECONDS);
    this.forget(newest - WINDOW_BUCKETS);
    const recent = this.between(newest - HALF_WINDOW_BUCKETS, newest);
    const before = this.between(
      newest - WINDOW_BUCKETS,
      newest - HALF_WINDOW_BUCKETS,
    );
    const jobs = Math.max(1, recent.jobs + before.jobs);
    const work = recent.work + before.work;
    const perJob = work / jobs;
    // One job is no rate: a single large one in a quiet queue fetched VMs for ten like it.
    const certain = work - perJob;
    // So many more jobs come by chance: with ten a second every other half looks like a rise.
    const byChance = perJob * Math.sqrt(jobs);
    const rising = Math.max(0, recent.work - before.work - byChance);
    const most = MAXIMUM_GROWTH * certain;
    return Math.min(most, certain + 2 * rising) / WINDOW_MILLISECONDS;
  }

  /** What came in the buckets after `from` up to `to`. */
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
