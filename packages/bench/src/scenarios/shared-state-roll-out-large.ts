import {monitorEventLoopDelay} from 'node:perf_hooks';
import type {Scenario, ScenarioContext, ScenarioResult} from '../scenario.js';
import {
  proportionalSize,
  syntheticBundle,
} from '../capacity/synthetic-bundle.js';
import {StateDeployment} from './shared-state-deployment.js';
import {RollOutBenchmark} from './shared-state-roll-out-benchmark.js';

const VMS = 31_000;
const BUNDLES = 30;
const TARGET_MILLISECONDS = 6000;
const NANOSECONDS_PER_MILLISECOND = 1e6;

/** Only three daemons, because their folds share one thread here, unlike in a deployment. */
const ENTRIES = [
  {name: 'entry-1', dataCentre: 'dc-0'},
  {name: 'entry-2', dataCentre: 'dc-1'},
  {name: 'entry-3', dataCentre: 'dc-2'},
];

async function play(byDelta: boolean, context: ScenarioContext) {
  const deployment = new StateDeployment({
    entries: ENTRIES,
    seed: context.seed,
    hasPeers: true,
    logDelayMilliseconds: 10,
  });
  await deployment.start();
  const {publicKey} = deployment.operator;
  const base = syntheticBundle(proportionalSize(VMS), publicKey, 1);
  const textOf = (version: number) =>
    base
      .replace('version = 1\n', `version = ${version}\n`)
      .replace('base = 0\n', `base = ${version - 1}\n`)
      .replace('slots = 100\n', `slots = ${100 + version}\n`);
  const benchmark = new RollOutBenchmark(deployment, textOf, byDelta);
  const bundles = Math.max(3, Math.round(BUNDLES * context.scale));
  benchmark.prepare(bundles + 1);
  await benchmark.rollOut(deployment.entries[0]);
  benchmark.reset();
  const delay = monitorEventLoopDelay({resolution: 1});
  delay.enable();
  for (let index = 0; index < bundles; index++)
    await benchmark.rollOut(deployment.entries[index % ENTRIES.length]);
  delay.disable();
  await deployment.stop();
  const row = benchmark.row(byDelta ? 'deltas' : 'whole texts (baseline)');
  const stall = delay.max / NANOSECONDS_PER_MILLISECOND;
  return {
    row: {...row, values: {...row.values, longest_stall_ms: stall}},
    p99: benchmark.p99,
  };
}

async function run(context: ScenarioContext): Promise<ScenarioResult> {
  const deltas = await play(true, context);
  const whole = await play(false, context);
  return {
    rows: [deltas.row, whole.row],
    checks: [
      {
        name: `p99 under ${TARGET_MILLISECONDS} ms`,
        passed: deltas.p99 < TARGET_MILLISECONDS,
        detail: `p99 ${deltas.p99} ms by deltas`,
      },
    ],
  };
}

/** Measures the roll-out time and the event loop delay at 31,000 VMs. */
export const rollOutLarge: Scenario = {
  name: 'roll-out-large',
  description:
    'sign-off to in force of small changes to a bundle with 31,000 VMs, by deltas and by whole texts; 3 daemons, operator and log share one event loop',
  run,
};
