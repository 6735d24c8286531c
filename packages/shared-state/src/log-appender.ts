import {
  PlatformLogFailure,
  MetricName,
  PlatformLogError,
  backoff,
  sleep,
  toError,
  type Clock,
  type Metrics,
  type RandomSource,
} from '@gentiandoor/kernel';
import {AppendRateLimiter} from './append-rate-limiter.js';
import {
  AppendRefusedError,
  type PlatformLog,
  type StreamName,
} from './platform-log.js';

const BACKOFF_BASE_MILLISECONDS = 100;
const BACKOFF_MAXIMUM_MILLISECONDS = 5000;

/** Limits of an appender. */
export interface AppenderOptions {
  /** Sustained rate of appends. */
  readonly appendsPerSecond: number;
  /** Maximum appends at once after an idle period. */
  readonly burst: number;
  /** Maximum records and bytes of one append. */
  readonly maximumBatchRecords: number;
  readonly maximumBatchBytes: number;
  /** Maximum records and bytes in the queue; further records are refused. */
  readonly maximumQueuedRecords: number;
  readonly maximumQueuedBytes: number;
  /** Time after which the next append may start although the previous one is still in flight. */
  readonly overlapAfterMilliseconds: number;
}

/** Limits suitable for the fleet stream of one daemon. */
export const DEFAULT_APPENDER_OPTIONS: AppenderOptions = {
  appendsPerSecond: 20,
  burst: 20,
  maximumBatchRecords: 500,
  maximumBatchBytes: 1_000_000,
  maximumQueuedRecords: 5000,
  maximumQueuedBytes: 32_000_000,
  overlapAfterMilliseconds: 250,
};

/** Dependencies of a `LogAppender`. */
export interface AppenderDependencies {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly metrics: Metrics;
  readonly platformLog: PlatformLog;
}

interface QueuedRecord {
  readonly payload: Uint8Array;
  readonly signal: AbortSignal | undefined;
  readonly resolve: () => void;
  readonly reject: (error: Error) => void;
}

/**
 * Appends the records of one stream by group commit.
 *
 * Load: many records at once. While an append is in flight or the rate limit is reached,
 * records are queued and then sent as one append, so that the number of appends stays bounded
 * regardless of the number of records. On an idle daemon records are sent without delay.
 */
export class LogAppender {
  private readonly rateLimiter: AppendRateLimiter;
  private readonly stopping = new AbortController();
  private readonly appendsInFlight = new Set<Promise<void>>();
  private queue: QueuedRecord[] = [];
  private queuedBytes = 0;
  private consecutiveRefusals = 0;
  private sendLoop: Promise<void> | undefined;

  constructor(
    private readonly stream: StreamName,
    private readonly dependencies: AppenderDependencies,
    private readonly options: AppenderOptions = DEFAULT_APPENDER_OPTIONS,
  ) {
    this.rateLimiter = new AppendRateLimiter(
      dependencies.clock,
      options.appendsPerSecond,
      options.burst,
    );
  }

  /**
   * Resolves once the log has confirmed the append. Rejects with `AppendRefusedError` if the
   * record was not appended and will not be, and with a `PlatformLogError` with the failure
   * `NoResponse` if it may have been: only reading the stream shows whether it was.
   */
  append(payload: Uint8Array, signal?: AbortSignal): Promise<void> {
    const refusal = this.checkQueueLimits(payload);
    if (refusal) return Promise.reject(refusal);
    return new Promise((resolve, reject) => {
      this.queue.push({payload, signal, resolve, reject});
      this.queuedBytes += payload.length;
      signal?.addEventListener('abort', () => this.rejectAborted(), {
        once: true,
      });
      this.startSendLoop();
    });
  }

  /** Rejects all queued records; resolves when no append is in flight. */
  async stop(): Promise<void> {
    this.stopping.abort();
    for (const record of this.dequeueAll())
      record.reject(new AppendRefusedError('the daemon is stopping', 0));
    await this.sendLoop;
    await Promise.all(this.appendsInFlight);
  }

  private checkQueueLimits(
    payload: Uint8Array,
  ): AppendRefusedError | undefined {
    const {metrics} = this.dependencies;
    const {maximumQueuedRecords, maximumQueuedBytes} = this.options;
    if (this.stopping.signal.aborted)
      return new AppendRefusedError('the daemon is stopping', 0);
    if (
      this.queue.length < maximumQueuedRecords &&
      this.queuedBytes + payload.length <= maximumQueuedBytes
    )
      return undefined;
    metrics.increment(MetricName.LogAppendRefusals, {stream: this.stream});
    return new AppendRefusedError(
      `${this.queue.length} records are already queued for stream ${this.stream}`,
      this.estimatedQueueMilliseconds(),
    );
  }

