import {LogEvent, type Clock, type Logger} from '@gentiandoor/kernel';
import type {KeyedRecord} from '@gentiandoor/jobs';
import {ReadOutcome, type LogStream, type RecordLog} from './record-log.js';

/** Receives the records of a stream. */
export interface StreamSink {
  /** Applies one record; throws if it is unreadable. */
  apply(record: KeyedRecord): void;
  /** Called after the newest records of all keys were applied, with these keys. */
  loaded?(keys: ReadonlySet<string>): void;
}

/** Options for following a stream. */
export interface FollowOptions {
  /** Only the newest record of each key matters; earlier ones may be skipped. */
  readonly skipsHistory?: boolean;
  /** Partition of the stream; 0 by default. */
  readonly partition?: number;
}

/**
 * Reads a partition of a stream to its end, repeatedly. A read that meets a gap restarts
 * from the newest record of each key, which the store retains permanently.
 */
export class StreamFollower {
  private nextOffset: number | undefined;
  private refreshing: Promise<boolean> | undefined;
  private queued: Promise<boolean> | undefined;
  private refreshedAt = -Infinity;
  private isBehind = false;

  constructor(
    private readonly log: RecordLog,
    private readonly stream: LogStream,
    private readonly sink: StreamSink,
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly options: FollowOptions = {},
  ) {}

  /** Whether the stream has been read to its end. */
  get isLoaded(): boolean {
    return this.nextOffset !== undefined;
  }

  /** Milliseconds since the last successful read to the end began. */
  get ageMilliseconds(): number {
    return this.clock.monotonicMilliseconds() - this.refreshedAt;
  }

  /**
   * Reads to the end with a read that begins after this call. Callers that arrive while a
   * read is in flight share the next one, since the one in flight may have missed the
   * records they wait for.
   */
  refresh(): Promise<boolean> {
    if (!this.refreshing) {
      this.refreshing = this.readToEnd().finally(() => {
        this.refreshing = undefined;
      });
      return this.refreshing;
    }
    this.queued ??= this.refreshing.then(() => {
      this.queued = undefined;
      return this.refresh();
    });
    return this.queued;
  }

  /**
   * Waits for the next records and applies them; resolves to false if the store did not
   * respond.
   */
  async follow(waitMilliseconds: number): Promise<boolean> {
    if (this.nextOffset === undefined) return this.refresh();
    // Versions of a large configuration can arrive faster than a slow link transfers
    // them. Read one after the other, the newest would take effect many seconds after it
    // was signed off.
    if (this.isBehind && this.options.skipsHistory) return this.load();
    const started = this.clock.monotonicMilliseconds();
    const result = await this.log.read(
      this.stream,
      this.nextOffset,
      waitMilliseconds,
      this.options.partition,
    );
    if (result.outcome === ReadOutcome.Unavailable) {
      this.isBehind = true;
      return false;
    }
    if (result.outcome === ReadOutcome.Gap) return this.load();
    this.applyFrom(result.records);
    this.isBehind = this.nextOffset < result.endOffset;
    // Also when records arrived: if they never stop arriving, no read would ever return
    // without any.
    if (this.nextOffset >= result.endOffset) {
      // A read that waited without receiving records reflects the time of its response,
      // not that of its request.
      const waited = result.records.length === 0 ? waitMilliseconds : 0;
      const now = this.clock.monotonicMilliseconds();
      const asOf = Math.min(started + waited, now);
      this.refreshedAt = Math.max(this.refreshedAt, asOf);
    }
    return true;
  }

  private async readToEnd(): Promise<boolean> {
    if (this.nextOffset === undefined) return this.load();
    for (;;) {
      const started = this.clock.monotonicMilliseconds();
      const result = await this.log.read(
        this.stream,
        this.nextOffset,
        0,
        this.options.partition,
      );
      if (result.outcome === ReadOutcome.Unavailable) return false;
      if (result.outcome === ReadOutcome.Gap) return this.load();
      this.applyFrom(result.records);
      if (this.nextOffset >= result.endOffset) {
        this.refreshedAt = started;
        return true;
      }
      if (result.records.length === 0) return false;
    }
  }

  private async load(): Promise<boolean> {
    const started = this.clock.monotonicMilliseconds();
    const result = await this.log.newestByKey(
      this.stream,
      this.options.partition,
    );
    if (result.outcome !== ReadOutcome.Read) return false;
    for (const record of result.records) this.applyOne(record);
    this.sink.loaded?.(new Set(result.records.map(record => record.key)));
    // Pages are not a snapshot: records written since the first page are read again from
    // the log.
    this.nextOffset = Math.max(this.nextOffset ?? 0, result.endOffset);
    this.refreshedAt = started;
    this.isBehind = false;
    return true;
  }

  private applyFrom(
    records: readonly (KeyedRecord & {readonly offset: number})[],
  ): void {
    for (const record of records) {
      // A long poll and a refresh may return the same records.
      if (record.offset < (this.nextOffset ?? 0)) continue;
      this.applyOne(record);
      this.nextOffset = record.offset + 1;
    }
  }

  private applyOne(record: KeyedRecord): void {
    try {
      this.sink.apply(record);
    } catch (error) {
      this.logger.warn(LogEvent.RecordUnreadable, {
        stream: this.stream,
        key: record.key,
        error: String(error),
      });
    }
  }
}
