import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {SystemClock, sleep} from '@gentiandoor/kernel';
import {request} from 'undici';
import {runClosedLoop, type LoadResult} from '../load/closed-loop.js';
import type {BackEndMessage} from '../processes/back-end.js';
import {BenchProcess} from '../processes/child-process.js';
import type {PassThroughMessage} from '../processes/pass-through.js';
import type {
  Scenario,
  ScenarioContext,
  ScenarioResult,
  ScenarioRow,
} from '../scenario.js';

const ROUNDS = 5;
const ROUND_MILLISECONDS = 2000;
const WARM_UP_MILLISECONDS = 1500;
const CONNECTION_COUNTS = [8, 64];
const MEMORY_REQUESTS = 1_000_000;
const MEMORY_SLICES = 10;
/** Growth from the third slice to the last that still passes as flat. */
const FLAT_GROWTH_MEGABYTES = 16;
const MINIMUM_SHARE = 0.85;
const WARM_UP_SLICES = 2;
const MICROSECONDS_PER_MILLISECOND = 1000;

const REQUEST = 'GET /desk/x HTTP/1.1\r\nhost: desk.example\r\n\r\n';
const PROGRAMS = {
  backEnd: fileURLToPath(new URL('../processes/back-end.js', import.meta.url)),
  passThrough: fileURLToPath(
    new URL('../processes/pass-through.js', import.meta.url),
  ),
  daemon: fileURLToPath(
    new URL('../../../daemon/lib/bin/gentiandoor-daemon.js', import.meta.url),
  ),
};

/** The three compared paths to a target, each in separate processes. */
class OverheadProcesses {
  private constructor(
    readonly direct: string,
    readonly passThrough: string,
    readonly daemon: string,
    readonly daemonProcess: BenchProcess,
    private readonly others: readonly BenchProcess[],
    private readonly directory: string,
  ) {}

  static async start(): Promise<OverheadProcesses> {
    const backEnd = await BenchProcess.start(PROGRAMS.backEnd);
    const message = backEnd.message as BackEndMessage;
    const [direct] = message.targetAddresses;
    const passThrough = await BenchProcess.start(PROGRAMS.passThrough, [
      direct,
    ]);
    const directory = mkdtempSync(join(tmpdir(), 'overhead-'));
    const settings = join(directory, 'entry-1.ini');
    writeFileSync(settings, message.settings);
    const daemon = await BenchProcess.start(
      PROGRAMS.daemon,
      ['--settings', settings],
      false,
    );
    await waitUntilReady(message.adminAddress);
    return new OverheadProcesses(
      direct,
      (passThrough.message as PassThroughMessage).address,
      message.callerAddress,
      daemon.process,
      [backEnd.process, passThrough.process],
      directory,
    );
  }

  async stop(): Promise<void> {
    await this.daemonProcess.stop();
    for (const other of this.others) await other.stop();
    rmSync(this.directory, {recursive: true});
  }
}

const READY_ATTEMPTS = 200;
const READY_STEP_MILLISECONDS = 50;

async function waitUntilReady(adminAddress: string): Promise<void> {
  const clock = new SystemClock();
  for (let attempt = 0; attempt < READY_ATTEMPTS; attempt++) {
    try {
      const response = await request(`http://${adminAddress}/health/ready`);
      await response.body.dump();
      if (response.statusCode === 200) return;
    } catch {
      // The daemon is not listening yet.
    }
    await sleep(clock, READY_STEP_MILLISECONDS);
  }
  throw new Error('expected the daemon to become ready');
}

/** Rounds of one path with one number of connections. */
class ComparedPath {
  readonly rounds: LoadResult[] = [];

  constructor(
    readonly name: string,
    readonly address: string,
    readonly connections: number,
  ) {}

  async run(milliseconds: number): Promise<LoadResult> {
    const {address, connections} = this;
    return runClosedLoop({
      address,
      connections,
      request: REQUEST,
      milliseconds,
    });
  }

  get requestsPerSecond(): number {
    return median(this.rounds.map(round => round.requestsPerSecond));
  }

