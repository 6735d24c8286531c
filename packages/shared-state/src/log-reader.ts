import {
  LogEvent,
  MetricName,
  backoff,
  jitter,
  sleep,
  toError,
  type Clock,
  type Logger,
  type Metrics,
  type RandomSource,
} from '@gentiandoor/kernel';
import {
  LogGapError,
  type LogBatch,
  type PlatformLog,
  type ReadOptions,
  type StreamName,
} from './platform-log.js';

const BACKOFF_BASE_MILLISECONDS = 100;
const BACKOFF_MAXIMUM_MILLISECONDS = 5000;
/** Age of a read, in milliseconds, from which on it may have hung. */
const REFRESH_AFTER_MILLISECONDS = 2000;
/** Milliseconds of a read that brought nothing, at the least. */
const MINIMUM_POLL_MILLISECONDS = 200;

/** Where the records of a stream go. */
export interface RecordSink {
  /** Offset to read next. */
  nextOffset(): number;
  /** Takes records in order; the next read waits for it. */
  applyBatch(batch: LogBatch): Promise<void>;
  /** The next offset is no longer kept: must move `nextOffset` on, or throw to try again later. */
  recoverFromGap(oldest: number): Promise<void>;
}

/** What a reader needs. */
export interface ReaderDependencies {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly platformLog: PlatformLog;
}

/**
 * Follows one stream by long polls: one task. After a failure it pauses with growing,
 * random lengths, so that a log that returns is not met by all daemons in one moment.
 */
export class LogReader {
  private reachable = false;
  private consecutiveFailures = 0;
  private readStartedAt = 0;
  private readAbort = new AbortController();

  constructor(
    private readonly stream: StreamName,
    private readonly dependencies: ReaderDependencies,
    private readonly sink: RecordSink,
    private readonly options: ReadOptions,
  ) {}

  /** True when the last read was answered. */
  get isReachable(): boolean {
    return this.reachable;
  }

  /**
   * Ends a read that has been out for long and reads afresh: for when others have seen newer
   * records. A younger read is left alone: with a slow log under a steady stream of records
   * somebody is always ahead, and nobody's read would ever come to its end.
   */
  refresh(): void {
    const now = this.dependencies.clock.monotonicMilliseconds();
    if (now - this.readStartedAt >= REFRESH_AFTER_MILLISECONDS)
      this.readAbort.abort();
  }

  /** Reads until `stop` aborts. */
  async run(stop: AbortSignal): Promise<void> {
    while (!stop.aborted) {
      try {
        await this.readOnce(stop);
      } catch (error) {
        if (stop.aborted) return;
        if (!this.readAbort.signal.aborted)
          await this.markUnreachable(toError(error), stop);
      }
    }
  }

  private async readOnce(stop: AbortSignal): Promise<void> {
    const {platformLog, metrics} = this.dependencies;
    metrics.increment(MetricName.LogReads, {stream: this.stream});
    this.readAbort = new AbortController();
    const signal = AbortSignal.any([stop, this.readAbort.signal]);
    const from = this.sink.nextOffset();
    const asked = this.dependencies.clock.monotonicMilliseconds();
    this.readStartedAt = asked;
    // The first read after a failure does not wait: its answer says that the log is back.
    const waitMilliseconds = this.reachable ? this.options.waitMilliseconds : 0;
    try {
      const options = {...this.options, waitMilliseconds};
      const batch = await platformLog.read(this.stream, from, options, signal);
      if (stop.aborted) return;
      this.markReachable();
      this.consecutiveFailures = 0;
      await this.sink.applyBatch(batch);
      if (waitMilliseconds > 0)
        await this.pauseWithoutProgress(from, asked, signal);
    } catch (error) {
      if (!(error instanceof LogGapError)) throw error;
      this.markReachable();
      await this.recoverFromGap(from, error.oldest, stop);
    }
  }

  /**
   * A log that answers at once and empty, as one that lags behind its own end may, would be
   * asked again without end.
   */
  private async pauseWithoutProgress(
    from: number,
    asked: number,
    signal: AbortSignal,
  ): Promise<void> {
    const {clock, random} = this.dependencies;
    const took = clock.monotonicMilliseconds() - asked;
    if (this.sink.nextOffset() !== from || took >= MINIMUM_POLL_MILLISECONDS)
      return;
    await sleep(clock, jitter(random, MINIMUM_POLL_MILLISECONDS), signal);
  }

  /** A gap that cannot be crossed yet is tried again with the pauses of a failure. */
  private async recoverFromGap(
    from: number,
    oldest: number,
    stop: AbortSignal,
  ): Promise<void> {
    const {logger} = this.dependencies;
    const {stream} = this;
    try {
      await this.sink.recoverFromGap(oldest);
      this.consecutiveFailures = 0;
      logger.warn(LogEvent.LogGap, {stream, from, oldest});
    } catch (thrown) {
      if (stop.aborted) return;
      const error = toError(thrown).message;
      logger.error(LogEvent.LogGapOpen, {stream, from, oldest, error});
      await this.backOff(stop);
    }
  }

  private markReachable(): void {
    const {logger} = this.dependencies;
    if (!this.reachable)
      logger.info(LogEvent.LogReturned, {stream: this.stream});
    this.reachable = true;
  }

  private async markUnreachable(
    error: Error,
    stop: AbortSignal,
  ): Promise<void> {
    const {logger, metrics} = this.dependencies;
    metrics.increment(MetricName.LogReadFailures, {stream: this.stream});
    if (this.reachable || this.consecutiveFailures === 0)
      logger.warn(LogEvent.LogUnavailable, {
        stream: this.stream,
        error: error.message,
      });
    this.reachable = false;
    await this.backOff(stop);
  }

  private async backOff(stop: AbortSignal): Promise<void> {
    const {clock, random} = this.dependencies;
    const delay = backoff(
      random,
      this.consecutiveFailures++,
      BACKOFF_BASE_MILLISECONDS,
      BACKOFF_MAXIMUM_MILLISECONDS,
    );
    await sleep(clock, delay, stop);
  }
}
