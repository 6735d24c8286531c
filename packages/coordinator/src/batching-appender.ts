import {sleep, type Clock} from '@gentiandoor/kernel';
import type {KeyedRecord} from '@gentiandoor/jobs';
import type {AppendHealth} from './append-health.js';
import {AppendOutcome, type LogStream, type RecordLog} from './record-log.js';

/** Outcome of a record passed to `BatchingAppender.append`. */
export enum BatchedAppendOutcome {
  Appended = 'kept',
  /** The record was certainly not appended and never will be. */
  NotAppended = 'not_kept',
  /** The store never takes the record, so it was not appended. */
  Rejected = 'rejected',
  /** The record may have been appended, or may still be. */
  Unknown = 'unknown',
}

/** Below the store's request limit, which includes record headers. */
const MAXIMUM_BATCH_BYTES = 1_000_000;
const RETRY_MILLISECONDS = 60;

/** Stream and partition that records are appended to. */
export interface AppendTarget {
  readonly stream: LogStream;
  readonly partition: number;
}

interface WaitingRecord {
  readonly record: KeyedRecord;
  /** A record still unsent at this time resolves as not appended. */
  readonly unsentDeadline: number;
  /** A record still in doubt at this time resolves as unknown. */
  readonly outcomeDeadline: number;
  readonly resolve: (outcome: BatchedAppendOutcome) => void;
  /** Whether an append that included it ended without a response. */
  inDoubt: boolean;
  /** Whether it is sent by itself, since a batch that included it was rejected. */
  isSentAlone: boolean;
}

/**
 * Appends records of many callers with one call at a time; records that arrive while a call is in
 * flight form the next batch. If a response is lost, a record may be appended twice: readers must
 * tolerate duplicate keys.
 */
export class BatchingAppender {
  private queue: WaitingRecord[] = [];
  private running = false;

  /** `health` is shared by all appenders that reach the store over the same path. */
  constructor(
    private readonly log: RecordLog,
    private readonly target: AppendTarget,
    private readonly clock: Clock,
    private readonly health: AppendHealth,
  ) {}

  /**
   * Appends a record. `unsentTimeoutMilliseconds` limits the wait while the record is unsent;
   * `outcomeTimeoutMilliseconds` limits the wait while its outcome is in doubt.
   */
  append(
    record: KeyedRecord,
    unsentTimeoutMilliseconds: number,
    outcomeTimeoutMilliseconds: number,
  ): Promise<BatchedAppendOutcome> {
    const now = this.clock.monotonicMilliseconds();
    return new Promise(resolve => {
      const waiting: WaitingRecord = {
        record,
        unsentDeadline:
          now + Math.min(unsentTimeoutMilliseconds, outcomeTimeoutMilliseconds),
        outcomeDeadline: now + outcomeTimeoutMilliseconds,
        resolve,
        inDoubt: false,
        isSentAlone: false,
      };
      this.queue.push(waiting);
      this.clock.schedule(unsentTimeoutMilliseconds, () =>
        this.rejectUnsent(waiting),
      );
      this.clock.schedule(outcomeTimeoutMilliseconds, () =>
        this.resolveAtDeadline(waiting),
      );
      if (!this.running) void this.run();
    });
  }

  /**
   * Rejects a record queued behind a hanging append: it was never sent, so its caller can get
   * a definite refusal at once.
   */
  private rejectUnsent(waiting: WaitingRecord): void {
    const index = this.queue.indexOf(waiting);
    if (index < 0 || waiting.inDoubt) return;
    this.queue.splice(index, 1);
    waiting.resolve(BatchedAppendOutcome.NotAppended);
  }

  /**
   * Resolves a record at its deadline, so that a hanging append cannot delay the caller further.
   */
  private resolveAtDeadline(waiting: WaitingRecord): void {
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
      const sentAt = this.clock.monotonicMilliseconds();
      const result = await this.log.append(
        stream,
        batch.map(waiting => waiting.record),
        {partition},
      );
      if (isProbe) this.health.endProbe();
      if (result.outcome === AppendOutcome.Appended) {
        this.health.noteSuccess(this.clock.monotonicMilliseconds() - sentAt);
        for (const waiting of batch)
          waiting.resolve(BatchedAppendOutcome.Appended);
        continue;
      }
      if (result.outcome === AppendOutcome.Rejected) {
        this.handleRejection(batch);
        continue;
      }
      this.health.noteFailure();
      const inDoubt = result.outcome === AppendOutcome.Unknown;
      this.queue.unshift(
        ...batch.filter(waiting => this.keepAfterFailure(waiting, inDoubt)),
      );
      if (this.queue.length > 0) await sleep(this.clock, RETRY_MILLISECONDS);
    }
    this.running = false;
  }

  /** Sends the records of a rejected batch one by one: mostly only one of them is at fault. */
  private handleRejection(batch: readonly WaitingRecord[]): void {
    if (batch.length > 1) {
      for (const waiting of batch) waiting.isSentAlone = true;
      this.queue.unshift(...batch);
      return;
    }
    const [{inDoubt, resolve}] = batch;
    resolve(
      inDoubt ? BatchedAppendOutcome.Unknown : BatchedAppendOutcome.Rejected,
    );
  }

  private takeBatch(isProbe: boolean): WaitingRecord[] {
    // While the store fails, a single record is enough to probe it. The others stay unsent, so
    // that it is certain that they were not appended and their callers get a definite refusal.
    if (isProbe || this.queue[0].isSentAlone) return this.queue.splice(0, 1);
    let bytes = 0;
    let count = 0;
    for (const {record, isSentAlone} of this.queue) {
      bytes += record.key.length + (record.value?.length ?? 0);
      if (count > 0 && (isSentAlone || bytes > MAXIMUM_BATCH_BYTES)) break;
      count++;
    }
    return this.queue.splice(0, count);
  }

  private keepAfterFailure(waiting: WaitingRecord, inDoubt: boolean): boolean {
    waiting.inDoubt ||= inDoubt;
    const now = this.clock.monotonicMilliseconds();
    const deadline = waiting.inDoubt
      ? waiting.outcomeDeadline
      : waiting.unsentDeadline;
    if (now + RETRY_MILLISECONDS < deadline) return true;
    waiting.resolve(
      waiting.inDoubt
        ? BatchedAppendOutcome.Unknown
        : BatchedAppendOutcome.NotAppended,
    );
    return false;
  }
}
