import {
  callerScope,
  mayAccessJob,
  type Caller,
  type OwnedJob,
} from '@gentiandoor/organisations';

/** Names the record of an early cancellation. */
export interface EarlyCancellationName {
  readonly jobId: string;
  readonly recordKey: string;
}

/**
 * Cancellations of ids of which the log contained no submission. A submission that is appended
 * later belongs to a cancelled job if the caller that cancelled the id may access it.
 */
export class EarlyCancellations {
  private readonly byJob = new Map<string, Map<string, Caller>>();
  private readonly counts = new Map<string, number>();
  private total = 0;

  /** Number of cancellations. */
  get size(): number {
    return this.total;
  }

  add({jobId, recordKey}: EarlyCancellationName, caller: Caller): void {
    const ofJob = this.byJob.get(jobId) ?? new Map<string, Caller>();
    if (ofJob.has(recordKey)) return;
    ofJob.set(recordKey, caller);
    this.byJob.set(jobId, ofJob);
    this.count(caller, 1);
  }

  remove({jobId, recordKey}: EarlyCancellationName): void {
    const ofJob = this.byJob.get(jobId);
    const caller = ofJob?.get(recordKey);
    if (!ofJob || !caller) return;
    ofJob.delete(recordKey);
    if (ofJob.size === 0) this.byJob.delete(jobId);
    this.count(caller, -1);
  }

  has({jobId, recordKey}: EarlyCancellationName): boolean {
    return this.byJob.get(jobId)?.has(recordKey) === true;
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

  /** Returns the names of all cancellations. */
  names(): EarlyCancellationName[] {
    return [...this.byJob].flatMap(([jobId, ofJob]) =>
      [...ofJob.keys()].map(recordKey => ({jobId, recordKey})),
    );
  }

  private count(caller: Caller, change: number): void {
    this.total += change;
    const scope = callerScope(caller);
    const count = (this.counts.get(scope) ?? 0) + change;
    if (count > 0) this.counts.set(scope, count);
    else this.counts.delete(scope);
  }
}
