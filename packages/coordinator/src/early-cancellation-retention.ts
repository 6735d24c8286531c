import type {EarlyCancellationName, JobTable} from '@gentiandoor/jobs';
import type {Clock} from '@gentiandoor/kernel';
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
  private readonly retention: RecordRetention<EarlyCancellationName>;

  constructor(private readonly parts: EarlyCancellationRetentionParts) {
    this.retention = new RecordRetention(
      parts.clock,
      parts.stateRetentionMilliseconds,
      name => this.drop(name),
    );
  }

  /** Includes the cancellations that earlier coordinators have read. */
  start(): void {
    for (const name of this.parts.table.earlyCancellationNames())
      this.note(name);
    this.retention.start();
  }

  close(): void {
    this.retention.close();
  }

  note(name: EarlyCancellationName): void {
    this.retention.noteEnded(name);
  }

  private drop({jobId, key}: EarlyCancellationName): void {
    void this.parts.submissions.append(
      jobId,
      {key, value: undefined},
      DROP_TIMEOUT_MILLISECONDS,
      DROP_TIMEOUT_MILLISECONDS,
    );
  }
}