  /**
   * Estimates the time to send the queue at the rate limit, after which a refused writer may
   * retry.
   */
  private estimatedQueueMilliseconds(): number {
    const {maximumBatchRecords, maximumBatchBytes, appendsPerSecond} =
      this.options;
    const batches = Math.max(
      this.queue.length / maximumBatchRecords,
      this.queuedBytes / maximumBatchBytes,
    );
    return Math.ceil((batches * 1000) / appendsPerSecond) + 100;
  }

  private startSendLoop(): void {
    if (this.sendLoop || this.queue.length === 0) return;
    this.sendLoop = this.runSendLoop().finally(() => {
      this.sendLoop = undefined;
      if (!this.stopping.signal.aborted) this.startSendLoop();
    });
  }

  /** Sends batches until the queue is empty; at most one such loop runs at a time. */
  private async runSendLoop(): Promise<void> {
    const {clock} = this.dependencies;
    const {signal} = this.stopping;
    // Records queued in the same turn of the event loop share one append.
    await Promise.resolve();
    while (this.queue.length > 0 && !signal.aborted) {
      const wait = this.rateLimiter.millisecondsUntilToken();
      if (wait > 0) {
        await sleep(clock, wait, signal);
        continue;
      }
      const batch = this.dequeueBatch();
      if (batch.length > 0) await this.sendOverlapping(batch);
    }
  }

  /** Waits for the append, but lets the next one start if this one hangs. */
  private async sendOverlapping(batch: QueuedRecord[]): Promise<void> {
    const {clock} = this.dependencies;
    const done = new AbortController();
    const sending = this.send(batch).finally(() => {
      this.appendsInFlight.delete(sending);
      done.abort();
    });
    this.appendsInFlight.add(sending);
    await sleep(clock, this.options.overlapAfterMilliseconds, done.signal);
    if (this.consecutiveRefusals > 0) await sending;
  }

  private async send(batch: QueuedRecord[]): Promise<void> {
    const {metrics, platformLog} = this.dependencies;
    const tags = {stream: this.stream};
    this.rateLimiter.consumeToken();
    metrics.increment(MetricName.LogAppends, tags);
    try {
      await platformLog.append(
        this.stream,
        batch.map(record => record.payload),
      );
      this.consecutiveRefusals = 0;
      for (const record of batch) record.resolve();
    } catch (error) {
      metrics.increment(MetricName.LogAppendFailures, tags);
      await this.handleFailure(batch, toError(error));
    }
  }

  private async handleFailure(
    batch: QueuedRecord[],
    error: Error,
  ): Promise<void> {
    const isRefused =
      error instanceof PlatformLogError &&
      error.failure === PlatformLogFailure.Refused;
    if (!isRefused) {
      for (const record of batch) record.reject(error);
      return;
    }
    // Nothing was appended: the records are put back at the head of the queue and the delay
    // before the next append grows.
    const {clock, random} = this.dependencies;
    const pause = backoff(
      random,
      this.consecutiveRefusals++,
      BACKOFF_BASE_MILLISECONDS,
      BACKOFF_MAXIMUM_MILLISECONDS,
    );
    this.queue.unshift(...batch);
    for (const {payload} of batch) this.queuedBytes += payload.length;
    this.rejectAborted();
    await sleep(clock, pause, this.stopping.signal);
    this.startSendLoop();
  }

  private dequeueBatch(): QueuedRecord[] {
    const {maximumBatchRecords, maximumBatchBytes} = this.options;
    let bytes = 0;
    let count = 0;
    for (const {payload} of this.queue) {
      if (count === maximumBatchRecords) break;
      if (count > 0 && bytes + payload.length > maximumBatchBytes) break;
      bytes += payload.length;
      count++;
    }
    this.queuedBytes -= bytes;
    return this.queue.splice(0, count);
  }

  private dequeueAll(): QueuedRecord[] {
    this.queuedBytes = 0;
    return this.queue.splice(0);
  }

  /** Rejects and removes the queued records whose writer gave up, so that they are never sent. */
  private rejectAborted(): void {
    const isGone = (record: QueuedRecord) => record.signal?.aborted === true;
    for (const record of this.queue.filter(isGone)) {
      this.queuedBytes -= record.payload.length;
      record.reject(
        new AppendRefusedError(
          'the log did not take the record in time; nothing was appended',
          BACKOFF_MAXIMUM_MILLISECONDS,
        ),
      );
    }
    this.queue = this.queue.filter(record => !isGone(record));
  }
}
