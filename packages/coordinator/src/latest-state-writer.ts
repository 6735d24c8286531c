import {
  LogEvent,
  supervise,
  type Clock,
  type Logger,
} from '@gentiandoor/kernel';
import type {KeyedRecord} from '@gentiandoor/jobs';
import type {FencedWriter} from './fenced-writer.js';
import {AppendOutcome} from './record-log.js';

/** Dependencies of a `LatestStateWriter`. */
export interface LatestStateWriterParts<Subject> {
  readonly name: string;
  readonly writer: FencedWriter;
  /** Returns the record of the current state of a subject. */
  readonly encode: (subject: Subject) => KeyedRecord;
  readonly clock: Clock;
  readonly logger: Logger;
}

/**
 * Stores the latest state of each subject, one append at a time; changes made while an append is
 * under way go into the next one.
 */
export class LatestStateWriter<Subject> {
  private readonly changed = new Set<Subject>();
  private running = false;

  constructor(private readonly parts: LatestStateWriterParts<Subject>) {}

  /** Stores the current state of `subject`. */
  store(subject: Subject): void {
    this.changed.add(subject);
    if (this.running) return;
    this.running = true;
    void supervise({
      ...this.parts,
      isStopped: () => this.parts.writer.isClosed,
      run: () => this.storeChanged(),
    });
  }

  private async storeChanged(): Promise<void> {
    for (const subject of this.changed) {
      this.changed.delete(subject);
      await this.storeOne(subject);
    }
    // In the same turn as the last look at `changed`: a later change starts anew.
    this.running = false;
  }

  private async storeOne(subject: Subject): Promise<void> {
    const {writer, encode, logger} = this.parts;
    try {
      const record = encode(subject);
      if ((await writer.append([record])) === AppendOutcome.Rejected)
        logger.error(LogEvent.RecordNotStorable, {key: record.key});
    } catch (error) {
      this.changed.add(subject);
      throw error;
    }
  }
}
