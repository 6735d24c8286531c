import {
  MoveCause,
  RecordKind,
  PlannedWorkKind,
} from '@gentiandoor/shared-state';
import {largeDeployment} from '@gentiandoor/stand-ins';
import type {Scenario, ScenarioRow} from '../scenario.js';
import {FleetSimulator} from './fleet-simulator.js';

const SIZES = [
  {vms: 1000, pools: 10},
  {vms: 8000, pools: 62},
  {vms: 31_000, pools: 239},
];
const ROUNDS = 60;
const ROUND_MILLISECONDS = 1000;
const MEGABYTE = 1024 * 1024;
/** Limit of 3.2% of a core at one round per second. */
const ROUND_LIMIT_MILLISECONDS = 32;

function heap(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed / MEGABYTE;
}

function measure(vms: number, pools: number): ScenarioRow {
  const before = heap();
  const started = performance.now();
  const simulator = new FleetSimulator(largeDeployment(vms, pools));
  const built = performance.now() - started;
  const stateMegabytes = heap() - before;
  const first = timeRounds(simulator, 1);
  const resting = timeRounds(simulator, ROUNDS);
  simulator.write({
    kind: RecordKind.WaveStarted,
    wave: 'wave-1',
    reason: 'kernel update',
    scope: {},
  });
  const waveStart = timeRounds(simulator, 1);
  const inWave = timeRounds(simulator, ROUNDS * 10);
  const maintained = [...simulator.state.work.values()].filter(
    work => work.kind === PlannedWorkKind.Maintenance,
  ).length;
  return {
    label: `${vms} VMs, ${pools} pools`,
    values: {
      state_megabytes: round(stateMegabytes),
      total_megabytes: round(heap() - before),
      build_milliseconds: round(built),
      first_round_milliseconds: round(first),
      resting_round_milliseconds: round(resting),
      wave_start_milliseconds: round(waveStart),
      wave_round_milliseconds: round(inWave),
      in_maintenance: maintained,
      move_fold_microseconds: round(timeMoves(simulator)),
      violations: simulator.totals.violations,
    },
  };
}

/** Returns the mean planning milliseconds per round, including records and fold. */
function timeRounds(simulator: FleetSimulator, rounds: number): number {
  const before = simulator.totals.planningMilliseconds;
  for (let n = 0; n < rounds; n++) simulator.step(ROUND_MILLISECONDS);
  return (simulator.totals.planningMilliseconds - before) / rounds;
}

/** Returns the mean microseconds to fold a record that starts or aborts a move. */
function timeMoves(simulator: FleetSimulator): number {
  const vms = [...simulator.state.vms.values()].slice(0, 500);
  const pools = Object.keys(simulator.state.inForce?.bundle.pools ?? {});
  const started = performance.now();
  for (const {id, epoch} of vms) {
    simulator.write({
      kind: RecordKind.MoveStarted,
      vm: id,
      epoch,
      toPool: pools.at(-1),
      cause: MoveCause.Operator,
      reason: 'measured',
    });
    const startedAt = simulator.state.work.get(id)?.startedAt ?? 0;
    const reason = 'measured';
    simulator.write({kind: RecordKind.MoveAborted, vm: id, startedAt, reason});
  }
  return ((performance.now() - started) * 1000) / (2 * vms.length);
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}

/** Measures the time and memory of planning by fleet size. */
export const FLEET_SCALE: Scenario = {
  name: 'fleet-scale',
  description:
    'one planning round and its memory up to 31,000 VMs and 239 pools (node --expose-gc for steady memory)',
  async run() {
    const rows = SIZES.map(({vms, pools}) => measure(vms, pools));
    const largest = rows[rows.length - 1].values;
    return {
      rows,
      checks: [
        {
          name: 'a resting round within 3.2% of a core at one round a second',
          passed:
            largest.resting_round_milliseconds <= ROUND_LIMIT_MILLISECONDS,
          detail: `${largest.resting_round_milliseconds} ms`,
        },
        {
          name: 'no planned stop broke a budget',
          passed: rows.every(row => row.values.violations === 0),
          detail: rows.map(row => row.values.violations).join(', '),
        },
      ],
    };
  },
};
