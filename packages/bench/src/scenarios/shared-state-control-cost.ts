import {randomUUID} from 'node:crypto';
import {MetricName, sleep} from '@gentiandoor/kernel';
import {RecordKind, StreamName} from '@gentiandoor/shared-state';
import type {Scenario, ScenarioContext, ScenarioResult} from '../scenario.js';
import {
  proportionalSize,
  syntheticBundle,
} from '../capacity/synthetic-bundle.js';
import {
  SWAN_COAST_DAEMONS,
  StateDeployment,
} from './shared-state-deployment.js';
import {RollOutBenchmark} from './shared-state-roll-out-benchmark.js';
import {TcpByteCounter} from './tcp-byte-counter.js';

const REST_MILLISECONDS = 30_000;
const USE_MILLISECONDS = 15_000;
const RECORDS_A_TICK = 10;
const TICK_MILLISECONDS = 100;
const TODAY = {...proportionalSize(40), pools: 5, teams: 5};
const MAXIMUM_BYTES_A_SECOND = 1000;
const MAXIMUM_CORE_SHARE = 0.01;
const BURST = 200;

interface Cost {
  readonly [name: string]: number;
}

/** Measures all daemons together during `work` and returns the average for one of them. */
async function measureCost(
  deployment: StateDeployment,
  traffic: TcpByteCounter,
  work: () => Promise<void>,
): Promise<Cost> {
  const daemons = deployment.entries.length;
  const appends = deployment.log.appends;
  const reads = readsOf(deployment);
  const bytes = traffic.bytes;
  const processor = process.cpuUsage();
  const from = performance.now();
  await work();
  const seconds = (performance.now() - from) / 1000;
  const used = process.cpuUsage(processor);
  const perDaemonAndSecond = (value: number) => value / seconds / daemons;
  return {
    appends_a_second: perDaemonAndSecond(deployment.log.appends - appends),
    reads_a_second: perDaemonAndSecond(readsOf(deployment) - reads),
    bytes_a_second: perDaemonAndSecond(traffic.bytes - bytes),
    core_share: perDaemonAndSecond((used.user + used.system) / 1e6),
  };
}

function readsOf(deployment: StateDeployment): number {
  return deployment.entries.reduce(
    (sum, {metrics}) =>
      sum + metrics.value(MetricName.LogReads, {stream: StreamName.Fleet}),
    0,
  );
}

async function publishSteadily(deployment: StateDeployment): Promise<void> {
  const published: Array<Promise<unknown>> = [];
  const ticks = USE_MILLISECONDS / TICK_MILLISECONDS;
  for (let tick = 0; tick < ticks; tick++) {
    for (let index = 0; index < RECORDS_A_TICK; index++)
      published.push(publishDrain(deployment, index));
    await sleep(deployment.clock, TICK_MILLISECONDS);
  }
  await Promise.all(published);
}

function publishDrain(
  deployment: StateDeployment,
  index: number,
): Promise<unknown> {
  const entry = deployment.entries[index % deployment.entries.length];
  return entry.follower.publish({
    kind: RecordKind.DrainEnded,
    id: randomUUID(),
    writer: 'bench',
    vm: 'r0-1',
  });
}

async function play(hasPeers: boolean, wait: string, context: ScenarioContext) {
  const traffic = new TcpByteCounter();
  traffic.start();
  const deployment = new StateDeployment({
    entries: SWAN_COAST_DAEMONS,
    seed: context.seed,
    hasPeers,
    logDelayMilliseconds: 1,
    settings: {read_wait_milliseconds: wait},
  });
  await deployment.start();
  const {publicKey} = deployment.operator;
  const benchmark = new RollOutBenchmark(
    deployment,
    version => syntheticBundle(TODAY, publicKey, version),
    true,
  );
  await benchmark.rollOut(deployment.entries[0]);
  await sleep(deployment.clock, 3000);
  const rest = await measureCost(deployment, traffic, () =>
    sleep(deployment.clock, REST_MILLISECONDS * context.scale),
  );
  const use = await measureCost(deployment, traffic, () =>
    publishSteadily(deployment),
  );
  const burst = await burstAppends(deployment);
  await deployment.stop();
  traffic.stop();
  return {rest, use, burst};
}

/** Returns the number of appends that one daemon needs for many concurrent records. */
async function burstAppends(deployment: StateDeployment): Promise<number> {
  const before = deployment.log.appends;
  await Promise.all(
    Array.from({length: BURST}, () => publishDrain(deployment, 0)),
  );
  return deployment.log.appends - before;
}

async function run(context: ScenarioContext): Promise<ScenarioResult> {
  const now = await play(true, '5000', context);
  const alone = await play(false, '5000', context);
  const short = await play(true, '200', context);
  const {rest} = now;
  return {
    rows: [
      {label: 'at rest', values: rest},
      {label: 'at rest, no peers', values: alone.rest},
      {label: 'at rest, reads of 200 ms (baseline)', values: short.rest},
      {label: '100 records a second', values: now.use},
      {
        label: `appends of ${BURST} records at once`,
        values: {group_commit: now.burst, one_each: BURST},
      },
    ],
    checks: [
      {
        name: `at rest under ${MAXIMUM_BYTES_A_SECOND} bytes a second`,
        passed: rest.bytes_a_second < MAXIMUM_BYTES_A_SECOND,
        detail: `${Math.round(rest.bytes_a_second)} bytes a second a daemon, log and links`,
      },
      {
        name: `at rest under ${MAXIMUM_CORE_SHARE} of a core`,
        passed: rest.core_share < MAXIMUM_CORE_SHARE,
        detail: `${rest.core_share.toFixed(4)} of a core a daemon, the stand-in's share with it`,
      },
    ],
  };
}

/** Measures the cost of the shared state at a daemon: appends, reads, bytes and processor time. */
export const controlCost: Scenario = {
  name: 'control-cost',
  description:
    'appends, reads, bytes on log and links, and share of a core of one daemon of 7, at rest and with 100 records a second in all',
  run,
};
