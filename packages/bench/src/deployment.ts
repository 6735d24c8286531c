import {randomUUID} from 'node:crypto';
import {
  SilentLogger,
  SystemClock,
  parseSettings,
  sleep,
  type Logger,
} from '@gentiandoor/kernel';
import {
  ListedState,
  RecordKind,
  StreamName,
  sha256Hex,
  encodeRecord,
  generateOperatorKeys,
  parseBundle,
  signBundle,
  type FleetRecord,
  type OperatorKeys,
  type SharedState,
} from '@gentiandoor/shared-state';
import {Daemon} from '@gentiandoor/daemon';
import type {AdminServer} from '@gentiandoor/plugin-admin';
import type {CallerHttpServer} from '@gentiandoor/plugin-caller-http';
import {
  MemoryLeaseClient,
  MemoryLog,
  MemoryVmActions,
  MemoryVmList,
  PlatformLeaseRoutes,
  PlatformServer,
  TargetRebootingVmActions,
  TargetServer,
  type TaskBehaviour,
} from '@gentiandoor/stand-ins';

/** Admin key of all daemons of a deployment under test. */
export const ADMIN_KEY = 'admin-key-for-tests-only';
const DEFAULT_OPERATOR = 'kerry';
const TASK_BEHAVIOUR: TaskBehaviour = {
  runMilliseconds: 500,
  fails: false,
  usage: {processors: 1, memoryGigabytes: 1, accelerators: 0},
};
const BOOT_MILLISECONDS = 400;
const PEER_KEY = 'peer-key-for-tests-only';
const LOOPBACK = '127.0.0.1:0';
const WAIT_TIMEOUT_MILLISECONDS = 10_000;
const POLL_MILLISECONDS = 10;

/** A rack and its VMs. */
export interface RackPlan {
  readonly name: string;
  readonly dataCentre: string;
  readonly vms: readonly string[];
}

/** Settings of a daemon that differ from the defaults of a deployment. */
export interface DaemonSettingsOverrides {
  readonly callerListen?: string;
  readonly adminListen?: string;
  readonly callerHttp?: Readonly<Record<string, number>>;
  readonly targetHttp?: Readonly<Record<string, number>>;
  readonly admin?: Readonly<Record<string, number>>;
}

/** A started daemon of a deployment with its bound addresses. */
export interface RunningDaemon {
  readonly name: string;
  readonly daemon: Daemon;
  readonly callerAddress: string;
  readonly adminAddress: string;
}

/** The platform's stand-ins, targets and daemons in one process. */
export class Deployment {
  readonly clock = new SystemClock();
  readonly log = new MemoryLog(this.clock);
  readonly list = new MemoryVmList(this.clock);
  readonly targets = new Map<string, TargetServer>();
  readonly vmActions = new MemoryVmActions(this.clock, this.list);
  readonly leases = new MemoryLeaseClient(this.clock, () => TASK_BEHAVIOUR);
  readonly platform = new PlatformServer(
    this.log,
    this.list,
    new PlatformLeaseRoutes(
      this.leases,
      new TargetRebootingVmActions(this.clock, this.vmActions, this.targets),
    ),
  );
  readonly daemons: RunningDaemon[] = [];
  /** Keys of the operator whom the daemons trust before the first bundle. */
  readonly operator: OperatorKeys = generateOperatorKeys();
  private platformAddress = '';
  private isRolledOut = false;

  constructor(
    private readonly logger: Logger = new SilentLogger(),
    /**
     * Name under which the operator signs off; a bundle must list it to allow the next sign-off.
     */
    private readonly operatorName = DEFAULT_OPERATOR,
  ) {}

  async startPlatform(): Promise<void> {
    this.vmActions.bootMilliseconds = BOOT_MILLISECONDS;
    this.platformAddress = await this.platform.start(LOOPBACK);
  }

  async startRack(rack: RackPlan): Promise<void> {
    for (const id of rack.vms) {
      const target = new TargetServer(id);
      await target.start(LOOPBACK);
      this.targets.set(id, target);
      const {address} = target;
      const {dataCentre, name} = rack;
      this.list.put({
        id,
        address,
        dataCentre,
        rack: name,
        state: ListedState.Live,
      });
    }
  }

