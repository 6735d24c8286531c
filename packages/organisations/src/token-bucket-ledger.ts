import {
  ArrivalBucket,
  REORDERING_MILLISECONDS,
  type BucketArrival,
} from './arrival-bucket.js';
import {
  Entitlement,
  type EntitlementLedger,
  type JobArrival,
} from './entitlement-ledger.js';

/** Time of submissions after which buckets that no longer matter are looked for. */
const SWEEP_INTERVAL_MILLISECONDS = 10_000;

/**
 * Entitles each organisation to `weight` jobs per second over all queues, by a token
 * bucket that holds as many tokens.
 * Load: one organisation sends five times its usual amount. Without it, its jobs are as
 * entitled as those of all others, and the jobs of every organisation are late.
 *
 * The classification depends only on the submission times of the jobs, so a successor that
 * reads them from the store classifies them alike. A job that is recorded after one with a
 * later submission time takes its token at its own time, which may make the later one an
 * excess job.
 */
export class TokenBucketLedger implements EntitlementLedger {
  private readonly buckets = new Map<string, ArrivalBucket>();
  /** Arrivals of jobs that have not been forgotten. */
  private readonly arrivals = new Map<string, BucketArrival>();
  private newestAtMilliseconds = -Infinity;
  private sweepAtMilliseconds = -Infinity;

  /** `weightOf` returns the current weight of an organisation; 0 if it has none. */
  constructor(private readonly weightOf: (organisation: string) => number) {}

  /** Number of organisations with a bucket. */
  get bucketCount(): number {
    return this.buckets.size;
  }

  /** Number of arrivals that are kept. */
  get arrivalCount(): number {
    let count = this.arrivals.size;
    for (const bucket of this.buckets.values()) count += bucket.size;
    return count;
  }

  record({jobId, organisation, submittedAtMilliseconds}: JobArrival): void {
    if (organisation === undefined || this.arrivals.has(jobId)) return;
    const weight = this.weightOf(organisation);
    if (weight <= 0) return;
    this.forgetFullBuckets(submittedAtMilliseconds);
    const bucket = this.buckets.get(organisation) ?? new ArrivalBucket();
    this.buckets.set(organisation, bucket);
    this.arrivals.set(
      jobId,
      bucket.insert(jobId, submittedAtMilliseconds, weight),
    );
  }

  entitlementOf(jobId: string): Entitlement {
    return this.arrivals.get(jobId)?.entitlement ?? Entitlement.Entitled;
  }

  /** Forgets a job; the token that it took stays taken. */
  forget(jobId: string): void {
    this.arrivals.delete(jobId);
  }

  /** Forgets the buckets that are full again: a new one gives the same result. */
  private forgetFullBuckets(atMilliseconds: number): void {
    this.newestAtMilliseconds = Math.max(
      this.newestAtMilliseconds,
      atMilliseconds,
    );
    if (this.newestAtMilliseconds < this.sweepAtMilliseconds) return;
    this.sweepAtMilliseconds =
      this.newestAtMilliseconds + SWEEP_INTERVAL_MILLISECONDS;
    const settledUntil = this.newestAtMilliseconds - REORDERING_MILLISECONDS;
    for (const [organisation, bucket] of this.buckets)
      if (bucket.fullAtMilliseconds < settledUntil)
        this.buckets.delete(organisation);
  }
}
