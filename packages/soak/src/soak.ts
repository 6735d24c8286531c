import {mkdirSync} from 'node:fs';
import {createServer, type AddressInfo} from 'node:net';
import {join} from 'node:path';
import {StoreFault} from '@gentiandoor/coordinator/stand-ins';
import {RunEnd} from '@gentiandoor/jobs';
import {SeededRandom} from '@gentiandoor/kernel';
import {
  StandInPlatform,
  standInSettings,
} from '@gentiandoor/platform/stand-ins';
import {DaemonProcess} from './daemon-process.js';
import {FaultProxy, ProxyMode} from './fault-proxy.js';
import {SoakCallers, pause, type ObservedJob} from './soak-callers.js';
import {guaranteeViolations} from './guarantee-violations.js';

/** Parameters of one soak run. */
export interface SoakOptions {
  readonly seed: number;
  readonly daemons: number;
  readonly rounds: number;
  /** Folder of the daemons' settings and logs. */
  readonly folder: string;
}

/** Outcome of a soak run. */
export interface SoakResult {
  readonly violations: readonly string[];
  readonly jobs: number;
  readonly runs: number;
  readonly faults: readonly string[];
}

const SERVICES = ['previews', 'crests'];
const WORKER_CAPACITY = {
  processorMillicores: 8_000,
  memoryMegabytes: 64_000,
  accelerators: 0,
};
const TASK_RESOURCES = {...WORKER_CAPACITY, processorMillicores: 1_000};
const MAXIMUM_PAUSE_MILLISECONDS = 1_200;
const MINIMUM_PAUSE_MILLISECONDS = 150;
/** Covers the longest lease and the jobs that wait for it. */
const RECOVERY_MILLISECONDS = 25_000;
const POLL_MILLISECONDS = 500;

/**
 * Injects faults into real daemons, heals them, waits for jobs to end, and checks what callers
 * and workers observed.
 */
export class Soak {
  private readonly random: SeededRandom;
  private readonly platform: StandInPlatform;
  private readonly daemons: DaemonProcess[] = [];
  private readonly proxies: FaultProxy[] = [];
  private readonly faults: string[] = [];
  private readonly callers: SoakCallers;
  private readonly pending: Array<Promise<void>> = [];
  private jobCount = 0;

  constructor(private readonly options: SoakOptions) {
    this.random = new SeededRandom(options.seed);
    this.platform = new StandInPlatform({
      services: SERVICES,
      standbyService: 'spare',
      workersPerService: 3,
      capacity: WORKER_CAPACITY,
      behaviourOf: task => ({
        durationMilliseconds: 150 + (hashOf(task) % 1_500),
        end: RunEnd.Done,
        resources: TASK_RESOURCES,
      }),
    });
    this.callers = new SoakCallers(() => this.pick(this.daemons).callers);
  }

  async play(): Promise<SoakResult> {
    mkdirSync(this.options.folder, {recursive: true});
    await this.platform.start();
    for (let index = 0; index < this.options.daemons; index++)
      await this.addDaemon(index);
    await pause(2 * MAXIMUM_PAUSE_MILLISECONDS);
    for (let round = 0; round < this.options.rounds; round++) {
      this.submitJobs();
      this.injectFault(round);
      await pause(
        MINIMUM_PAUSE_MILLISECONDS +
          this.random.nextInteger(MAXIMUM_PAUSE_MILLISECONDS),
      );
    }
    this.heal();
    await Promise.all(this.pending);
    await this.waitForJobEnds();
    const runs = this.platform.startedRuns();
    const violations = guaranteeViolations(this.callers.jobs, runs);
    await this.stop();
    return {
      violations,
      jobs: this.callers.jobs.length,
      runs: runs.length,
      faults: this.faults,
    };
  }

  private async addDaemon(index: number): Promise<void> {
    // Each daemon has its own loopback address, as each VM has its own address.
    const host = loopbackHost(process.pid, index);
    const store = new FaultProxy(this.platform.storeAddress);
    this.proxies.push(store);
    const settings = standInSettings(this.platform, `daemon-${index}`, {
      callers: await freePort(host),
      readiness: await freePort(host),
    }) as {listen: {front: string; ready: string}; platform: object};
    settings.listen.front = settings.listen.front.replace('127.0.0.1', host);
    settings.listen.ready = settings.listen.ready.replace('127.0.0.1', host);
    settings.platform = {address: await store.start(host)};
    const daemon = new DaemonProcess(
      `daemon-${index}`,
      settings.listen.front,
      join(this.options.folder, `daemon-${index}.json`),
      settings,
      join(this.options.folder, `daemon-${index}.log`),
    );
    this.daemons.push(daemon);
    daemon.start();
  }

