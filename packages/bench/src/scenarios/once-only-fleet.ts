import {
  MemoryMetrics,
  MetricName,
  SeededRandom,
  SilentLogger,
  sleep,
  type Clock,
} from '@gentiandoor/kernel';
import {
  LogBackedIdempotencyGuard,
  onceOnlyOptions,
} from '@gentiandoor/plugin-once-only';
import {
  emptyFleetState,
  type AppendPosition,
  type LogBatch,
  type IdempotencyGuard,
  type PlatformLog,
  type ReadOptions,
  type StreamName,
} from '@gentiandoor/shared-state';
import {MemoryLog, MemoryPeerNetwork} from '@gentiandoor/stand-ins';

/** A log with append latency, half of which passes before the append takes effect. */
export class SlowLog implements PlatformLog {
  constructor(
    private readonly log: PlatformLog,
    private readonly clock: Clock,
    private readonly appendMilliseconds: number,
  ) {}

  async append(
    stream: StreamName,
    payloads: readonly Uint8Array[],
    signal?: AbortSignal,
  ): Promise<AppendPosition> {
    await sleep(this.clock, this.appendMilliseconds / 2, signal);
    const position = await this.log.append(stream, payloads, signal);
    await sleep(this.clock, this.appendMilliseconds / 2, signal);
    return position;
  }

  read(
    stream: StreamName,
    from: number,
    options: ReadOptions,
    signal?: AbortSignal,
  ): Promise<LogBatch> {
    return this.log.read(stream, from, options, signal);
  }
}

/** Idempotency guards of several daemons over one slow log. */
export class ClaimsFleet {
  readonly log: MemoryLog;
  readonly daemons: LogBackedIdempotencyGuard[] = [];
  private readonly network = new MemoryPeerNetwork();
  private readonly metrics = new MemoryMetrics();

  constructor(
    private readonly clock: Clock,
    private readonly appendMilliseconds: number,
    appendsPerSecond: number,
    private readonly settings: Readonly<Record<string, string>> = {},
  ) {
    this.log = new MemoryLog(clock, {
      appendsPerSecond,
      retainedRecords: 10_000_000,
    });
  }

  async start(daemons: number): Promise<void> {
    for (let index = 0; index < daemons; index++) await this.startOne(index);
  }

  async startOne(index: number): Promise<LogBackedIdempotencyGuard> {
    const identity = {
      name: `entry-${index}`,
      dataCentre: 'hall-a',
      incarnation: `entry-${index}.1`,
    };
    const daemon = new LogBackedIdempotencyGuard({
      clock: this.clock,
      random: new SeededRandom(index),
      logger: new SilentLogger(),
      metrics: this.metrics,
      identity,
      platformLog: new SlowLog(this.log, this.clock, this.appendMilliseconds),
      peerLinks: this.network.join(identity),
      sharedState: {state: emptyFleetState({})},
      onceOnlyOptions: onceOnlyOptions.parse(this.settings),
    });
    await daemon.start();
    this.daemons.push(daemon);
    return daemon;
  }

  /** Number of claims kept by the most recently started daemon. */
  get claimsKept(): number {
    return this.metrics.value(MetricName.ClaimsKept);
  }

  async stop(): Promise<void> {
    for (const daemon of this.daemons) await daemon.stop();
  }
}

/** Claims a key and, if the request may run, finishes the claim immediately. */
export async function runOne(
  claims: IdempotencyGuard,
  key: string,
): Promise<void> {
  const decision = await claims.begin({
    service: 'crest-works',
    caller: 'crest-shop',
    key,
    fingerprint: 'POST /crest-works',
  });
  if (decision.run) decision.claim.finish(undefined);
}
