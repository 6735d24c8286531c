import {
  callerScope,
  mayAccessJob,
  type Caller,
  type OwnedJob,
} from '@gentiandoor/organisations';

/** Names the record of an early cancellation. */
export interface EarlyCancellationName {
  readonly jobId: string;
  readonly key: string;
}

/**
 * Cancellations of ids of which the log contained no submission. A submission that is appended
 * later belongs to a cancelled job if the caller that cancelled the id may access it.
 */
export class EarlyCancellations {
  private readonly byJob = new Map<string, Map<string, Caller>>();
  private readonly counts = new Map<string, number>();

  /** Adds a cancellation; returns whether it is new. */
  add({jobId, key}: EarlyCancellationName, caller: Caller): boolean {
    const ofJob = this.byJob.get(jobId) ?? new Map<string, Caller>();
    if (ofJob.has(key)) return false;
    ofJob.set(key, caller);
    this.byJob.set(jobId, ofJob);
    this.count(caller, 1);
    return true;
  }

  remove({jobId, key}: EarlyCancellationName): void {
    const ofJob = this.byJob.get(jobId);
    const caller = ofJob?.get(key);
    if (!ofJob || !caller) return;
    ofJob.delete(key);
    if (ofJob.size === 0) this.byJob.delete(jobId);
    this.count(caller, -1);
  }

  /** Returns whether a caller that may access the job has cancelled its id. */
  include(jobId: string, job: OwnedJob): boolean {
    const callers = this.byJob.get(jobId)?.values() ?? [];
    return [...callers].some(caller => mayAccessJob(job, caller));
  }

  /** Returns the number of cancellations by callers with the same access as `caller`. */
  countOf(caller: Caller): number {
    return this.counts.get(callerScope(caller)) ?? 0;
  }

  /** Yields the names of all cancellations. */
  *names(): Iterable<EarlyCancellationName> {
    for (const [jobId, ofJob] of this.byJob)
      for (const key of ofJob.keys()) yield {jobId, key};
  }

  private count(caller: Caller, change: number): void {
    const scope = callerScope(caller);
    const count = (this.counts.get(scope) ?? 0) + change;
    if (count > 0) this.counts.set(scope, count);
    else this.counts.delete(scope);
  }
}
