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
}

/** The fold of the job log: the newest record of each kind about each job. */
export class JobTable {
  private readonly jobs = new Map<string, StoredJob>();
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

  /** Applies a record; throws if it is not a valid job record. */
  apply(record: KeyedRecord): void {
    const key = parseJobRecordKey(record.key);
    if (!key)
      throw new Error('record key has none of the prefixes of job records');
    if (record.value === undefined) this.jobs.delete(key.jobId);
    else this.applyValue(key.kind, key.jobId, record.value);
  }

  private applyValue(kind: JobRecordKind, jobId: string, value: Buffer): void {
    const record = decodeJobRecord(kind, jobId, value);
    const job = this.entry(jobId);
    switch (record.kind) {
      case JobRecordKind.Submission:
        // The same job may be submitted again, even after it has ended.
        if (job.submission) return;
        job.submission = record.job;
        if (hasSubmission(job)) this.listener.submitted?.(job);
        return;
      case JobRecordKind.Cancellation:
        if (job.cancelled) return;
        job.cancelled = true;
        this.listener.cancelled?.(jobId);
        return;
      case JobRecordKind.Progress:
        job.progress = record.progress;
    }
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
