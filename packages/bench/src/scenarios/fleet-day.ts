import {
  FleetPlanner,
  GreedyRebalancer,
  JobPlacer,
  MaintenanceWorkflow,
  MovePlanner,
  REBALANCE_DEFAULTS,
  Rebalancer,
  RepairPlanner,
  VmObserver,
  WavePlanner,
  bufferPlan,
  minimumPoolSize,
  type PlanningStage,
} from '@gentiandoor/fleet';
import {SeededRandom, type RandomSource} from '@gentiandoor/kernel';
import {FailureDomain, RecordKind, WaveState} from '@gentiandoor/shared-state';
import {
  KINGSTON,
  SWAN_COAST,
  exampleState,
  exampleVms,
  type ExampleDeployment,
  type ExamplePool,
} from '@gentiandoor/stand-ins';
import type {Scenario, ScenarioCheck, ScenarioRow} from '../scenario.js';
import {FleetSimulator} from './fleet-simulator.js';

const STEP_MILLISECONDS = 10_000;
const DAY_MILLISECONDS = 86_400_000;
const HOUR_MILLISECONDS = 3_600_000;
const MINUTE_MILLISECONDS = 60_000;
/** Length of the documented run in days; a data centre fails on the second day. */
const DAYS = 2;
/** 10,000 restarts and 210 failures per day among 31,000 VMs. */
const RESTARTS_PER_VM_DAY = 10_000 / 31_000;
const FAILURES_PER_VM_DAY = 210 / 31_000;
const JOBS_A_STEP = 2;

/** How a policy sizes pools and rebalances them. */
interface Policy {
  readonly name: string;
  sizes(deployment: ExampleDeployment): ExampleDeployment;
  rebalancer(): PlanningStage | undefined;
}

const POLICIES: readonly Policy[] = [
  {
    name: 'planner',
    sizes: plannedSizes,
    rebalancer: () => new Rebalancer(),
  },
  {
    name: 'planner-today',
    sizes: deployment => deployment,
    rebalancer: () => new Rebalancer(),
  },
  {
    name: 'greedy-today',
    sizes: deployment => deployment,
    rebalancer: () => new GreedyRebalancer(),
  },
  {
    name: 'greedy',
    sizes: plannedSizes,
    rebalancer: () => new GreedyRebalancer(),
  },
  {name: 'fixed-share', sizes: fixedShareSizes, rebalancer: () => undefined},
];

/** Returns the deployment with different pool sizes. */
function withPoolSizes(
  deployment: ExampleDeployment,
  sizeOf: (pool: ExamplePool) => number,
): ExampleDeployment {
  const pools = deployment.pools.map(pool => ({...pool, vms: sizeOf(pool)}));
  return {...deployment, pools};
}

function plannedSizes(deployment: ExampleDeployment): ExampleDeployment {
  const plan = bufferPlan(exampleState(deployment), REBALANCE_DEFAULTS);
  const sizes = new Map(
    plan.map(({pool, minimumVms, spares}) => [pool, minimumVms + spares]),
  );
  return withPoolSizes(deployment, pool => sizes.get(pool.name) ?? pool.vms);
}

/**
 * Gives every pool the same share of spare VMs, the smallest one that allows maintenance in each.
 */
function fixedShareSizes(deployment: ExampleDeployment): ExampleDeployment {
  const share = Math.max(
    ...deployment.pools.map(pool => {
      const minimum = minimumSize(deployment, pool) + 1;
      return minimum / pool.availableVms - 1;
    }),
  );
  return withPoolSizes(deployment, pool =>
    Math.ceil(pool.availableVms * (1 + share) - 1e-9),
  );
}

function minimumSize(deployment: ExampleDeployment, pool: ExamplePool): number {
  const domains =
    pool.survive === FailureDomain.DataCentre
      ? deployment.dataCentres.length
      : Math.ceil(totalVms(deployment) / deployment.vmsPerRack);
  return minimumPoolSize(
    pool.availableVms,
    pool.survive as FailureDomain,
    domains,
  );
}

function totalVms(deployment: ExampleDeployment): number {
  return deployment.pools.reduce((sum, pool) => sum + pool.vms, 0);
}

/**
 * Returns the idle share of the minimum number of VMs, with one spare for maintenance of all pools.
 */
function lowerBound(deployment: ExampleDeployment): number {
  const needed = deployment.pools.reduce(
    (sum, pool) => sum + pool.availableVms,
    0,
  );
  const minimum = deployment.pools.reduce(
    (sum, pool) => sum + minimumSize(deployment, pool),
    1,
  );
  return (minimum - needed) / minimum;
}

function idleShare(deployment: ExampleDeployment): number {
  const needed = deployment.pools.reduce(
    (sum, pool) => sum + pool.availableVms,
    0,
  );
  const total = totalVms(deployment);
  return (total - needed) / total;
}

function stagesOf(policy: Policy): PlanningStage[] {
  const planner = new FleetPlanner();
  const rebalancer = policy.rebalancer();
  return [
    new VmObserver(),
    new MaintenanceWorkflow(),
    new MovePlanner(),
    new RepairPlanner(),
    ...(rebalancer ? [rebalancer] : []),
    new WavePlanner(),
    new JobPlacer(planner.jobSizeEstimator, planner.faultyVmDetector),
  ];
}

