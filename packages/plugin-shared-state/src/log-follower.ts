import {
  LogEvent,
  LogFailure,
  MetricName,
  PlatformLogError,
  backoff,
  sleep,
  toError,
  type Clock,
  type Logger,
  type Metrics,
  type Plugin,
  type RandomSource,
} from '@gentiandoor/kernel';
import {
  StreamName,
  applyPayload,
  emptyFleetState,
  encodeRecord,
  type FleetRecord,
  type FleetState,
  type FoldOutcome,
  type PlatformLog,
  type SharedState,
} from '@gentiandoor/shared-state';
import type {SharedStateOptions} from './shared-state-options.js';

const BACKOFF_BASE_MILLISECONDS = 100;
const BACKOFF_MAXIMUM_MILLISECONDS = 5000;

/** What the follower needs. */
export interface LogFollowerDependencies {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly platformLog: PlatformLog;
  readonly sharedStateOptions: SharedStateOptions;
}

/** Follows the fleet stream, keeps the folded state, publishes records. */
export class LogFollower implements SharedState, Plugin {
  readonly state: FleetState;
  private reachable = false;
  private failures = 0;
  private following: Promise<void> = Promise.resolve();
  private readonly stopping = new AbortController();
  private readonly listeners: Array<() => void> = [];
  private readonly awaited = new Map<string, (outcome: FoldOutcome) => void>();

  constructor(private readonly dependencies: LogFollowerDependencies) {
    this.state = emptyFleetState(
      dependencies.sharedStateOptions.trusted_operators,
    );
  }

  get isLogReachable(): boolean {
    return this.reachable;
  }

  onChange(listener: () => void): void {
    this.listeners.push(listener);
  }

  async start(): Promise<void> {
    this.following = this.follow();
  }

  async stop(): Promise<void> {
    this.stopping.abort();
    await this.following;
  }

  async publish(
    record: FleetRecord,
    signal?: AbortSignal,
  ): Promise<FoldOutcome> {
    const judged = new Promise<FoldOutcome>((resolve, reject) => {
      this.awaited.set(record.id, resolve);
      signal?.addEventListener(
        'abort',
        () =>
          reject(
            new PlatformLogError(
              LogFailure.NoAnswer,
              'gave up waiting for the log',
            ),
          ),
        {once: true},
      );
    });
    judged.catch(() => undefined);
    try {
      await this.append(record, signal);
      return await judged;
    } finally {
      this.awaited.delete(record.id);
    }
  }

  private async append(
    record: FleetRecord,
    signal?: AbortSignal,
  ): Promise<void> {
    const {metrics, platformLog} = this.dependencies;
    metrics.increment(MetricName.LogAppends, {stream: StreamName.Fleet});
    try {
      await platformLog.append(
        StreamName.Fleet,
        [encodeRecord(record)],
        signal,
      );
    } catch (error) {
      metrics.increment(MetricName.LogAppendFailures, {
        stream: StreamName.Fleet,
      });
      // A lost answer may stand for an append that took effect: the fold tells by the record's id.
      const lost =
        error instanceof PlatformLogError &&
        error.failure === LogFailure.NoAnswer;
      if (!lost) throw error;
    }
  }

  private async follow(): Promise<void> {
    while (!this.stopping.signal.aborted) {
      try {
        await this.readOnce();
        this.noteReachable();
      } catch (error) {
        if (this.stopping.signal.aborted) return;
        await this.noteFailure(toError(error));
      }
    }
  }

  private async readOnce(): Promise<void> {
    const {
      platformLog,
      metrics,
      sharedStateOptions: options,
    } = this.dependencies;
    metrics.increment(MetricName.LogReads, {stream: StreamName.Fleet});
    const batch = await platformLog.read(
      StreamName.Fleet,
      this.state.nextOffset,
      {
        limit: options.read_limit,
        waitMilliseconds: options.read_wait_milliseconds,
      },
      this.stopping.signal,
    );
    for (const payload of batch.payloads) this.apply(payload);
    if (batch.payloads.length === 0) return;
    for (const listener of this.listeners) listener();
  }

  private apply(payload: Uint8Array): void {
    const {logger, metrics} = this.dependencies;
    const before = this.state.inForce;
    const outcome = applyPayload(this.state, payload);
    const {record, rejection, offset} = outcome;
    if (rejection) {
      metrics.increment(MetricName.RecordsRejected, {reason: rejection.reason});
      logger.warn(LogEvent.RecordRejected, {offset, ...rejection});
    } else {
      metrics.increment(MetricName.RecordsApplied);
    }
    if (this.state.inForce !== before) {
      logger.info(LogEvent.BundleInForce, {
        version: this.state.inForce?.bundle.version,
        digest: this.state.inForce?.digest,
      });
    }
    if ('id' in record) this.awaited.get(record.id)?.(outcome);
  }

  private noteReachable(): void {
    if (!this.reachable) this.dependencies.logger.info(LogEvent.LogReturned);
    this.reachable = true;
    this.failures = 0;
  }

  private async noteFailure(error: Error): Promise<void> {
    const {clock, random, logger, metrics} = this.dependencies;
    metrics.increment(MetricName.LogReadFailures, {stream: StreamName.Fleet});
    if (this.reachable || this.failures === 0) {
      logger.warn(LogEvent.LogUnavailable, {error: error.message});
    }
    this.reachable = false;
    const delay = backoff(
      random,
      this.failures++,
      BACKOFF_BASE_MILLISECONDS,
      BACKOFF_MAXIMUM_MILLISECONDS,
    );
    await sleep(clock, delay, this.stopping.signal);
  }
}
