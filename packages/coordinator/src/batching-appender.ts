import {sleep, type Clock} from '@gentiandoor/kernel';
import type {KeyedRecord} from '@gentiandoor/jobs';
import type {AppendHealth} from './append-health.js';
import {AppendOutcome, type LogStream, type RecordLog} from './record-log.js';

/** What became of a record that was handed in for appending. */
export enum BatchedAppendOutcome {
  Appended = 'kept',
  /** It is certain that the record was not and will not be appended. */
  NotAppended = 'not_kept',
  /** It may have been appended, and may still be. */
  Unknown = 'unknown',
}

/** Below the store's request limit, which includes record headers. */
const MAXIMUM_BATCH_BYTES = 1_000_000;
const RETRY_MILLISECONDS = 60;

/** Where records are appended. */
export interface AppendTarget {
  readonly stream: LogStream;
  readonly partition: number;
}

interface WaitingRecord {
  readonly record: KeyedRecord;
  /** Refused for certain after this. */
  readonly unsentDeadline: number;
  /** Left in doubt after this. */
  readonly outcomeDeadline: number;
  readonly resolve: (outcome: BatchedAppendOutcome) => void;
  /** An append that carried it got no answer. */
  inDoubt: boolean;
}

/**
 * Appends records of many callers with one call at a time: while one is under way the next ones
 * gather. A record may be appended twice when an answer was lost; readers take the same key twice.
 */
export class BatchingAppender {
  private queue: WaitingRecord[] = [];
  private running = false;

  /** `health`: shared by all appenders that go the same way to the store. */
  constructor(
    private readonly log: RecordLog,
    private readonly target: AppendTarget,
    private readonly clock: Clock,
    private readonly health: AppendHealth,
  ) {}

  /**
   * Appends a record. `patienceMilliseconds` bounds the wait while nothing was sent;
   * `boundMilliseconds` bounds it while the outcome is in doubt.
   */
  append(
    record: KeyedRecord,
    patienceMilliseconds: number,
    boundMilliseconds: number,
  ): Promise<BatchedAppendOutcome> {
    const now = this.clock.monotonicMilliseconds();
    return new Promise(resolve => {
      const waiting: WaitingRecord = {
        record,
        unsentDeadline: now + Math.min(patienceMilliseconds, boundMilliseconds),
        outcomeDeadline: now + boundMilliseconds,
        resolve,
        inDoubt: false,
      };
      this.queue.push(waiting);
      this.clock.schedule(patienceMilliseconds, () => this.refuse(waiting));
      this.clock.schedule(boundMilliseconds, () => this.giveUp(waiting));
      if (!this.running) void this.run();
    });
  }

  /** A record that waits behind an append that hangs was never sent: its caller is told at once. */
  private refuse(waiting: WaitingRecord): void {
    const index = this.queue.indexOf(waiting);
    if (index < 0 || waiting.inDoubt) return;
    this.queue.splice(index, 1);
    waiting.resolve(BatchedAppendOutcome.NotAppended);
  }

  /** An append that hangs must not hold the answer past the time that the caller waits. */
  private giveUp(waiting: WaitingRecord): void {
    const index = this.queue.indexOf(waiting);
    if (index >= 0) this.queue.splice(index, 1);
    const isUnsent = index >= 0 && !waiting.inDoubt;
    waiting.resolve(
      isUnsent
        ? BatchedAppendOutcome.NotAppended
        : BatchedAppendOutcome.Unknown,
    );
  }

  private async run(): Promise<void> {
    this.running = true;
    while (this.queue.length > 0) {
      const isProbe = this.health.isFailing;
      if (isProbe && !this.health.beginProbe()) {
        await sleep(this.clock, RETRY_MILLISECONDS);
        continue;
      }
      const batch = this.takeBatch(isProbe);
      const {stream, partition} = this.target;
      const result = await this.log.append(
        stream,
        batch.map(waiting => waiting.record),
        {partition},
      );
      if (isProbe) this.health.endProbe();
      if (result.outcome === AppendOutcome.Appended) {
        this.health.noteSuccess();
        for (const waiting of batch)
          waiting.resolve(BatchedAppendOutcome.Appended);
        continue;
      }
      this.health.noteFailure();
      const inDoubt = result.outcome === AppendOutcome.Unknown;
      this.queue.unshift(
        ...batch.filter(waiting => this.staysAfterFailure(waiting, inDoubt)),
      );
      if (this.queue.length > 0) await sleep(this.clock, RETRY_MILLISECONDS);
    }
    this.running = false;
  }

  private takeBatch(isProbe: boolean): WaitingRecord[] {
    // While the store fails, one record is enough to find out whether it is back: the others stay
    // unsent, so that their callers can be told for certain that they were not taken.
    if (isProbe) return this.queue.splice(0, 1);
    let bytes = 0;
    let count = 0;
    for (const {record} of this.queue) {
      bytes += record.key.length + (record.value?.length ?? 0);
      if (count > 0 && bytes > MAXIMUM_BATCH_BYTES) break;
      count++;
    }
    return this.queue.splice(0, count);
  }

  private staysAfterFailure(waiting: WaitingRecord, inDoubt: boolean): boolean {
    waiting.inDoubt ||= inDoubt;
    const now = this.clock.monotonicMilliseconds();
    const until = waiting.inDoubt
      ? waiting.outcomeDeadline
      : waiting.unsentDeadline;
    if (now + RETRY_MILLISECONDS < until) return true;
    waiting.resolve(
      waiting.inDoubt
        ? BatchedAppendOutcome.Unknown
        : BatchedAppendOutcome.NotAppended,
    );
    return false;
  }
}
