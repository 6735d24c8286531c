import {mkdirSync, readFileSync} from 'node:fs';
import {createServer, type AddressInfo} from 'node:net';
import {join} from 'node:path';
import type {TaskBehaviour} from '@gentiandoor/coordinator/stand-ins';
import {RunEnd} from '@gentiandoor/jobs';
import {LogEvent, SeededRandom} from '@gentiandoor/kernel';
import {
  StandInPlatform,
  standInSettings,
} from '@gentiandoor/platform/stand-ins';
import {CancellingCallers, lasting} from './cancelling-callers.js';
import {DaemonProcess} from './daemon-process.js';
import {FaultProxy} from './fault-proxy.js';
import {
  SoakCallers,
  isLongRunning,
  pause,
  type ObservedJob,
} from './soak-callers.js';
import {OddElements} from './odd-elements.js';
import {SoakFaults} from './soak-faults.js';
import {SMALL_PROFILE, type SoakProfile} from './soak-profile.js';
import {guaranteeViolations} from './guarantee-violations.js';
import {workLeftWaiting} from './work-left-waiting.js';
import {behaviourOfTask, type SoakRequest} from './workload.js';

/** Parameters of one soak run. */
export interface SoakOptions {
  readonly seed: number;
  readonly daemons: number;
  readonly rounds: number;
  /** Folder of the daemons' settings and logs. */
  readonly folder: string;
  /** Size and load; a small deployment by default. */
  readonly profile?: SoakProfile;
  /** Whether callers cancel jobs before the answer and after they have left. */
  readonly hasCancelling?: boolean;
}

/** Outcome of a soak run. */
export interface SoakResult {
  readonly violations: readonly string[];
  readonly jobs: number;
  readonly runs: number;
  readonly faults: readonly string[];
}

const MAXIMUM_PAUSE_MILLISECONDS = 1_200;
const MINIMUM_PAUSE_MILLISECONDS = 150;
/** Covers the longest lease and the jobs that wait for it. */
const RECOVERY_MILLISECONDS = 25_000;
const POLL_MILLISECONDS = 500;
/** On a worker that fails all tasks, each does so after this time. */
const FAILURE_MILLISECONDS = 20;
/** Covers a start at its latest after a cancellation, and its stop. */
const STOPPED_MILLISECONDS = 6_000;
const STANDBY_SERVICE = 'spare';
/** Part of a log line that reports work that no event had announced. */
const OVERLOOKED = `"event":${LogEvent.WorkOverlooked}`;

/**
 * Injects faults into real daemons, heals them, waits for jobs to end, and checks what callers
 * and workers observed.
 */
export class Soak {
  private readonly random: SeededRandom;
  private readonly profile: SoakProfile;
  private readonly platform: StandInPlatform;
  private readonly daemons: DaemonProcess[] = [];
  private readonly proxies: FaultProxy[] = [];
  private readonly failingWorkers = new Set<string>();
  private readonly callers: SoakCallers;
  private readonly faults: SoakFaults;
  private readonly cancelling: CancellingCallers | undefined;
  private readonly pending: Array<Promise<void>> = [];
  private readonly jobs = new Map<string, ObservedJob>();

  constructor(private readonly options: SoakOptions) {
    this.random = new SeededRandom(options.seed);
    this.profile = options.profile ?? SMALL_PROFILE;
    this.platform = new StandInPlatform({
      services: this.profile.services,
      standbyService: STANDBY_SERVICE,
      workersPerService: this.profile.workersPerService,
      capacity: this.profile.workerCapacity,
      reportsStart: this.profile.reportsStart,
      behaviourOf: (task, worker) => this.behaviourOf(task, worker),
    });
    this.callers = new SoakCallers(
      () => this.daemons[this.random.nextInteger(this.daemons.length)].callers,
    );
    if (options.hasCancelling)
      this.cancelling = new CancellingCallers(
        this.callers,
        new SeededRandom(options.seed),
      );
    const {platform, daemons, proxies, failingWorkers, random} = this;
    this.faults = new SoakFaults(
      {platform, daemons, proxies, failingWorkers, random},
      this.profile.hasFleetFaults,
      this.profile.hasOddElements
        ? new OddElements(platform, this.profile.services, random)
        : undefined,
    );
  }

  async play(): Promise<SoakResult> {
    mkdirSync(this.options.folder, {recursive: true});
    await this.platform.start();
    for (let index = 0; index < this.options.daemons; index++)
      await this.addDaemon(index);
    await Promise.all(
      this.daemons.map(({callers}) => this.callers.awaitAnswer(callers)),
    );
    await pause(2 * MAXIMUM_PAUSE_MILLISECONDS);
    await this.playRounds();
    this.faults.heal();
    await this.settle();
    const left = await this.workLeftWaiting();
    await this.waitForJobEnds();
    const runs = this.platform.startedRuns();
    const violations = guaranteeViolations(this.callers.jobs, runs);
    await this.stop();
    return {
      violations: [
        ...left,
        ...violations,
        ...this.overlookedWork(),
        ...this.ownEnds(),
      ],
      jobs: this.callers.jobs.length,
      runs: runs.length,
      faults: this.faults.log,
    };
  }

