import {
  AdminRoutes,
  LogEvent,
  MemoryMetrics,
  SeededRandom,
  VirtualClock,
  toError,
  type LogFields,
  type Logger,
} from '@gentiandoor/kernel';
import {
  PeerDirectory,
  RecordKind,
  sha256Hex,
  signBundle,
  type FleetRecord,
  type FoldOutcome,
} from '@gentiandoor/shared-state';
import {
  FaultyLog,
  MemoryLog,
  MemoryPeerNetwork,
  MemoryVmList,
} from '@gentiandoor/stand-ins';
import {LogBackedSharedState} from '../log-backed-shared-state.js';
import {sharedStateOptions} from '../shared-state-options.js';
import {operatorKeysFromSeed} from './operators.js';

const STEP_MILLISECONDS = 10;
const TURNS_PER_STEP = 12;
/** Fields of log events that are shown in a transcript; they are the same in each run. */
const SHOWN_FIELDS = [
  'version',
  'offset',
  'oldest',
  'reason',
  'detail',
  'peer',
  'name',
  'by',
];

/** Operators of a session by name. */
export const OPERATORS = {
  moana: operatorKeysFromSeed(1),
  kerry: operatorKeysFromSeed(2),
  tui: operatorKeysFromSeed(3),
} as const;

/** An operator of a session. */
export type OperatorName = keyof typeof OPERATORS;

/** What varies between the bundles of a session. */
export interface BundleTextOptions {
  readonly version: number;
  readonly base: number;
  readonly author: OperatorName;
  readonly slots?: number;
}

/** Returns the text of a small bundle like the one of the Kingston example. */
export function bundleText(options: BundleTextOptions): string {
  const operators = Object.entries(OPERATORS).map(
    ([name, {publicKey}]) => `[operator.${name}]\npublic_key = ${publicKey}\n`,
  );
  return `[bundle]
version = ${options.version}
base = ${options.base}
author = ${options.author}
sign_offs = 1
${operators.join('')}[rack.hall-a-r1]
data_centre = hall-a
vms = hall-a-r1-[1-4]
[pool.counter-preview]
vms = hall-a-r1-[1-4]
slots = ${options.slots ?? 8}
[service.counter-preview]
pool = counter-preview
leaving_at_once = 2
`;
}

/** One daemon of a session: the real shared state over a log connection of its own. */
export class SessionDaemon {
  readonly platformLog: FaultyLog;
  readonly metrics = new MemoryMetrics();
  readonly sharedState: LogBackedSharedState;
  /** Bundle versions served by this daemon, in order. */
  readonly servedVersions: number[] = [];

  constructor(
    session: Session,
    readonly name: string,
    readonly dataCentre: string,
    readonly incarnation: string,
    settings: Record<string, string>,
  ) {
    const {clock, log, network} = session;
    this.platformLog = new FaultyLog(log, clock);
    const peerDirectory = new PeerDirectory();
    peerDirectory.ownAddress = `${name}:7901`;
    this.sharedState = new LogBackedSharedState({
      identity: {name, dataCentre, incarnation},
      clock,
      random: new SeededRandom(session.nextSeed()),
      logger: new SessionLogger(session, name),
      metrics: this.metrics,
      platformLog: this.platformLog,
      peerLinks: network.join({name, dataCentre, incarnation}),
      peerDirectory,
      vmList: {
        current: () => new Map(session.vmList.visible().map(vm => [vm.id, vm])),
        ageMilliseconds: () => 0,
        onChange: () => undefined,
      },
      adminRoutes: new AdminRoutes(),
      sharedStateOptions: sharedStateOptions.parse({
        trusted_operators: Object.entries(OPERATORS)
          .map(([operator, {publicKey}]) => `${operator}:${publicKey}`)
          .join(', '),
        ...settings,
      }),
    });
    this.sharedState.onChange(() => this.recordServedVersion());
  }

  /** The bundle version served now; undefined for none. */
  get version(): number | undefined {
    return this.sharedState.state.inForce?.bundle.version;
  }

  private recordServedVersion(): void {
    const {version} = this;
    if (version !== undefined && version !== this.servedVersions.at(-1))
      this.servedVersions.push(version);
  }
}

/** A session of several daemons over one log and a virtual clock, recorded as a transcript. */
export class Session {
  readonly clock = new VirtualClock();
  readonly log: MemoryLog;
  readonly network = new MemoryPeerNetwork();
  readonly vmList: MemoryVmList;
  readonly daemons = new Map<string, SessionDaemon>();
  private readonly lines: string[] = [];
  private seed = 0;
  private recordCount = 0;
  private incarnationCount = 0;

