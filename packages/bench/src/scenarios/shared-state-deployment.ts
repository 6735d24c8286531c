import {randomUUID} from 'node:crypto';
import {
  AdminRoutes,
  MemoryMetrics,
  SeededRandom,
  SilentLogger,
  SystemClock,
  sleep,
  type Clock,
} from '@gentiandoor/kernel';
import {
  PeerDirectory,
  generateOperatorKeys,
  type AppendPosition,
  type LogBatch,
  type PlatformLog,
  type ReadOptions,
  type StreamName,
} from '@gentiandoor/shared-state';
import {WebSocketPeerLinks, peersOptions} from '@gentiandoor/plugin-peers';
import {HttpPlatformLog} from '@gentiandoor/plugin-platform-log';
import {
  LogBackedSharedState,
  sharedStateOptions,
} from '@gentiandoor/plugin-shared-state';
import {
  FaultyLog,
  MemoryLog,
  MemoryVmList,
  PlatformServer,
} from '@gentiandoor/stand-ins';

const LOOPBACK = '127.0.0.1:0';
const PEER_KEY = 'peer key for measurements only';
const WAIT_STEP_MILLISECONDS = 5;

/** A daemon of Swan Coast: name and data centre. */
export interface EntryPlan {
  readonly name: string;
  readonly dataCentre: string;
}

/** The seven entry VMs of Swan Coast. */
export const SWAN_COAST_DAEMONS: readonly EntryPlan[] = [
  {name: 'entry-1', dataCentre: 'perth-a'},
  {name: 'entry-2', dataCentre: 'perth-a'},
  {name: 'entry-3', dataCentre: 'perth-b'},
  {name: 'entry-4', dataCentre: 'perth-b'},
  {name: 'entry-5', dataCentre: 'bunbury'},
  {name: 'entry-6', dataCentre: 'bunbury'},
  {name: 'entry-7', dataCentre: 'mandurah'},
];

/** Parameters that differ between compared deployments. */
export interface StateDeploymentOptions {
  readonly entries: readonly EntryPlan[];
  readonly seed: number;
  readonly hasPeers: boolean;
  /** One-way delay to the log. */
  readonly logDelayMilliseconds: number;
  /** Poll interval that replaces long polls when set. */
  readonly pollMilliseconds?: number;
  readonly settings?: Readonly<Record<string, string>>;
}

/** Baseline for long polls: waits for a fixed time before each read. */
class PolledLog implements PlatformLog {
  constructor(
    private readonly log: PlatformLog,
    private readonly clock: Clock,
    private readonly pollMilliseconds: number,
  ) {}

  append(
    stream: StreamName,
    payloads: readonly Uint8Array[],
    signal?: AbortSignal,
  ): Promise<AppendPosition> {
    return this.log.append(stream, payloads, signal);
  }

  async read(
    stream: StreamName,
    from: number,
    options: ReadOptions,
    signal?: AbortSignal,
  ): Promise<LogBatch> {
    const once = {...options, waitMilliseconds: 0};
    if (options.waitMilliseconds > 0)
      await sleep(this.clock, this.pollMilliseconds, signal);
    return this.log.read(stream, from, once, signal);
  }
}

/**
 * A daemon's shared state over HTTP and WebSocket on loopback, with its own connection to the log.
 */
export class MeasuredDaemon {
  readonly log: FaultyLog;
  readonly metrics = new MemoryMetrics();
  follower!: LogBackedSharedState;
  /** Called when the served state has changed. */
  onChange: () => void = () => undefined;
  platformAddress = '';
  private readonly platform: PlatformServer;
  private httpLog!: HttpPlatformLog;
  private links!: WebSocketPeerLinks;
  readonly directory = new PeerDirectory();

  constructor(
    readonly plan: EntryPlan,
    private readonly deployment: StateDeployment,
    private readonly seed: number,
  ) {
    const {clock, log, options} = deployment;
    this.log = new FaultyLog(log, clock);
    this.log.delayMilliseconds = options.logDelayMilliseconds;
    this.platform = new PlatformServer(this.log, new MemoryVmList(clock));
  }

  get version(): number {
    return this.follower.state.inForce?.bundle.version ?? 0;
  }

  async start(): Promise<void> {
    const {clock, options, operator} = this.deployment;
    this.platformAddress = await this.platform.start(LOOPBACK);
    this.httpLog = new HttpPlatformLog({
      address: this.platformAddress,
      timeout_milliseconds: 2000,
    });
    const {name, dataCentre} = this.plan;
    const common = {
      identity: {name, dataCentre, incarnation: randomUUID()},
      clock,
      random: new SeededRandom(this.seed),
      logger: new SilentLogger(),
      metrics: this.metrics,
      peerDirectory: this.directory,
    };
    this.links = new WebSocketPeerLinks({
      ...common,
      peersOptions: peersOptions.parse(
        options.hasPeers ? {listen: LOOPBACK, key: PEER_KEY} : {},
      ),
    });
    this.follower = new LogBackedSharedState({
      ...common,
      platformLog:
        options.pollMilliseconds === undefined
          ? this.httpLog
          : new PolledLog(this.httpLog, clock, options.pollMilliseconds),
      peerLinks: this.links,
      vmList: {
        current: () => new Map(),
        ageMilliseconds: () => Infinity,
        onChange: () => undefined,
      },
      adminRoutes: new AdminRoutes(),
      sharedStateOptions: sharedStateOptions.parse({
        trusted_operators: `kerry:${operator.publicKey}`,
        ...options.settings,
      }),
    });
    this.follower.onChange(() => this.onChange());
    await this.links.start();
    await this.follower.start();
  }

  async stop(): Promise<void> {
    await this.follower.stop();
    await this.links.stop();
    await this.httpLog.stop();
    await this.platform.stop();
  }
}

/** The shared states of several daemons in one process, each with its own connection to one log. */
export class StateDeployment {
  readonly clock = new SystemClock();
  readonly log = new MemoryLog(this.clock);
  readonly operator = generateOperatorKeys();
  readonly entries: readonly MeasuredDaemon[];

  constructor(readonly options: StateDeploymentOptions) {
    this.entries = options.entries.map(
      (plan, index) => new MeasuredDaemon(plan, this, options.seed + index),
    );
  }

  /** Starts all daemons and waits until each one's folded state has all of them as members. */
  async start(): Promise<void> {
    for (const entry of this.entries) await entry.start();
    await this.waitUntil(() =>
      this.entries.every(
        entry => entry.follower.state.members.size === this.entries.length,
      ),
    );
  }

  /** Waits until a condition is true; rejects after 30 s by default. */
  async waitUntil(
    condition: () => boolean,
    milliseconds = 30_000,
  ): Promise<void> {
    const deadline = this.clock.monotonicMilliseconds() + milliseconds;
    while (!condition()) {
      if (this.clock.monotonicMilliseconds() > deadline)
        throw new Error('expected the condition to become true in time');
      await sleep(this.clock, WAIT_STEP_MILLISECONDS);
    }
  }

  async stop(): Promise<void> {
    await Promise.all(this.entries.map(entry => entry.stop()));
  }
}
