import {parseJobRecordKey, type JobTable} from '@gentiandoor/jobs';
import type {Clock} from '@gentiandoor/kernel';
import {BatchedAppendOutcome} from './batching-appender.js';
import {RecordRetention} from './record-retention.js';
import type {SubmissionLog} from './submission-log.js';

/** Dependencies of the retention of early cancellations. */
export interface EarlyCancellationRetentionParts {
  readonly table: JobTable;
  readonly submissions: SubmissionLog;
  readonly clock: Clock;
  /** How long the final state of a job must remain available, in milliseconds. */
  readonly stateRetentionMilliseconds: number;
}

const DROP_TIMEOUT_MILLISECONDS = 15_000;

/** Deletes early cancellations once no submission is expected to arrive that late. */
export class EarlyCancellationRetention {
  private readonly retention: RecordRetention;

  constructor(private readonly parts: EarlyCancellationRetentionParts) {
    this.retention = new RecordRetention(
      parts.clock,
      parts.stateRetentionMilliseconds,
      recordKey => this.drop(recordKey),
    );
  }

  /** Includes the cancellations that earlier coordinators have read. */
  start(): void {
    for (const {recordKey} of this.parts.table.earlyCancellationNames())
      this.note(recordKey);
    this.retention.start();
  }

  close(): void {
    this.retention.close();
  }

  /** Notes a cancellation, or that it was repeated. */
  note(recordKey: string): void {
    this.retention.noteEnded(recordKey);
  }

  private async drop(recordKey: string): Promise<boolean> {
    const outcome = await this.parts.submissions.append(
      parseJobRecordKey(recordKey)?.jobId ?? '',
      {key: recordKey, value: undefined},
      DROP_TIMEOUT_MILLISECONDS,
      DROP_TIMEOUT_MILLISECONDS,
    );
    return outcome === BatchedAppendOutcome.Appended;
  }
}
