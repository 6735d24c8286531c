const BUCKET_MILLISECONDS = 100;
/** Long enough that a few jobs make a rate, short against the seconds that a queue's turn lasts. */
const WINDOW_BUCKETS = 8;

/**
 * Rate at which work arrives for a service, in millicores.
 * Load: queues that ask by turns for several times their mean. Without it a pool is enlarged only
 * when its VMs are full, and the VMs arrive a move's time later than they could.
 */
export class DemandMeter {
  private readonly buckets = new Map<number, number>();

  /** `work`: millicores times milliseconds of the tasks of a job that has come. */
  note(work: number, now: number): void {
    const bucket = Math.floor(now / BUCKET_MILLISECONDS);
    this.buckets.set(bucket, (this.buckets.get(bucket) ?? 0) + work);
  }

  /** Millicores that work which arrives at the present rate keeps busy. */
  millicores(now: number): number {
    const newest = Math.floor(now / BUCKET_MILLISECONDS);
    let work = 0;
    for (const [bucket, amount] of this.buckets) {
      if (bucket <= newest - WINDOW_BUCKETS) this.buckets.delete(bucket);
      else work += amount;
    }
    return work / (WINDOW_BUCKETS * BUCKET_MILLISECONDS);
  }
}
