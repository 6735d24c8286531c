import {FleetPlanner} from '@gentiandoor/fleet';
import {
  AdminRoutes,
  DecisionJournal,
  SeededRandom,
  SilentLogger,
  VirtualClock,
  sleep,
  type DaemonIdentity,
} from '@gentiandoor/kernel';
import {
  RecordKind,
  StreamName,
  applyPayload,
  emptyFleetState,
  encodeRecord,
  type FleetRecord,
  type FoldOutcome,
  type ListedVm,
  type Peer,
  type RoutingDrain,
  type SharedState,
  type TaskRequest,
  type VmList,
  ListedState,
} from '@gentiandoor/shared-state';
import {
  EXAMPLE_TRUSTED_OPERATORS,
  MemoryLeaseClient,
  MemoryLog,
  MemoryVmActions,
  MemoryVmList,
  exampleBundle,
  exampleVms,
  joinRecord,
  rollOutRecords,
  type ExampleDeployment,
  type TaskBehaviour,
} from '@gentiandoor/stand-ins';
import {DrainAcknowledger} from '../drain-acknowledger.js';
import {FleetPublisher} from '../fleet-publisher.js';
import {FleetRoutes} from '../fleet-routes.js';
import {MemberRoutes} from '../member-routes.js';
import {JobRoutes} from '../job-routes.js';
import {JobRunner} from '../job-runner.js';
import {PlannerLoop} from '../planner-loop.js';
import {WaveForecasts} from '../wave-forecasts.js';

const OPTIONS = {
  round_milliseconds: 1000,
  acknowledge_milliseconds: 1000,
  publish_timeout_milliseconds: 5000,
  automatic_waves: false,
  maintenance_period_days: 35,
  lease_milliseconds: 60_000,
};
/** Longest wait of one read for a record; also the pause after a failed read. */
const READ_MILLISECONDS = 2000;

/**
 * Follows the log of the stand-in by reading; the outcome of a record is known once it is
 * read back.
 */
class LogFollowingState implements SharedState {
  readonly state = emptyFleetState(EXAMPLE_TRUSTED_OPERATORS);
  isLogReachable = true;
  /** While true, nothing is read: the daemon is disconnected from the log or paused. */
  isDisconnected = false;
  private readonly awaited = new Map<string, (outcome: FoldOutcome) => void>();
  private readonly listeners: Array<() => void> = [];

  constructor(
    private readonly log: MemoryLog,
    clock: VirtualClock,
  ) {
    void this.follow(clock);
  }

  async publish(
    record: FleetRecord,
    signal?: AbortSignal,
  ): Promise<FoldOutcome> {
    const outcome = new Promise<FoldOutcome>((resolve, reject) => {
      this.awaited.set(record.id, resolve);
      signal?.addEventListener('abort', () => reject(new Error('too late')));
    });
    outcome.catch(() => undefined);
    if (this.isDisconnected) return outcome;
    await this.log
      .append(StreamName.Fleet, [encodeRecord(record)])
      .catch((error: {failure?: string}) => {
        if (error.failure !== 'no_answer') throw error;
      });
    return outcome;
  }

  onChange(listener: () => void): void {
    this.listeners.push(listener);
  }

  private async follow(clock: VirtualClock): Promise<void> {
    for (;;) {
      const failed = this.isDisconnected || !(await this.readOnce());
      if (failed) await sleep(clock, READ_MILLISECONDS);
    }
  }

  private async readOnce(): Promise<boolean> {
    try {
      const options = {limit: 10_000, waitMilliseconds: READ_MILLISECONDS};
      const from = this.state.nextOffset;
      const batch = await this.log.read(StreamName.Fleet, from, options);
      this.isLogReachable = true;
      if (this.isDisconnected) return false;
      for (const payload of batch.payloads) this.apply(payload);
      return true;
    } catch {
      this.isLogReachable = false;
      return false;
    }
  }

  private apply(payload: Uint8Array): void {
    const outcome = applyPayload(this.state, payload);
    const {record} = outcome;
    if ('id' in record) this.awaited.get(record.id)?.(outcome);
    for (const listener of this.listeners) listener();
  }
}

/** A router whose exchanges a test can keep in flight. */
export class BlockableRoutingDrain implements RoutingDrain {
  /** VMs on which an exchange is in flight. */
  readonly busy = new Set<string>();

  constructor(private readonly clock: VirtualClock) {}

  async stopRouting(vm: string, signal: AbortSignal): Promise<void> {
    while (this.busy.has(vm) && !signal.aborted)
      await sleep(this.clock, 50, signal);
  }
}

/** The fleet plug-in of a daemon on stand-ins. */
export class FleetDaemon {
  readonly sharedState: LogFollowingState;
  readonly routing: BlockableRoutingDrain;
  readonly journal: DecisionJournal;
  readonly routes = new AdminRoutes();
  readonly suspected = new Set<string>();
  /** Daemons to which this one has a link. */
  readonly linked: Peer[] = [];
  readonly planner: PlannerLoop;
  readonly publisher: FleetPublisher;
  /** While true, the process of the daemon makes no progress. */
  isPaused = false;
  private readonly acknowledger: DrainAcknowledger;