  row(): ScenarioRow {
    const [first, ...rest] = this.rounds.map(round => round.latencies);
    for (const histogram of rest) first.add(histogram);
    const at = (percentile: number) =>
      first.getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND;
    return {
      label: `${this.name}, ${this.connections} connections`,
      values: {
        requests_per_second: Math.round(this.requestsPerSecond),
        p50_ms: at(50),
        p99_ms: at(99),
        p999_ms: at(99.9),
        failed: this.rounds.reduce((sum, round) => sum + round.failed, 0),
      },
    };
  }
}

async function run({scale}: ScenarioContext): Promise<ScenarioResult> {
  const processes = await OverheadProcesses.start();
  try {
    const rows: ScenarioRow[] = [];
    const checks = [];
    for (const connections of CONNECTION_COUNTS) {
      const compared = await compare(processes, connections, scale);
      rows.push(...compared.rows);
      checks.push(compared.check);
    }
    const memory = await memoryRun(processes, scale);
    return {rows: [...rows, ...memory.rows], checks: [...checks, memory.check]};
  } finally {
    await processes.stop();
  }
}

/**
 * Alternates the rounds of the three paths, so that a noisy neighbour affects all of them alike.
 */
async function compare(
  processes: OverheadProcesses,
  connections: number,
  scale: number,
) {
  const direct = new ComparedPath(
    'target directly',
    processes.direct,
    connections,
  );
  const plain = new ComparedPath(
    'koa and undici',
    processes.passThrough,
    connections,
  );
  const daemon = new ComparedPath('daemon', processes.daemon, connections);
  const paths = [direct, plain, daemon];
  for (const path of paths) await path.run(WARM_UP_MILLISECONDS);
  for (let round = 0; round < ROUNDS; round++) {
    for (const path of paths)
      path.rounds.push(await path.run(ROUND_MILLISECONDS * scale));
  }
  const ratios = daemon.rounds.map(
    (round, index) =>
      round.requestsPerSecond / plain.rounds[index].requestsPerSecond,
  );
  const ratio = median(ratios);
  const rows = paths.map(path => path.row());
  rows.push({
    label: `shares, ${connections} connections`,
    values: {
      daemon_of_plain: ratio,
      daemon_of_plain_least: Math.min(...ratios),
      daemon_of_plain_most: Math.max(...ratios),
      plain_of_direct: plain.requestsPerSecond / direct.requestsPerSecond,
    },
  });
  const check = {
    name: `at least ${MINIMUM_SHARE} of the plain pass-through at ${connections} connections`,
    passed: ratio >= MINIMUM_SHARE,
    detail: `${ratio.toFixed(3)} by the median of ${ROUNDS} pairs of rounds`,
  };
  return {rows, check};
}

async function memoryRun(processes: OverheadProcesses, scale: number) {
  const requests = Math.round((MEMORY_REQUESTS * scale) / MEMORY_SLICES);
  const resident: number[] = [];
  let failed = 0;
  for (let slice = 0; slice < MEMORY_SLICES; slice++) {
    const result = await runClosedLoop({
      address: processes.daemon,
      connections: 64,
      request: REQUEST,
      requests,
    });
    failed += result.failed;
    resident.push(processes.daemonProcess.residentMegabytes);
  }
  const settled = resident.slice(WARM_UP_SLICES);
  const growth = (settled.at(-1) ?? 0) - settled[0];
  const rows = resident.map((megabytes, index) => ({
    label: `memory after ${(index + 1) * requests} requests`,
    values: {resident_megabytes: megabytes},
  }));
  const check = {
    name: `flat memory over ${requests * MEMORY_SLICES} requests`,
    passed: growth <= FLAT_GROWTH_MEGABYTES && failed === 0,
    detail: `${growth.toFixed(1)} MB from the third tenth to the last, ${failed} failed`,
  };
  return {rows, check};
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)];
}

/** Compares the daemon with direct calls to a target and with a plain pass-through proxy. */
export const OVERHEAD: Scenario = {
  name: 'overhead',
  description:
    'one daemon against the target called directly and a plain koa and undici pass-through, in turns; memory over a million requests',
  run,
};
