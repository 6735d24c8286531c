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

const measurePlanner = memoizeBySize((vms: number) => {
  const {pools} = proportionalSize(vms);
  const simulator = new FleetSimulator(largeDeployment(vms, pools));
  timeRounds(simulator, 1);
  const resting = timeRounds(simulator, ROUNDS);
  simulator.write({
    kind: RecordKind.WaveStarted,
    wave: 'wave-1',
    reason: 'kernel update',
    scope: {},
  });
  const inWave = timeRounds(simulator, WAVE_ROUNDS);
  return {resting, inWave};
});

/** Returns the mean planning milliseconds per round, including records and fold. */
function timeRounds(simulator: FleetSimulator, rounds: number): number {
  const before = simulator.totals.planningMilliseconds;
  for (let round = 0; round < rounds; round++)
    simulator.step(ROUND_MILLISECONDS);
  return (simulator.totals.planningMilliseconds - before) / rounds;
}

function memoryBytes(vms: number): number {
  const {pools} = proportionalSize(vms);
  return retainedHeapBytes(() => {
    const simulator = new FleetSimulator(largeDeployment(vms, pools));
    timeRounds(simulator, 2);
    return simulator;
  });
}

/** Measurements of the planning daemon. */
export const PLANNER_MEASUREMENTS: readonly Measurement[] = [
  {
    name: MeasuredLine.PlannerMemory,
    unit: Unit.Bytes,
    per: PER_VM,
    sizes: VM_SIZES,
    measure: memoryBytes,
  },
  {
    name: MeasuredLine.PlannerRound,
    unit: Unit.Milliseconds,
    per: PER_VM,
    sizes: VM_SIZES,
    measure: vms => measurePlanner(vms).resting,
  },
  {
    name: MeasuredLine.PlannerWaveRound,
    unit: Unit.Milliseconds,
    per: PER_VM,
    sizes: VM_SIZES,
    measure: vms => measurePlanner(vms).inWave,
  },
];