  async startDaemon(
    name: string,
    dataCentre: string,
    overrides: DaemonSettingsOverrides = {},
  ): Promise<RunningDaemon> {
    const settings = parseSettings(
      this.settingsOf(name, dataCentre, overrides),
      `${name}.ini`,
    );
    const daemon = new Daemon(settings, {logger: this.logger});
    await daemon.start();
    const running = {
      name,
      daemon,
      callerAddress: `127.0.0.1:${daemon.resolve<CallerHttpServer>('callerHttp').port}`,
      adminAddress: `127.0.0.1:${daemon.resolve<AdminServer>('admin').port}`,
    };
    // Like the balancer, sends nothing to a daemon before it is ready.
    if (this.isRolledOut) await this.waitUntil(() => isReady(running));
    this.daemons.push(running);
    return running;
  }

  /**
   * Proposes a bundle, signs it off as the trusted operator and waits until it is in force at all
   * daemons.
   */
  async rollOut(text: string): Promise<void> {
    const {version} = parseBundle(text);
    const digest = sha256Hex(text);
    const writer = 'operator';
    await this.append({
      kind: RecordKind.BundleProposed,
      id: randomUUID(),
      writer,
      text,
    });
    await this.append({
      kind: RecordKind.BundleSigned,
      id: randomUUID(),
      writer,
      version,
      digest,
      operator: this.operatorName,
      signature: signBundle(this.operator.privateKey, version, digest),
    });
    this.isRolledOut = true;
    await this.waitUntil(() =>
      this.daemons.every(running => inForceVersion(running) === version),
    );
  }

  /** Waits until every daemon's folded state has all daemons as members. */
  async untilMembers(): Promise<void> {
    const count = this.daemons.length;
    await this.waitUntil(() =>
      this.daemons.every(
        ({daemon}) =>
          daemon.resolve<SharedState>('sharedState').state.members.size ===
          count,
      ),
    );
  }

  async append(record: FleetRecord): Promise<void> {
    await this.log.append(StreamName.Fleet, [encodeRecord(record)]);
  }

  /** Waits until a condition is true; rejects after the timeout. */
  async waitUntil(
    condition: () => boolean,
    timeoutMilliseconds = WAIT_TIMEOUT_MILLISECONDS,
  ): Promise<void> {
    for (
      let waited = 0;
      waited < timeoutMilliseconds;
      waited += POLL_MILLISECONDS
    ) {
      if (condition()) return;
      await sleep(this.clock, POLL_MILLISECONDS);
    }
    throw new Error(
      `expected the condition to become true within ${timeoutMilliseconds} ms`,
    );
  }

  async stop(): Promise<void> {
    for (const {daemon} of this.daemons) await daemon.stop();
    for (const target of this.targets.values()) await target.stop();
    await this.platform.stop();
  }

  /** Returns the INI settings of a daemon of this deployment; also valid in another process. */
  settingsOf(
    name: string,
    dataCentre: string,
    overrides: DaemonSettingsOverrides = {},
  ): string {
    return `
[daemon]
name = ${name}
data_centre = ${dataCentre}
log_level = warn
[metrics]
[platform-log]
address = ${this.platformAddress}
[platform-leases]
address = ${this.platformAddress}
[platform-list]
address = ${this.platformAddress}
poll_milliseconds = 200
[shared-state]
trusted_operators = ${this.operatorName}:${this.operator.publicKey}
[peers]
listen = ${LOOPBACK}
key = ${PEER_KEY}
[target-http]
${formatSettings(overrides.targetHttp)}
[caller-http]
listen = ${overrides.callerListen ?? LOOPBACK}
${formatSettings(overrides.callerHttp)}
[admin]
listen = ${overrides.adminListen ?? LOOPBACK}
key = ${ADMIN_KEY}
${formatSettings(overrides.admin)}
`;
  }
}

function formatSettings(keys: Readonly<Record<string, number>> = {}): string {
  return Object.entries(keys)
    .map(([key, value]) => `${key} = ${value}`)
    .join('\n');
}

function isReady({daemon}: RunningDaemon): boolean {
  const {unreadyParts} = daemon.resolve<AdminServer>('admin');
  return unreadyParts.length === 0;
}

function inForceVersion(running: RunningDaemon): number | undefined {
  const {state} = running.daemon.resolve<SharedState>('sharedState');
  return state.inForce?.bundle.version;
}
