import assert from 'node:assert/strict';
import {
  mkdtempSync,
  readFileSync,
  readdirSync,
  readlinkSync,
  rmSync,
} from 'node:fs';
import {createServer, type AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import type {TestContext} from 'node:test';
import {fileURLToPath} from 'node:url';
import {RunEnd} from '@gentiandoor/jobs';
import {
  QUEUE_HOST,
  StandInPlatform,
  standInSettings,
} from '@gentiandoor/platform/stand-ins';
import {request} from 'undici';
import {DaemonProcess} from '../../daemon-process.js';
import {pause} from '../../soak-callers.js';
import {Crowd, type CrowdOptions} from './crowd.js';

/** Limits of the VM as the settings of the daemon state them. */
export interface VmLimits {
  readonly memoryMegabytes: number;
  readonly descriptors: number;
}

/** Servers of a daemon that a crowd can reach. */
export enum CrowdedServer {
  Callers = 'callers',
  Readiness = 'readiness',
  Metrics = 'metrics',
}

const DEPLOY_FILE = fileURLToPath(
  new URL('../../../../../deploy/system.toml', import.meta.url),
);
const METRICS_PORT = 9_464;
const FILE_DESCRIPTORS = 200;
const BYTES_PER_MEGABYTE = 1e6;
const BYTES_PER_KILOBYTE = 1_024;
const MAXIMUM_BODY_BYTES = 262_144;
const CAPACITY = {
  processorMillicores: 64_000,
  memoryMegabytes: 64_000,
  accelerators: 0,
};
const TASK_MILLISECONDS = 50;
const CALL_MILLISECONDS = 3_000;
const RETRY_MILLISECONDS = 250;
const MAXIMUM_ATTEMPTS = 60;
const SAMPLE_MILLISECONDS = 100;

/** Answers to the question for a job's state. */
export const COMPLETED = /"completed"/;
export const ANY_STATE = /"state"/;

/** Queue that all callers use. */
export const QUEUE_PATH = '/previews/';

/** Returns the options of Node.js that the deploy file starts a daemon with. */
function deployedNodeOptions(): string[] {
  const command = /^run = "node (.*)"$/m.exec(
    readFileSync(DEPLOY_FILE, 'utf8'),
  )?.[1];
  assert.ok(command, 'the deploy file starts no daemon');
  return command.split(' ').slice(0, -1);
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

/** A daemon in a process of its own, on a stand-in of the platform, with the limits of its VM. */
export class CrowdedDaemon {
  readonly platform = new StandInPlatform({
    services: ['previews'],
    standbyService: 'spare',
    workersPerService: 1,
    capacity: CAPACITY,
    maximumBodyBytes: MAXIMUM_BODY_BYTES,
    behaviourOf: () => ({
      durationMilliseconds: TASK_MILLISECONDS,
      end: RunEnd.Done,
      resources: {...CAPACITY, processorMillicores: 100},
    }),
  });
  private readonly folder = mkdtempSync(join(tmpdir(), 'crowd-'));
  /** Not the address of other daemons on this machine, which use the same metrics port. */
  private readonly host = `127.200.${process.pid % 256}.1`;
  private readonly addresses = new Map<CrowdedServer, string>();
  private process!: DaemonProcess;
  private processId: number | undefined;
  private sampler: NodeJS.Timeout | undefined;
  private mostDescriptors = 0;
  private mostSockets = 0;
  private mostMegabytes = 0;
  private lastJob = 0;

  private constructor(private readonly limits: VmLimits) {}

  static async start(limits: VmLimits): Promise<CrowdedDaemon> {
    const daemon = new CrowdedDaemon(limits);
    await daemon.platform.start();
    await daemon.startProcess();
    await daemon.serveOrdinaryCaller(COMPLETED);
    daemon.sampler = setInterval(() => daemon.sample(), SAMPLE_MILLISECONDS);
    return daemon;
  }

  /** Lets a crowd do its worst; its connections stay open. */
  async meet(server: CrowdedServer, options: CrowdOptions): Promise<Crowd> {
    const crowd = new Crowd(this.addresses.get(server) ?? '', options);
    await crowd.atRest(() => !this.process.isRunning);
    return crowd;
  }

  /**
   * Checks the promises to everyone else, once before and once after the crowd leaves; an ordinary
   * caller has to see `state` of its job.
   */
  async assertUnharmed(crowd: Crowd, state: RegExp): Promise<void> {
    try {
      await this.serveOrdinaryCaller(state);
      this.assertWithinLimits();
    } finally {
      crowd.close();
    }
    await this.serveOrdinaryCaller(state);
    this.assertWithinLimits();
  }

  async stop(): Promise<void> {
    clearInterval(this.sampler);
    await this.process.end('SIGKILL');
    this.platform.stop();
    rmSync(this.folder, {recursive: true});
  }

  private async startProcess(): Promise<void> {
    const {host} = this;
    const callers = `${host}:${await freePort(host)}`;
    const readiness = `${host}:${await freePort(host)}`;
    this.addresses.set(CrowdedServer.Callers, callers);
    this.addresses.set(CrowdedServer.Readiness, readiness);
    this.addresses.set(CrowdedServer.Metrics, `${host}:${METRICS_PORT}`);
    const settings = {
      ...standInSettings(this.platform, 'one', {callers: 0, readiness: 0}),
      listen: {front: callers, ready: readiness},
      limits: {
        memory_mb: this.limits.memoryMegabytes,
        max_fds: this.limits.descriptors,
      },
    };
    this.process = new DaemonProcess(
      'one',
      callers,
      join(this.folder, 'one.json'),
      settings,
      join(this.folder, 'one.log'),
      deployedNodeOptions(),
    );
    this.process.start();
    this.processId = this.process.processId;
  }

  /** Submits a job like an ordinary caller, waits for its state, and asks the other servers. */
  private async serveOrdinaryCaller(state: RegExp): Promise<void> {
    const path = `${QUEUE_PATH}${(++this.lastJob).toString(16).padStart(16, 'f')}`;
    const body = JSON.stringify({spec: 'text', steps: [{count: 1, cpu: 100}]});
    await this.awaitAnswer(CrowdedServer.Callers, 'POST', path, /./, body);
    await this.awaitAnswer(CrowdedServer.Callers, 'GET', path, state);
    await this.awaitAnswer(CrowdedServer.Readiness, 'GET', '/ready', /^$/);
    await this.awaitAnswer(CrowdedServer.Metrics, 'GET', '/metrics', /./);
  }

  /** Repeats a call on new connections until it is answered with 200 as expected. */
  private async awaitAnswer(
    server: CrowdedServer,
    method: 'POST' | 'GET',
    path: string,
    expected: RegExp,
    body?: string,
  ): Promise<void> {
    let last = '';
    for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt++) {
      if (!this.process.isRunning) assert.fail('the process has ended');
      try {
        const response = await request(
          `http://${this.addresses.get(server)}${path}`,
          {
            method,
            body,
            reset: true,
            headers: {
              host: QUEUE_HOST,
              'x-deadline-ms': String(CALL_MILLISECONDS),
            },
            signal: AbortSignal.timeout(CALL_MILLISECONDS),
          },
        );
        last = await response.body.text();
        if (response.statusCode === 200 && expected.test(last)) return;
        last = `${response.statusCode} ${last}`;
      } catch (error) {
        // Ordinary callers send a call again that got no answer.
        last = String(error);
      }
      await pause(RETRY_MILLISECONDS);
    }
    assert.fail(`no answer to ${method} ${path} of ${server}: ${last}`);
  }

  private sample(): void {
    const folder = `/proc/${this.processId}/fd`;
    try {
      const descriptors = readdirSync(folder);
      const sockets = descriptors.filter(name => isSocket(join(folder, name)));
      this.mostDescriptors = Math.max(this.mostDescriptors, descriptors.length);
      this.mostSockets = Math.max(this.mostSockets, sockets.length);
      this.mostMegabytes = this.peakMegabytes();
    } catch {
      // The process has ended, which is checked elsewhere.
    }
  }

  /** The largest use of memory and descriptors so far. */
  get figures(): string {
    return `peak ${this.mostMegabytes.toFixed(0)} MB, ${this.mostDescriptors} descriptors, ${this.mostSockets} sockets`;
  }

  private assertWithinLimits(): void {
    this.sample();
    const {figures} = this;
    const {memoryMegabytes, descriptors} = this.limits;
    assert.equal(this.process.ownEnds, 0, `the process has ended; ${figures}`);
    assert.equal(this.process.processId, this.processId);
    assert.ok(this.mostMegabytes <= memoryMegabytes, figures);
    assert.ok(this.mostDescriptors <= descriptors, figures);
    assert.ok(this.mostSockets <= descriptors - FILE_DESCRIPTORS, figures);
  }

  /** Returns the largest resident memory that the process has had; throws if it has ended. */
  private peakMegabytes(): number {
    const status = readFileSync(`/proc/${this.processId}/status`, 'utf8');
    const kilobytes = Number(/VmHWM:\s+(\d+) kB/.exec(status)?.[1]);
    if (Number.isNaN(kilobytes)) throw new Error('the process has ended');
    return (kilobytes * BYTES_PER_KILOBYTE) / BYTES_PER_MEGABYTE;
  }
}

function isSocket(path: string): boolean {
  try {
    return readlinkSync(path).startsWith('socket:');
  } catch {
    // Closed in the meantime.
    return false;
  }
}

/** A crowd at one server of a daemon with the limits of its VM. */
export interface CrowdedCase extends CrowdOptions {
  readonly server: CrowdedServer;
  readonly limits: VmLimits;
  /** State that an ordinary caller has to see of its job; any by default. */
  readonly state?: RegExp;
}

/** Trouble of the platform while the crowd comes, which is over before others are served. */
export interface PlatformTrouble {
  before(platform: StandInPlatform): void;
  after(platform: StandInPlatform): void;
}

const NO_TROUBLE: PlatformTrouble = {
  before: () => undefined,
  after: () => undefined,
};

/** Checks that a daemon lives within its limits and serves others beside a crowd. */
export async function assertServesBeside(
  context: TestContext,
  options: CrowdedCase,
  trouble: PlatformTrouble = NO_TROUBLE,
): Promise<void> {
  const daemon = await CrowdedDaemon.start(options.limits);
  try {
    trouble.before(daemon.platform);
    const crowd = await daemon.meet(options.server, options);
    trouble.after(daemon.platform);
    await daemon.assertUnharmed(crowd, options.state ?? ANY_STATE);
  } finally {
    context.diagnostic(daemon.figures);
    await daemon.stop();
  }
}
