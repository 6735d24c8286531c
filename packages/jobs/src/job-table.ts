import type {Caller} from '@gentiandoor/organisations';
import {
  EarlyCancellations,
  type EarlyCancellationName,
} from './early-cancellations.js';
import {JobState, isFinal, type JobSubmission} from './job.js';
import {emptyProgress, type JobProgress} from './job-progress.js';
import {
  JobRecordKind,
  decodeJobRecord,
  parseJobRecordKey,
  type KeyedRecord,
} from './job-records.js';

/** State of one job according to the log. */
export interface StoredJob {
  /** Undefined while only a cancellation or progress has been read. */
  submission: JobSubmission | undefined;
  cancelled: boolean;
  progress: JobProgress;
}

/** Is notified of new submissions and cancellations in the log. */
export interface JobTableListener {
  submitted?(job: StoredJob & {submission: JobSubmission}): void;
  cancelled?(jobId: string): void;
  /** Called for each cancellation of an id that may have no submission, also a repeated one. */
  cancelledEarly?(name: EarlyCancellationName): void;
}

/** The fold of the job log: the newest record of each kind about each job. */
export class JobTable {
  private readonly jobs = new Map<string, StoredJob>();
  private readonly earlyCancellations = new EarlyCancellations();
  private listener: JobTableListener = {};

  /** Calls `listener` for records that are applied from now on. */
  listen(listener: JobTableListener): void {
    this.listener = listener;
  }

  /** Returns a submitted job; undefined if the log contains no submission of it. */
  find(jobId: string): (StoredJob & {submission: JobSubmission}) | undefined {
    const job = this.jobs.get(jobId);
    return job && hasSubmission(job) ? job : undefined;
  }

  /** Yields all submitted jobs. */
  *all(): Iterable<StoredJob & {submission: JobSubmission}> {
    for (const job of this.jobs.values()) if (hasSubmission(job)) yield job;
  }

  /** Number of cancellations of ids that may have no submission. */
  get earlyCancellationTotal(): number {
    return this.earlyCancellations.size;
  }

  /** Returns the names of all cancellations of ids that may have no submission. */
  earlyCancellationNames(): readonly EarlyCancellationName[] {
    return this.earlyCancellations.names();
  }

  /** Returns whether the log contains an early cancellation. */
  hasEarlyCancellation(name: EarlyCancellationName): boolean {
    return this.earlyCancellations.has(name);
  }

  /** Returns the number of early cancellations by callers with the same access as `caller`. */
  earlyCancellationCount(caller: Caller): number {
    return this.earlyCancellations.countOf(caller);
  }

  /**
   * Returns the state shown to callers, which depends only on what the log contains.
   */
  stateOf(job: StoredJob): JobState {
    if (job.cancelled && !isFinal(job.progress.state))
      return JobState.Cancelled;
    return job.progress.state;
  }

  /** Returns the number of jobs of `queue` of which no task has started. */
  pendingCount(queue: string): number {
    let count = 0;
    for (const job of this.all()) {
      if (job.submission.queue !== queue) continue;
      if (this.stateOf(job) === JobState.Queued) count++;
    }
    return count;
  }

  /**
   * Forgets the early cancellations of a part of the log that it no longer contains, after all its
   * keys have been read.
   */
  forgetEarlyCancellations(
    isOfPart: (jobId: string) => boolean,
    contained: ReadonlySet<string>,
  ): void {
    for (const name of this.earlyCancellations.names())
      if (isOfPart(name.jobId) && !contained.has(name.recordKey))
        this.earlyCancellations.remove(name);
  }

  /** Applies a record; throws if it is not a valid job record. */
  apply({key: recordKey, value}: KeyedRecord): void {
    const parsed = parseJobRecordKey(recordKey);
    if (!parsed)
      throw new Error('record key has none of the prefixes of job records');
    const {kind, jobId} = parsed;
    if (value !== undefined) this.applyValue(kind, {jobId, recordKey}, value);
    else if (kind === JobRecordKind.EarlyCancellation)
      this.earlyCancellations.remove({jobId, recordKey});
    else this.jobs.delete(jobId);
  }

  private applyValue(
    kind: JobRecordKind,
    name: EarlyCancellationName,
    value: Buffer,
  ): void {
    const {jobId} = name;
    const record = decodeJobRecord(kind, jobId, value);
    if (record.kind === JobRecordKind.EarlyCancellation) {
      this.applyEarlyCancellation(name, record.caller);
      return;
    }
    const job = this.entry(jobId);
    switch (record.kind) {
      case JobRecordKind.Submission:
        // The same job may be submitted again, even after it has ended.
        if (job.submission) return;
        job.submission = record.job;
        job.cancelled ||= this.earlyCancellations.include(jobId, record.job);
        if (hasSubmission(job)) this.listener.submitted?.(job);
        return;
      case JobRecordKind.Cancellation:
        this.cancel(jobId, job);
        return;
      case JobRecordKind.Progress:
        job.progress = record.progress;
    }
  }

  private applyEarlyCancellation(
    name: EarlyCancellationName,
    caller: Caller,
  ): void {
    this.earlyCancellations.add(name, caller);
    const job = this.find(name.jobId);
    if (job && this.earlyCancellations.include(name.jobId, job.submission))
      this.cancel(name.jobId, job);
    this.listener.cancelledEarly?.(name);
  }

  private cancel(jobId: string, job: StoredJob): void {
    if (job.cancelled) return;
    job.cancelled = true;
    this.listener.cancelled?.(jobId);
  }

  private entry(jobId: string): StoredJob {
    let job = this.jobs.get(jobId);
    if (!job) {
      job = {
        submission: undefined,
        cancelled: false,
        progress: emptyProgress(),
      };
      this.jobs.set(jobId, job);
    }
    return job;
  }
}

function hasSubmission(
  job: StoredJob,
): job is StoredJob & {submission: JobSubmission} {
  return job.submission !== undefined;
}
