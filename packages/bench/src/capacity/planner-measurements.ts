import {RecordKind} from '@gentiandoor/shared-state';
import {largeDeployment} from '@gentiandoor/stand-ins';
import {FleetSimulator} from '../scenarios/fleet-simulator.js';
import {MeasuredLine} from './measured-line.js';
import {
  Unit,
  retainedHeapBytes,
  memoizeBySize,
  type Measurement,
} from './measurement.js';
import {PER_VM, VM_SIZES} from './state-measurements.js';
import {proportionalSize} from './synthetic-bundle.js';

const ROUNDS = 60;
const WAVE_ROUNDS = 300;
const ROUND_MILLISECONDS = 1000;

const plannerAt = memoizeBySize((vms: number) => {
  const {pools} = proportionalSize(vms);
  const driver = new FleetSimulator(largeDeployment(vms, pools));
  roundsOf(driver, 1);
  const resting = roundsOf(driver, ROUNDS);
  driver.write({
    kind: RecordKind.WaveStarted,
    wave: 'wave-1',
    reason: 'kernel update',
    scope: {},
  });
  const inWave = roundsOf(driver, WAVE_ROUNDS);
  return {resting, inWave};
});

/** Mean milliseconds of planning in a round, records and fold included. */
function roundsOf(driver: FleetSimulator, rounds: number): number {
  const before = driver.totals.planningMilliseconds;
  for (let round = 0; round < rounds; round++) driver.step(ROUND_MILLISECONDS);
  return (driver.totals.planningMilliseconds - before) / rounds;
}

function memoryOf(vms: number): number {
  const {pools} = proportionalSize(vms);
  return retainedHeapBytes(() => {
    const driver = new FleetSimulator(largeDeployment(vms, pools));
    roundsOf(driver, 2);
    return driver;
  });
}

/** Slopes of the daemon that plans. */
export const PLANNER_MEASUREMENTS: readonly Measurement[] = [
  {
    name: MeasuredLine.PlannerMemory,
    unit: Unit.Bytes,
    per: PER_VM,
    sizes: VM_SIZES,
    measure: memoryOf,
  },
  {
    name: MeasuredLine.PlannerRound,
    unit: Unit.Milliseconds,
    per: PER_VM,
    sizes: VM_SIZES,
    measure: vms => plannerAt(vms).resting,
  },
  {
    name: MeasuredLine.PlannerWaveRound,
    unit: Unit.Milliseconds,
    per: PER_VM,
    sizes: VM_SIZES,
    measure: vms => plannerAt(vms).inWave,
  },
];