  constructor(private readonly settings: Record<string, string> = {}) {
    this.log = new MemoryLog(this.clock);
    this.vmList = new MemoryVmList(this.clock);
  }

  nextSeed(): number {
    return ++this.seed;
  }

  /** All lines recorded so far. */
  get transcript(): string {
    return `${this.lines.join('\n')}\n`;
  }

  /** Adds a heading that says what happens next. */
  addHeading(line: string): void {
    this.lines.push(`\n# ${line}`);
  }

  addLine(source: string, text: string): void {
    const seconds = (this.clock.monotonicMilliseconds() / 1000).toFixed(2);
    this.lines.push(`${seconds.padStart(9)}s ${source.padEnd(8)} ${text}`);
  }

  daemon(name: string): SessionDaemon {
    const daemon = this.daemons.get(name);
    if (!daemon) throw new Error(`no daemon ${name}`);
    return daemon;
  }

  async start(name: string, dataCentre: string): Promise<SessionDaemon> {
    const incarnation = `${name}.${++this.incarnationCount}`;
    const daemon = new SessionDaemon(
      this,
      name,
      dataCentre,
      incarnation,
      this.settings,
    );
    this.daemons.set(name, daemon);
    await daemon.sharedState.start();
    return daemon;
  }

  /** Stops a daemon without letting it leave, as when its VM is lost. */
  async crash(name: string): Promise<void> {
    const daemon = this.daemon(name);
    this.network.leave(daemon.incarnation);
    this.daemons.delete(name);
    const stopped = daemon.sharedState.stop();
    await this.advance(STEP_MILLISECONDS);
    await stopped;
  }

  async stopAll(): Promise<void> {
    for (const name of [...this.daemons.keys()]) await this.crash(name);
  }

  /** Lets virtual time pass. */
  async advance(
    milliseconds: number,
    step: number = STEP_MILLISECONDS,
  ): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += step) {
      await this.clock.advanceAsync(step);
      for (let turn = 0; turn < TURNS_PER_STEP; turn++)
        await new Promise(resolve => setImmediate(resolve));
    }
  }

  /** Publishes a record at a daemon and records its outcome when it is known. */
  publish(
    daemonName: string,
    description: string,
    record: FleetRecord,
  ): Promise<FoldOutcome | undefined> {
    return this.daemon(daemonName)
      .sharedState.publish(record)
      .then(
        outcome => {
          const {rejection} = outcome;
          this.addLine(
            daemonName,
            rejection
              ? `${description}: ${rejection.reason}: ${rejection.detail}`
              : `${description}: done at offset ${outcome.offset}`,
          );
          return outcome;
        },
        (error: unknown) => {
          this.addLine(daemonName, `${description}: ${toError(error).message}`);
          return undefined;
        },
      );
  }

  /** Proposes a bundle at a daemon and signs it off as another operator. */
  async proposeAndSignOff(
    daemonName: string,
    options: BundleTextOptions,
    signer: OperatorName,
  ): Promise<void> {
    const text = bundleText(options);
    const digest = sha256Hex(text);
    const {version, author} = options;
    const proposed = await this.publish(
      daemonName,
      `${author} proposes ${version}`,
      {
        kind: RecordKind.BundleProposed,
        id: this.nextId(),
        writer: author,
        text,
      },
    );
    if (!proposed || proposed.rejection) return;
    await this.publish(daemonName, `${signer} signs off ${version}`, {
      kind: RecordKind.BundleSigned,
      id: this.nextId(),
      writer: signer,
      version,
      digest,
      operator: signer,
      signature: signBundle(OPERATORS[signer].privateKey, version, digest),
    });
  }

  nextId(): string {
    return `record-${++this.recordCount}`;
  }

  /** Records the bundle version that each daemon serves. */
  addServedVersions(): void {
    for (const [name, daemon] of this.daemons)
      this.addLine(name, `serves under ${daemon.version ?? 'nothing'}`);
  }
}

class SessionLogger implements Logger {
  constructor(
    private readonly session: Session,
    private readonly name: string,
  ) {}

  debug(): void {}

  info(event: LogEvent, fields: LogFields = {}): void {
    this.addLine(event, fields);
  }

  warn(event: LogEvent, fields: LogFields = {}): void {
    this.addLine(event, fields);
  }

  error(event: LogEvent, fields: LogFields = {}): void {
    this.addLine(event, fields);
  }

  private addLine(event: LogEvent, fields: LogFields): void {
    const shown = SHOWN_FIELDS.filter(field => fields[field] !== undefined).map(
      field => `${field}=${String(fields[field])}`,
    );
    this.session.addLine(this.name, [LogEvent[event], ...shown].join(' '));
  }
}