function play(
  deployment: ExampleDeployment,
  policy: Policy,
  random: RandomSource,
  days: number,
): FleetSimulator {
  const simulator = new FleetSimulator(deployment, stagesOf(policy));
  const vms = exampleVms(deployment);
  const steps = Math.round((days * DAY_MILLISECONDS) / STEP_MILLISECONDS);
  const stepsADay = DAY_MILLISECONDS / STEP_MILLISECONDS;
  let job = 0;
  for (let step = 0; step < steps; step++) {
    if (step === stepsADay / 4) startWave(simulator);
    if (step % stepsADay === stepsADay / 2) failRack(simulator, vms, random);
    if (step === stepsADay + stepsADay / 8)
      failDataCentre(simulator, vms, random);
    failVms(simulator, vms, random, stepsADay);
    for (let n = 0; n < JOBS_A_STEP; n++)
      submitJob(simulator, deployment, random, job++);
    simulator.step(STEP_MILLISECONDS);
  }
  return simulator;
}

function startWave(simulator: FleetSimulator): void {
  simulator.write({
    kind: RecordKind.WaveStarted,
    wave: 'wave-1',
    reason: 'kernel update',
    scope: {},
  });
}

function failRack(
  simulator: FleetSimulator,
  vms: ReturnType<typeof exampleVms>,
  random: RandomSource,
): void {
  const {rack} = vms[random.nextInteger(vms.length)];
  const length = (20 + random.nextInteger(60)) * MINUTE_MILLISECONDS;
  for (const vm of vms) if (vm.rack === rack) simulator.fail(vm.id, length);
}

function failDataCentre(
  simulator: FleetSimulator,
  vms: ReturnType<typeof exampleVms>,
  random: RandomSource,
): void {
  const {dataCentre} = vms[random.nextInteger(vms.length)];
  for (const vm of vms)
    if (vm.dataCentre === dataCentre)
      simulator.fail(vm.id, 2 * HOUR_MILLISECONDS);
}

function failVms(
  simulator: FleetSimulator,
  vms: ReturnType<typeof exampleVms>,
  random: RandomSource,
  stepsADay: number,
): void {
  for (const {id} of vms) {
    const draw = random.nextFraction() * stepsADay;
    if (draw < FAILURES_PER_VM_DAY) simulator.fail(id, 2 * HOUR_MILLISECONDS);
    else if (draw < FAILURES_PER_VM_DAY + RESTARTS_PER_VM_DAY)
      simulator.fail(id, (1 + random.nextInteger(3)) * MINUTE_MILLISECONDS);
  }
}

function submitJob(
  simulator: FleetSimulator,
  deployment: ExampleDeployment,
  random: RandomSource,
  number: number,
): void {
  const pool = deployment.pools[random.nextInteger(deployment.pools.length)];
  const team = deployment.teams[random.nextInteger(deployment.teams.length)];
  const minutes = 1 + random.nextInteger(15);
  simulator.write({
    kind: RecordKind.JobSubmitted,
    key: `job-${number}`,
    team: team.name,
    pool: pool.name,
    jobClass: 'ordinary',
    idempotent: random.nextInteger(4) > 0,
    size: {processors: 2, memoryGigabytes: 4, accelerators: 0, slots: 1},
    payload: String(minutes * MINUTE_MILLISECONDS),
  });
}

/** Measures buffer, moves and budgets of both deployments over days with failures and one wave. */
export const FLEET_DAY: Scenario = {
  name: 'fleet-day',
  description:
    'days of restarts, VM and rack failures and one wave; planner against greedy rebalancing and a fixed share, and the lower bound of the buffer',
  async run({seed, scale}) {
    const rows: ScenarioRow[] = [];
    const checks: ScenarioCheck[] = [];
    const examples = {'swan-coast': SWAN_COAST, kingston: KINGSTON};
    for (const [name, deployment] of Object.entries(examples)) {
      for (const policy of POLICIES) {
        const sized = policy.sizes(deployment);
        const random = new SeededRandom(seed);
        const simulator = play(sized, policy, random, DAYS * scale);
        rows.push(
          rowOf(`${name} ${policy.name}`, deployment, sized, simulator),
        );
        checks.push(...checksOf(`${name} ${policy.name}`, policy, simulator));
      }
    }
    return {rows, checks};
  },
};

function rowOf(
  label: string,
  deployment: ExampleDeployment,
  sized: ExampleDeployment,
  simulator: FleetSimulator,
): ScenarioRow {
  const {totals} = simulator;
  const wave = simulator.state.waves.get('wave-1');
  return {
    label,
    values: {
      vms: totalVms(sized),
      idle_share: round(idleShare(sized)),
      idle_share_lower_bound: round(lowerBound(deployment)),
      vm_moves: totals.vmMoves,
      jobs_shifted: totals.jobsShifted,
      jobs_finished: totals.jobsFinished,
      reboots: totals.reboots,
      wave_done: wave?.done ?? 0,
      violations: totals.violations,
      exposed_minutes: Math.round(totals.exposedMinutes),
      broken_minutes: Math.round(totals.brokenMinutes),
    },
  };
}

function checksOf(
  label: string,
  policy: Policy,
  simulator: FleetSimulator,
): ScenarioCheck[] {
  const {violations} = simulator.totals;
  const wave = simulator.state.waves.get('wave-1');
  const budgets = {
    name: `${label}: no planned stop broke a budget`,
    passed: violations === 0,
    detail: `${violations} violations`,
  };
  // The baselines are only measured; their wave need not finish.
  if (!policy.name.startsWith('planner')) return [budgets];
  return [
    budgets,
    {
      name: `${label}: the wave came to its end`,
      passed: wave?.state === WaveState.Finished,
      detail: `${wave?.state}: ${wave?.stateReason}`,
    },
  ];
}

function round(value: number): number {
  return Math.round(value * 1000) / 1000;
}
