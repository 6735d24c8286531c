import {
  LogEvent,
  PlatformLogFailure,
  MetricName,
  PlatformLogError,
  backoff,
  sleep,
  toError,
  type Clock,
  type Logger,
  type Metrics,
  type RandomSource,
} from '@gentiandoor/kernel';
import {
  StreamName,
  decodeClaimBatch,
  type AppliedClaimBatch,
  type ClaimBatch,
  type ClaimTable,
  type PlatformLog,
} from '@gentiandoor/shared-state';
import type {OnceOnlyOptions} from './once-only-options.js';

const BACKOFF_BASE_MILLISECONDS = 100;
const BACKOFF_MAXIMUM_MILLISECONDS = 5000;

/** Above any offset: a read there returns the start and end of the stream and no records. */
const BEYOND_END = Number.MAX_SAFE_INTEGER;

/** Batches applied before yielding to the event loop: 256 claims each, about a millisecond. */
const BATCHES_PER_SLICE = 8;

/** Dependencies of `ClaimsFollower`. */
export interface ClaimsFollowerDependencies {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly platformLog: PlatformLog;
  readonly onceOnlyOptions: OnceOnlyOptions;
}

/** Is notified of the results of folding the stream. */
export interface ClaimsListener {
  onBatch(batch: ClaimBatch, appliedBatch: AppliedClaimBatch): void;
  /** The log has expired batches that this daemon has not read. */
  onGap(): void;
}

/** Follows the claims stream and applies it to the table of claims. */
export class ClaimsFollower {
  private isPositioned = false;
  private endOffsetAtStart = Infinity;
  private consecutiveFailures = 0;
  private failingSince: number | undefined;
  private caughtUpAsOf = -Infinity;

  constructor(
    private readonly dependencies: ClaimsFollowerDependencies,
    readonly table: ClaimTable,
    private readonly listener: ClaimsListener,
  ) {}

  /** True once everything that was in the log when this daemon started has been read. */
  get isCaughtUp(): boolean {
    return this.table.nextOffset >= this.endOffsetAtStart;
  }

  /** Milliseconds for which reads have failed; 0 when the last one succeeded. */
  get failingMilliseconds(): number {
    if (this.failingSince === undefined) return 0;
    const {clock} = this.dependencies;
    return clock.monotonicMilliseconds() - this.failingSince;
  }

  /** True when a read started at or after `moment` reached the end of the log. */
  isCurrentAsOf(moment: number): boolean {
    return this.caughtUpAsOf >= moment;
  }

  /** Follows until `signal` aborts. */
  async follow(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      try {
        if (!this.isPositioned) await this.seekToOldest(signal);
        await this.readOnce(signal);
        this.consecutiveFailures = 0;
        this.failingSince = undefined;
      } catch (error) {
        if (signal.aborted) return;
        await this.noteFailure(toError(error), signal);
      }
    }
  }

  private async seekToOldest(signal: AbortSignal): Promise<void> {
    const {platformLog} = this.dependencies;
    const range = await platformLog.read(
      StreamName.Claims,
      BEYOND_END,
      {limit: 1, waitMilliseconds: 0},
      signal,
    );
    this.endOffsetAtStart = range.end;
    this.table.skipToOffset(range.oldest);
    this.isPositioned = true;
  }

  private async readOnce(signal: AbortSignal): Promise<void> {
    const {clock, metrics, platformLog, onceOnlyOptions} = this.dependencies;
    const startedAt = clock.monotonicMilliseconds();
    metrics.increment(MetricName.LogReads, {stream: StreamName.Claims});
    const read = await platformLog.read(
      StreamName.Claims,
      this.table.nextOffset,
      {
        limit: onceOnlyOptions.read_limit,
        waitMilliseconds: onceOnlyOptions.read_wait_milliseconds,
      },
      signal,
    );
    if (signal.aborted) return;
    let applied = 0;
    for (const payload of read.payloads) {
      this.apply(payload);
      if (++applied % BATCHES_PER_SLICE === 0) await yieldToEventLoop();
    }
    if (this.table.nextOffset >= read.end) this.caughtUpAsOf = startedAt;
  }

  private apply(payload: Uint8Array): void {
    const {logger, metrics} = this.dependencies;
    const offset = this.table.nextOffset;
    const batch = decodeClaimBatch(payload);
    if ('unreadable' in batch) {
      this.table.skipUnreadable();
      logger.warn(LogEvent.RecordUnreadable, {
        stream: StreamName.Claims,
        offset,
        detail: batch.unreadable,
      });
      metrics.increment(MetricName.RecordsRejected, {reason: 'unreadable'});
      return;
    }
    const appliedBatch = this.table.apply(batch);
    if (appliedBatch.stale)
      metrics.increment(MetricName.RecordsRejected, {reason: 'stale_batch'});
    this.listener.onBatch(batch, appliedBatch);
  }

  private async noteFailure(error: Error, signal: AbortSignal): Promise<void> {
    const {clock, random, logger, metrics} = this.dependencies;
    metrics.increment(MetricName.LogReadFailures, {stream: StreamName.Claims});
    if (isGap(error)) {
      logger.error(LogEvent.LogGap, {
        stream: StreamName.Claims,
        from: this.table.nextOffset,
      });
      this.isPositioned = false;
      this.listener.onGap();
    } else if (this.failingSince === undefined) {
      this.failingSince = clock.monotonicMilliseconds();
      logger.warn(LogEvent.LogUnavailable, {
        stream: StreamName.Claims,
        error: error.message,
      });
    }
    const delay = backoff(
      random,
      this.consecutiveFailures++,
      BACKOFF_BASE_MILLISECONDS,
      BACKOFF_MAXIMUM_MILLISECONDS,
    );
    await sleep(clock, delay, signal);
  }
}

function isGap(error: Error): boolean {
  return (
    error instanceof PlatformLogError &&
    error.failure === PlatformLogFailure.Gap
  );
}

function yieldToEventLoop(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}
