import {
  FleetPlanner,
  GreedyRebalancer,
  Rebalancer,
  type PlanningStage,
} from '@gentiandoor/fleet';
import {SeededRandom} from '@gentiandoor/kernel';
import {
  SWAN_COAST,
  exampleVms,
  type ExampleDeployment,
} from '@gentiandoor/stand-ins';
import type {Scenario, ScenarioRow} from '../scenario.js';
import {FleetSimulator} from './fleet-simulator.js';

const STEP_MILLISECONDS = 10_000;
const MINUTE_MILLISECONDS = 60_000;
const HOUR_MILLISECONDS = 3_600_000;
const HOURS = 24;
/** Absences per VM and day, each of 1 to 20 minutes: six times the expected rate of restarts. */
const ABSENCES_PER_VM_DAY = 2;
const STEPS_A_DAY = 86_400_000 / STEP_MILLISECONDS;
/** VMs of one pool that are absent for hours, so that lending a VM to it is worth the move. */
const LONG_ABSENCES = ['eligibility-1', 'eligibility-2'];

const WEIGHTS = [
  {label: 'buffer weighs 4', buffer: 4, move: 1},
  {label: 'equal', buffer: 1, move: 1},
  {label: 'moves weigh 4', buffer: 1, move: 4},
];

/** Returns the planner's stages with another rebalancer, or without one. */
function stagesWith(other?: PlanningStage): PlanningStage[] {
  return new FleetPlanner().stages.flatMap(stage =>
    stage instanceof Rebalancer ? (other ?? []) : stage,
  );
}

function play(
  deployment: ExampleDeployment,
  seed: number,
  stages: readonly PlanningStage[] = new FleetPlanner().stages,
): FleetSimulator {
  const simulator = new FleetSimulator(deployment, stages);
  const random = new SeededRandom(seed);
  const vms = exampleVms(deployment);
  const steps = (HOURS * HOUR_MILLISECONDS) / STEP_MILLISECONDS;
  for (let step = 0; step < steps; step++) {
    if (step === steps / 4)
      for (const vm of LONG_ABSENCES) simulator.fail(vm, 6 * HOUR_MILLISECONDS);
    for (const {id} of vms) {
      if (random.nextFraction() * STEPS_A_DAY >= ABSENCES_PER_VM_DAY) continue;
      const minutes = 1 + random.nextInteger(20);
      simulator.fail(id, minutes * MINUTE_MILLISECONDS);
    }
    simulator.step(STEP_MILLISECONDS);
  }
  return simulator;
}

function rowOf(label: string, simulator: FleetSimulator): ScenarioRow {
  const {vmMoves, exposedMinutes, brokenMinutes, violations} = simulator.totals;
  return {
    label,
    values: {
      vm_moves: vmMoves,
      exposed_minutes: Math.round(exposedMinutes),
      broken_minutes: Math.round(brokenMinutes),
      violations,
    },
  };
}

/** Measures lending under short absences and a lasting shortage, by buffer and move weights. */
export const FLEET_LENDING: Scenario = {
  name: 'fleet-lending',
  description:
    'a day of short absences at six times the ordinary rate and two VMs of one pool away for six hours, by the weights of buffer and moves',
  async run({seed}) {
    const rows = WEIGHTS.map(({label, buffer, move}) => {
      const weights = {bufferWeight: buffer, moveWeight: move};
      return rowOf(label, play({...SWAN_COAST, ...weights}, seed));
    });
    const [bufferFirst, , movesFirst] = rows;
    const greedy = stagesWith(new GreedyRebalancer());
    rows.push(rowOf('greedy', play(SWAN_COAST, seed, greedy)));
    rows.push(rowOf('no lending', play(SWAN_COAST, seed, stagesWith())));
    return {
      rows,
      checks: [
        {
          name: 'no planned stop broke a budget',
          passed: rows.every(row => row.values.violations === 0),
          detail: rows.map(row => row.values.violations).join(', '),
        },
        {
          name: 'fewer moves where moves weigh more',
          passed: movesFirst.values.vm_moves <= bufferFirst.values.vm_moves,
          detail: `${movesFirst.values.vm_moves} against ${bufferFirst.values.vm_moves}`,
        },
      ],
    };
  },
};