  private submitJobs(): void {
    for (let count = 1 + this.random.nextInteger(3); count > 0; count--) {
      const job: ObservedJob = {
        id: (++this.jobCount).toString(16).padStart(16, '0'),
        service: this.pick(SERVICES),
        tasks: 1 + this.random.nextInteger(4),
        statuses: [],
        unanswered: 0,
        cancelled: false,
        cancelTried: false,
        state: undefined,
      };
      const cancels = this.random.nextInteger(8) === 0;
      this.pending.push(
        this.callers
          .submit(job)
          .then(() => (cancels ? this.callers.cancel(job) : undefined)),
      );
    }
  }

  private injectFault(round: number): void {
    const index = this.random.nextInteger(this.daemons.length);
    const daemon = this.daemons[index];
    const note = (what: string) => this.faults.push(`${round}: ${what}`);
    switch (this.random.nextInteger(9)) {
      case 0:
        note(`${daemon.node} killed and started`);
        this.awaitBeforeCheck(daemon.end('SIGKILL').then(() => daemon.start()));
        return;
      case 1:
        note(`${daemon.node} stopped gracefully and started`);
        this.awaitBeforeCheck(daemon.end('SIGTERM').then(() => daemon.start()));
        return;
      case 2:
        note(`${daemon.node} paused`);
        daemon.signal('SIGSTOP');
        setTimeout(
          () => daemon.signal('SIGCONT'),
          500 + this.random.nextInteger(4_000),
        );
        return;
      case 3:
      case 4: {
        const mode = this.pick(Object.values(ProxyMode));
        note(`${daemon.node} to the store: ${mode}`);
        this.proxies[index].setMode(mode);
        return;
      }
      case 5: {
        const fault = this.pick([undefined, ...Object.values(StoreFault)]);
        note(`store: ${fault ?? 'well'}`);
        this.platform.storeConnection.setFault(fault);
        return;
      }
      case 6: {
        const worker = this.pick(this.platform.liveWorkers());
        note(`${worker.id} crashes`);
        this.platform.crash(worker.id);
        return;
      }
      case 7:
        note(`${daemon.node} told to read its settings`);
        daemon.signal('SIGHUP');
        return;
      default:
        note('all well');
        this.heal();
    }
  }

  private heal(): void {
    this.platform.storeConnection.setFault(undefined);
    for (const proxy of this.proxies) proxy.setMode(ProxyMode.Pass);
    for (const daemon of this.daemons) {
      daemon.signal('SIGCONT');
      daemon.start();
    }
  }

  private async waitForJobEnds(): Promise<void> {
    const until = performance.now() + RECOVERY_MILLISECONDS;
    while (performance.now() < until) {
      const open = this.callers.jobs.filter(
        job =>
          job.statuses.includes(200) &&
          !['completed', 'cancelled', 'failed'].includes(job.state ?? ''),
      );
      if (open.length === 0) break;
      await Promise.all(open.map(job => this.callers.queryState(job)));
      await pause(POLL_MILLISECONDS);
    }
    // Stops of cancelled jobs may still be in flight.
    await pause(2 * POLL_MILLISECONDS);
  }

  private async stop(): Promise<void> {
    await Promise.all(this.daemons.map(daemon => daemon.end('SIGKILL')));
    for (const proxy of this.proxies) proxy.stop();
    await this.callers.stop();
    this.platform.stop();
  }

  private awaitBeforeCheck(work: Promise<void>): void {
    this.pending.push(work);
  }

  private pick<Item>(items: readonly Item[]): Item {
    return items[this.random.nextInteger(items.length)];
  }
}

function hashOf(text: string): number {
  let hash = 7;
  for (const character of text)
    hash = (hash * 31 + character.charCodeAt(0)) % 1_000_003;
  return hash;
}

const OCTETS = 256;

/**
 * Returns the loopback address of a daemon, which differs between soaks. All daemons use the same
 * metrics port, so with equal addresses two soaks on one machine could not run at the same time.
 */
function loopbackHost(soak: number, index: number): string {
  const high = 1 + (Math.floor(soak / OCTETS) % (OCTETS - 2));
  return `127.${high}.${soak % OCTETS}.${index + 1}`;
}

async function freePort(host: string): Promise<number> {
  const server = createServer();
  await new Promise<void>(resolve => {
    server.listen(0, host, resolve);
  });
  const {port} = server.address() as AddressInfo;
  await new Promise(resolve => {
    server.close(resolve);
  });
  return port;
}
