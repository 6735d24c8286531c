const BUCKET_MILLISECONDS = 100;
/** Long enough that a few jobs make a rate, short against the seconds that a queue's turn lasts. */
const HALF_WINDOW_BUCKETS = 4;
const WINDOW_BUCKETS = 2 * HALF_WINDOW_BUCKETS;
/** A rate that rises is taken to rise on for about a move's time, at most to so many times itself: a burst doubles within that, a chance cluster of jobs must not fetch a whole pool. */
const MOST_GROWTH = 2;

/** Work of a job is spread over its own time, at most over this: a turn is over by then. */
const LONGEST_SPREAD_MILLISECONDS = 4_000;

/**
 * Rate at which work arrives for a service, in millicores.
 * Load: queues that ask by turns for several times their mean. Without it a pool is enlarged only
 * when its VMs are full, and the VMs arrive a move's time later than they could. A few large jobs
 * keep VMs busy for longer than the window: were each counted at its arrival, their pool would
 * swing between twice its size and nothing, and every swing costs two moves of each VM.
 */
export class DemandMeter {
  private readonly buckets = new Map<number, number>();

  /** `work`: millicores times milliseconds of the tasks of a job that has come and takes `spreadMilliseconds`. */
  note(work: number, now: number, spreadMilliseconds: number): void {
    const spread = Math.min(spreadMilliseconds, LONGEST_SPREAD_MILLISECONDS);
    const count = Math.max(1, Math.round(spread / BUCKET_MILLISECONDS));
    const first = Math.floor(now / BUCKET_MILLISECONDS);
    for (let bucket = first; bucket < first + count; bucket++)
      this.buckets.set(bucket, (this.buckets.get(bucket) ?? 0) + work / count);
  }

  /** Millicores that work which arrives at the present rate keeps busy. */
  millicores(now: number): number {
    const newest = Math.floor(now / BUCKET_MILLISECONDS);
    this.forget(newest - WINDOW_BUCKETS);
    const recent = this.between(newest - HALF_WINDOW_BUCKETS, newest);
    const before = this.between(
      newest - WINDOW_BUCKETS,
      newest - HALF_WINDOW_BUCKETS,
    );
    const mean = (recent + before) / 2;
    const rising = Math.max(0, recent - before);
    return Math.min(MOST_GROWTH * mean, mean + rising);
  }

  /** Millicores over the buckets after `from` up to `to`. */
  private between(from: number, to: number): number {
    let work = 0;
    for (let bucket = from + 1; bucket <= to; bucket++)
      work += this.buckets.get(bucket) ?? 0;
    return work / ((to - from) * BUCKET_MILLISECONDS);
  }

  private forget(before: number): void {
    for (const bucket of this.buckets.keys())
      if (bucket <= before) this.buckets.delete(bucket);
  }
}
