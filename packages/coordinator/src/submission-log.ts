import {createHash} from 'node:crypto';
import type {KeyedRecord} from '@gentiandoor/jobs';
import type {Clock} from '@gentiandoor/kernel';
import {AppendHealth} from './append-health.js';
import {
  BatchingAppender,
  type BatchedAppendOutcome,
} from './batching-appender.js';
import {LogStream, type RecordLog} from './record-log.js';

/**
 * The store takes one append after the other in a partition. While it is slow, a single partition takes fewer
 * than a hundred daemons ask for: most submissions are refused, and the coordinator's progress waits behind the
 * others. The same on all daemons.
 */
export const SUBMISSION_PARTITIONS = 6;

/** The partition in which a job's submission and cancellation lie. */
export function submissionPartition(jobId: string): number {
  const digest = createHash('sha1').update(jobId).digest();
  return digest.readUInt32BE() % SUBMISSION_PARTITIONS;
}

/** Appends submissions and cancellations of jobs, those of one job always to the same partition. */
export class SubmissionLog {
  readonly health: AppendHealth;
  private readonly appenders: readonly BatchingAppender[];

  constructor(log: RecordLog, clock: Clock) {
    const health = new AppendHealth(clock);
    this.health = health;
    this.appenders = Array.from(
      {length: SUBMISSION_PARTITIONS},
      (_, partition) =>
        new BatchingAppender(
          log,
          {stream: LogStream.Submissions, partition},
          clock,
          health,
        ),
    );
  }

  /** Appends a record about `jobId`; the bounds are those of `GroupedAppender.keep`. */
  append(
    jobId: string,
    record: KeyedRecord,
    patienceMilliseconds: number,
    boundMilliseconds: number,
  ): Promise<BatchedAppendOutcome> {
    const appender = this.appenders[submissionPartition(jobId)];
    return appender.append(record, patienceMilliseconds, boundMilliseconds);
  }
}
