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
 * The store handles one append at a time in a partition. While it is slow, a single
 * partition handles fewer appends than a hundred daemons request: most submissions are
 * refused, and the coordinator's progress waits behind the others. All daemons must use
 * the same number.
 */
export const SUBMISSION_PARTITIONS = 6;

/** Returns the partition that holds a job's submission and cancellation. */
export function submissionPartition(jobId: string): number {
  const digest = createHash('sha1').update(jobId).digest();
  return digest.readUInt32BE() % SUBMISSION_PARTITIONS;
}

/**
 * Appends submissions and cancellations of jobs; records of one job always go to the same
 * partition.
 */
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

  /**
   * Appends a record about `jobId`; the time limits are those of
   * `BatchingAppender.append`.
   */
  append(
    jobId: string,
    record: KeyedRecord,
    unsentTimeoutMilliseconds: number,
    outcomeTimeoutMilliseconds: number,
  ): Promise<BatchedAppendOutcome> {
    const appender = this.appenders[submissionPartition(jobId)];
    return appender.append(
      record,
      unsentTimeoutMilliseconds,
      outcomeTimeoutMilliseconds,
    );
  }
}
