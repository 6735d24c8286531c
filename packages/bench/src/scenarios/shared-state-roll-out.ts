import {LogConnectionFault} from '@gentiandoor/stand-ins';
import type {
  Scenario,
  ScenarioContext,
  ScenarioResult,
  ScenarioRow,
} from '../scenario.js';
import {
  proportionalSize,
  syntheticBundle,
} from '../capacity/synthetic-bundle.js';
import {
  SWAN_COAST_DAEMONS,
  StateDeployment,
  type StateDeploymentOptions,
} from './shared-state-deployment.js';
import {RollOutBenchmark} from './shared-state-roll-out-benchmark.js';

const BUNDLES = 300;
const FEW_BUNDLES = 20;
const TARGET_MILLISECONDS = 2000;
const TODAY = {...proportionalSize(40), pools: 5, teams: 5};

interface Trial {
  readonly label: string;
  readonly bundles: number;
  readonly options: Partial<StateDeploymentOptions>;
  /** Partitions the data centre mandurah from the log. */
  readonly isCut?: boolean;
  /** Whether the trial is checked against the target of two seconds. */
  readonly isAimed?: boolean;
  readonly limitMilliseconds?: number;
}

const TRIALS: readonly Trial[] = [
  {label: 'log healthy', bundles: BUNDLES, options: {}, isAimed: true},
  {
    label: 'log healthy, no peers',
    bundles: FEW_BUNDLES,
    options: {hasPeers: false},
  },
  {
    label: 'log healthy, polled each second (baseline)',
    bundles: FEW_BUNDLES,
    options: {hasPeers: false, pollMilliseconds: 1000},
  },
  {
    label: 'log slow: 250 ms each way',
    bundles: BUNDLES / 3,
    options: {logDelayMilliseconds: 250},
  },
  {
    label: 'one data centre cut off from the log',
    bundles: BUNDLES / 3,
    options: {},
    isCut: true,
  },
  {
    label: 'one data centre cut off, no peers (baseline)',
    bundles: 3,
    options: {hasPeers: false},
    isCut: true,
    limitMilliseconds: 3000,
  },
];

async function play(
  trial: Trial,
  context: ScenarioContext,
): Promise<{row: ScenarioRow; benchmark: RollOutBenchmark}> {
  const deployment = new StateDeployment({
    entries: SWAN_COAST_DAEMONS,
    seed: context.seed,
    hasPeers: true,
    logDelayMilliseconds: 1,
    ...trial.options,
  });
  await deployment.start();
  const {publicKey} = deployment.operator;
  const benchmark = new RollOutBenchmark(
    deployment,
    version => syntheticBundle(TODAY, publicKey, version),
    true,
  );
  const [first] = deployment.entries;
  if (trial.isCut) {
    await benchmark.rollOut(first);
    deployment.entries.at(-1)?.log.faults.add(LogConnectionFault.Cut);
  }
  const bundles = Math.max(3, Math.round(trial.bundles * context.scale));
  benchmark.prepare(bundles);
  for (let index = 0; index < bundles; index++)
    await benchmark.rollOut(
      deployment.entries[index % (deployment.entries.length - 1)],
      trial.limitMilliseconds,
    );
  await deployment.stop();
  return {row: benchmark.row(trial.label), benchmark};
}

async function run(context: ScenarioContext): Promise<ScenarioResult> {
  const rows: ScenarioRow[] = [];
  const checks = [];
  for (const trial of TRIALS) {
    const {row, benchmark} = await play(trial, context);
    rows.push(row);
    if (!trial.isAimed) continue;
    checks.push({
      name: `${trial.label}: p99 under ${TARGET_MILLISECONDS} ms`,
      passed:
        benchmark.p99 < TARGET_MILLISECONDS && benchmark.missedCount === 0,
      detail: `p99 ${benchmark.p99} ms, ${benchmark.missedCount} missed`,
    });
  }
  return {rows, checks};
}

/** Measures the time from sign-off until a bundle is in force at all seven daemons. */
export const rollOut: Scenario = {
  name: 'roll-out',
  description:
    'sign-off to in force at all 7 daemons of Swan Coast, log healthy, slow, one data centre cut off from it; against polling and against no peers',
  run,
};
