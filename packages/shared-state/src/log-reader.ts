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
/** Age of a read in milliseconds after which it may hang and `refresh` aborts it. */
const REFRESH_AFTER_MILLISECONDS = 2000;
/** Minimum interval in milliseconds between long polls that return no records. */
const MINIMUM_POLL_MILLISECONDS = 200;

/** Receives the records of a stream. */
export interface RecordSink {
  /** Returns the offset to read next. */
  nextOffset(): number;
  /** Applies records in order; the next read starts after it has resolved. */
  applyBatch(batch: LogBatch): Promise<void>;
  /**
   * Called when the log no longer keeps the next offset: must advance `nextOffset`, or throw to
   * be retried later.
   */
  recoverFromGap(oldest: number): Promise<void>;
}

/** Dependencies of a `LogReader`. */
export interface ReaderDependencies {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly platformLog: PlatformLog;
}

/**
 * Follows one stream by long polling, one read at a time. After a failure it backs off with
 * increasing, randomised delays, so that a log that recovers does not get the reads of all
 * daemons at the same moment.
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

  /** Whether the log responded to the last read. */
  get isReachable(): boolean {
    return this.reachable;
  }

  /**
   * Aborts a read that has been in flight for a long time and starts a new one; called when
   * other daemons have seen newer records. A more recent read is left in flight: with a slow
   * log and a steady stream of records some daemon is always ahead, and otherwise no read
   * would ever complete.
   */
  refresh(): void {
    const now = this.dependencies.clock.monotonicMilliseconds();
    if (now - this.readStartedAt >= REFRESH_AFTER_MILLISECONDS)
      this.readAbort.abort();
  }

  /** Reads until `stop` is aborted. */
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
    const startedAt = this.dependencies.clock.monotonicMilliseconds();
    this.readStartedAt = startedAt;
    // The first read after a failure does not wait for records: its response shows that the log
    // is reachable again.
    const waitMilliseconds = this.reachable ? this.options.waitMilliseconds : 0;
    try {
      const options = {...this.options, waitMilliseconds};
      const batch = await platformLog.read(this.stream, from, options, signal);
      if (stop.aborted) return;
      this.markReachable();
      this.consecutiveFailures = 0;
      await this.sink.applyBatch(batch);
      if (waitMilliseconds > 0)
        await this.pauseWithoutProgress(from, startedAt, signal);
    } catch (error) {
      if (!(error instanceof LogGapError)) throw error;
      this.markReachable();
      await this.recoverFromGap(from, error.oldest, stop);
    }
  }

  /**
   * Delays the next read after an empty response that came at once. A log that lags behind its
   * own end may respond like this, and without the delay it would be polled in a tight loop.
   */
  private async pauseWithoutProgress(
    from: number,
    startedAt: number,
    signal: AbortSignal,
  ): Promise<void> {
    const {clock, random} = this.dependencies;
    const elapsed = clock.monotonicMilliseconds() - startedAt;
    if (this.sink.nextOffset() !== from || elapsed >= MINIMUM_POLL_MILLISECONDS)
      return;
    await sleep(clock, jitter(random, MINIMUM_POLL_MILLISECONDS), signal);
  }

  /** Lets the sink recover from a gap; if it cannot yet, backs off as after a failed read. */
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