  private async playRounds(): Promise<void> {
    const workload = this.profile.newWorkload(this.random);
    const startedAt = performance.now();
    for (let round = 0; round < this.options.rounds; round++) {
      const elapsed = performance.now() - startedAt;
      for (const request of workload.requestsOf(round, elapsed))
        this.submit(request);
      this.faults.inject(round);
      if (this.cancelling) this.faults.delaySubmissions(round);
      await pause(
        MINIMUM_PAUSE_MILLISECONDS +
          this.random.nextInteger(MAXIMUM_PAUSE_MILLISECONDS),
      );
    }
  }

  /** Waits for calls and restarts in progress, after which all daemons are to run. */
  private async settle(): Promise<void> {
    await Promise.all([...this.pending, ...this.faults.pending]);
    this.faults.heal();
  }

  /** Leaves the deployment without a call for a while; returns the work that waits all the same. */
  private async workLeftWaiting(): Promise<string[]> {
    const {quietMilliseconds} = this.profile;
    if (quietMilliseconds === 0) return [];
    return workLeftWaiting(
      {
        jobs: this.callers.jobs,
        liveWorkers: () => this.platform.liveWorkers(),
        startedRuns: () => this.platform.startedRuns(),
      },
      quietMilliseconds,
    );
  }

  /** Returns the daemons that have ended without being told to. */
  private ownEnds(): string[] {
    return this.daemons.flatMap(({node, ownEnds}) =>
      ownEnds > 0
        ? [`FAULT: ${node} has ended by itself ${ownEnds} times`]
        : [],
    );
  }

  /** Returns the log lines about work that a wake-up would have started sooner. */
  private overlookedWork(): string[] {
    return this.daemons.flatMap(({node, logPath}) =>
      readFileSync(logPath, 'utf8')
        .split('\n')
        .filter(line => line.includes(OVERLOOKED))
        .map(line => `${node}: ${line}`),
    );
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

  private submit(request: SoakRequest): void {
    const isCancelled = this.cancelling?.picksNext() ?? false;
    const {service, steps} = isCancelled ? lasting(request) : request;
    const job: ObservedJob = {
      id: (this.jobs.size + 1).toString(16).padStart(16, '0'),
      service,
      steps,
      statuses: [],
      unanswered: 0,
      cancelledAt: undefined,
      cancelTried: false,
      state: undefined,
    };
    this.jobs.set(job.id, job);
    if (this.cancelling && isCancelled) {
      this.pending.push(this.cancelling.play(job));
      return;
    }
    const cancels = this.random.nextInteger(8) === 0 && !isLongRunning(job);
    this.pending.push(
      this.callers
        .submit(job)
        .then(() => (cancels ? this.callers.cancel(job) : undefined)),
    );
  }

  private behaviourOf(task: string, worker: string): TaskBehaviour {
    const [id, , step] = task.split('.');
    const job = this.jobs.get(id);
    if (!job) throw new Error(`job ${id} was not submitted`);
    const behaviour = behaviourOfTask(job.steps[Number(step)], task);
    if (!this.failingWorkers.has(worker)) return behaviour;
    return {
      ...behaviour,
      durationMilliseconds: FAILURE_MILLISECONDS,
      end: RunEnd.Failed,
    };
  }

  private async waitForJobEnds(): Promise<void> {
    const until = performance.now() + RECOVERY_MILLISECONDS;
    while (performance.now() < until) {
      const open = this.callers.jobs.filter(
        job =>
          job.statuses.includes(200) &&
          !(job.cancelledAt !== undefined && job.state === 'absent') &&
          !['completed', 'cancelled', 'failed'].includes(job.state ?? '') &&
          !(isLongRunning(job) && job.state === 'running'),
      );
      if (open.length === 0) break;
      await Promise.all(open.map(job => this.callers.queryState(job)));
      await pause(POLL_MILLISECONDS);
    }
    // Stops of cancelled jobs may still be in flight.
    await pause(this.cancelling ? STOPPED_MILLISECONDS : 2 * POLL_MILLISECONDS);
  }

  private async stop(): Promise<void> {
    await Promise.all(this.daemons.map(daemon => daemon.end('SIGKILL')));
    for (const proxy of this.proxies) proxy.stop();
    await this.callers.stop();
    this.platform.stop();
  }
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
