import {JobState, isFinal, type JobSubmission} from './job.js';
import {emptyProgress, type JobProgress} from './job-progress.js';
import {
  JobRecordKind,
  decodeJobRecord,
  parseJobRecordKey,
  type KeyedRecord,
} from './job-records.js';

/** What the log says of one job. */
export interface StoredJob {
  /** Undefined while only a cancellation or progress has been read. */
  submission: JobSubmission | undefined;
  cancelled: boolean;
  progress: JobProgress;
}

/** Hears of what the log says anew. */
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

  /** A job that was handed in; undefined when the log has not told of one. */
  find(jobId: string): (StoredJob & {submission: JobSubmission}) | undefined {
    const job = this.jobs.get(jobId);
    return job && hasSubmission(job) ? job : undefined;
  }

  /** All jobs that were handed in. */
  *all(): Iterable<StoredJob & {submission: JobSubmission}> {
    for (const job of this.jobs.values()) if (hasSubmission(job)) yield job;
  }

  /** State that callers are shown: only what the log keeps. */
  stateOf(job: StoredJob): JobState {
    if (job.cancelled && !isFinal(job.progress.state))
      return JobState.Cancelled;
    return job.progress.state;
  }

  /** Jobs of `queue` of which no task has started. */
  pendingCount(queue: string): number {
    let count = 0;
    for (const job of this.all()) {
      if (job.submission.queue !== queue) continue;
      if (this.stateOf(job) === JobState.Queued) count++;
    }
    return count;
  }

  /** Applies a record; throws when it is not one of ours. */
  apply(record: KeyedRecord): void {
    const key = parseJobRecordKey(record.key);
    if (!key) throw new Error('key of another kind');
    if (record.value === undefined) this.jobs.delete(key.jobId);
    else this.applyValue(key.kind, key.jobId, record.value);
  }

  private applyValue(kind: JobRecordKind, jobId: string, value: Buffer): void {
    const record = decodeJobRecord(kind, jobId, value);
    const job = this.entry(jobId);
    switch (record.kind) {
      case JobRecordKind.Submission:
        // The same job may be handed in again, also after it has ended.
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