  constructor(
    readonly identity: DaemonIdentity,
    readonly harness: FleetHarness,
    seed: number,
  ) {
    const {clock, log} = harness;
    const logger = new SilentLogger();
    this.sharedState = new LogFollowingState(log, clock);
    this.routing = new BlockableRoutingDrain(clock);
    this.journal = new DecisionJournal(clock);
    const common = {
      clock,
      logger,
      identity,
      sharedState: this.sharedState,
      fleetOptions: OPTIONS,
      random: new SeededRandom(seed),
      decisionJournal: this.journal,
      adminRoutes: this.routes,
      waveForecasts: new WaveForecasts({clock}),
      fleetPlanner: new FleetPlanner(),
      leaseClient: harness.leases,
      vmActions: harness.actions,
      vmList: harness.list,
      vmHealth: {suspected: () => this.suspected},
      routingDrain: this.routing,
    };
    this.publisher = new FleetPublisher(common);
    const withPublisher = {...common, fleetPublisher: this.publisher};
    const jobRunner = new JobRunner(withPublisher);
    this.planner = new PlannerLoop({...withPublisher, jobRunner});
    this.acknowledger = new DrainAcknowledger(withPublisher);
    new FleetRoutes(withPublisher);
    new JobRoutes(withPublisher);
    new MemberRoutes({
      ...withPublisher,
      peerLinks: {connected: () => this.linked},
    });
  }

  get state() {
    return this.sharedState.state;
  }

  async join(): Promise<void> {
    const {name, incarnation, dataCentre} = this.identity;
    await this.harness.append(joinRecord(name, incarnation, dataCentre));
  }

  start(): void {
    this.planner.start();
    this.acknowledger.start();
  }
}

/** Reads the stand-in's VM list as a daemon's platform plug-in would. */
class StandInVmList implements VmList {
  constructor(private readonly list: MemoryVmList) {}

  current(): ReadonlyMap<string, ListedVm> {
    return new Map(this.list.visible().map(vm => [vm.id, vm]));
  }

  ageMilliseconds(): number {
    return 0;
  }

  onChange(): void {
    return undefined;
  }
}

const SUCCESSFUL_TASK: TaskBehaviour = {
  runMilliseconds: 60_000,
  fails: false,
  usage: {processors: 1, memoryGigabytes: 1, accelerators: 0},
};

/** The platform and some daemons on one virtual clock. */
export class FleetHarness {
  readonly clock = new VirtualClock();
  readonly log = new MemoryLog(this.clock);
  readonly vmList = new MemoryVmList(this.clock);
  readonly list = new StandInVmList(this.vmList);
  readonly actions = new MemoryVmActions(this.clock, this.vmList);
  readonly leases: MemoryLeaseClient;
  readonly daemons: FleetDaemon[] = [];
  /** How tasks behave; a test may replace it. */
  behaviour: (request: TaskRequest) => TaskBehaviour = () => SUCCESSFUL_TASK;
  private written = 0;

  private constructor(readonly deployment: ExampleDeployment) {
    this.leases = new MemoryLeaseClient(this.clock, request =>
      this.behaviour(request),
    );
  }

  /** Starts daemons and waits until one of them plans and the bundle is in force. */
  static async start(
    deployment: ExampleDeployment,
    daemons = 2,
  ): Promise<FleetHarness> {
    const harness = new FleetHarness(deployment);
    for (const {id, dataCentre, rack} of exampleVms(deployment)) {
      const state = ListedState.Live;
      harness.vmList.put({id, address: '127.0.0.1:1', dataCentre, rack, state});
    }
    for (const record of rollOutRecords(exampleBundle(deployment)))
      await harness.append(record);
    for (let n = 1; n <= daemons; n++) await harness.startDaemon(n);
    await harness.run(20_000);
    return harness;
  }

  async startDaemon(n: number): Promise<FleetDaemon> {
    const {dataCentres} = this.deployment;
    const daemon = new FleetDaemon(
      {
        name: `entry-${n}`,
        incarnation: `incarnation-${n}`,
        dataCentre: dataCentres[n % dataCentres.length],
      },
      this,
      n,
    );
    await daemon.join();
    daemon.start();
    this.daemons.push(daemon);
    return daemon;
  }

  async append(record: FleetRecord): Promise<void> {
    await this.log.append(StreamName.Fleet, [encodeRecord(record)]);
  }

  /** Appends a record as an operator and waits until it is read. */
  async appendOperatorRecord(draft: object): Promise<void> {
    const id = `operator-${this.written++}`;
    await this.append({...draft, id, writer: 'moana'} as FleetRecord);
    await this.run(200);
  }

  async startWave(wave = 'wave-1', scope = {}): Promise<void> {
    const reason = 'kernel update';
    await this.appendOperatorRecord({
      kind: RecordKind.WaveStarted,
      wave,
      reason,
      scope,
    });
  }

  /** The daemon that plans according to its own state. */
  get planningDaemon(): FleetDaemon | undefined {
    return this.daemons.find(daemon => {
      const planner = daemon.state.planner.get('planner');
      return planner?.holder === daemon.identity.incarnation;
    });
  }

  get state() {
    return this.daemons[this.daemons.length - 1].state;
  }

  async run(milliseconds: number): Promise<void> {
    await this.clock.advanceAsync(milliseconds);
  }

  /** Runs until the condition holds; throws after `limit` milliseconds of virtual time. */
  async runUntil(
    condition: () => boolean,
    limit = 3_600_000,
    step = 1000,
  ): Promise<void> {
    for (let waited = 0; waited < limit; waited += step) {
      if (condition()) return;
      await this.run(step);
    }
    throw new Error('the condition did not come true in time');
  }
}
