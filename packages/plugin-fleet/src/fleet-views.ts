import {
  VmCondition,
  serviceBudgetStatuses,
  capacityIndexOf,
  jobIndexOf,
  outstandingDaemons,
  type FleetState,
  type Job,
  type PlannedWork,
  type VmOwnership,
} from '@gentiandoor/shared-state';
import type {
  BudgetsBody,
  JobBody,
  PoolBody,
  VmBody,
  WaveBody,
  WorkBody,
} from './admin-shapes.js';

/** Returns all VMs, those of one pool or the one with an id. */
export function vmBodies(
  state: FleetState,
  query: Readonly<Record<string, string>>,
): VmBody[] {
  if (query.id !== undefined) {
    const vm = state.vms.get(query.id);
    return vm ? [vmBody(state, vm)] : [];
  }
  return [...state.vms.values()]
    .filter(vm => query.pool === undefined || vm.pool === query.pool)
    .map(vm => vmBody(state, vm));
}

function vmBody(state: FleetState, vm: VmOwnership): VmBody {
  const index = capacityIndexOf(state);
  const work = state.work.get(vm.id);
  return {
    id: vm.id,
    pool: vm.pool,
    epoch: vm.epoch,
    ...index.locationOf(vm.id),
    condition: state.conditions.get(vm.id) ?? VmCondition.Up,
    available: index.isAvailable(vm.id),
    work: work && workBody(state, work),
    handedOver: state.handedOver.get(vm.id),
    maintainedAt: state.maintainedAt.get(vm.id),
  };
}

function workBody(state: FleetState, work: PlannedWork): WorkBody {
  const {kind, step, reason, writer, startedAt, attempts, toPool, wave} = work;
  const waitsFor = outstandingDaemons(state, work).map(
    incarnation => state.members.get(incarnation)?.name ?? incarnation,
  );
  return {
    kind,
    step,
    reason,
    writer,
    startedAt,
    attempts,
    waitsFor,
    toPool,
    wave,
  };
}

/** Returns the pools of the bundle and those that still own VMs. */
export function poolBodies(state: FleetState): PoolBody[] {
  const index = capacityIndexOf(state);
  const pools = state.inForce?.bundle.pools ?? {};
  const names = new Set([...Object.keys(pools), ...index.pools.keys()]);
  return [...names].map(pool => {
    const {owned, available, planned} = index.pool(pool);
    return {
      pool,
      owned,
      desired: pools[pool]?.vms.length ?? 0,
      available,
      planned,
      services: index.services(pool),
      queuedJobs: jobIndexOf(state).queuedCountOfPool(pool),
    };
  });
}

/** Returns the status of the budget of each service. */
export function budgetsBody(state: FleetState): BudgetsBody {
  return {
    broken: [...capacityIndexOf(state).brokenServices],
    services: serviceBudgetStatuses(state),
  };
}

/** Returns the waves, with a forecast where their pace is known. */
export function waveBodies(
  state: FleetState,
  forecast: (wave: string) => number | undefined,
): WaveBody[] {
  return [...state.waves.values()].map(wave => ({
    id: wave.id,
    reason: wave.reason,
    startedBy: wave.startedBy,
    state: wave.state,
    stateReason: wave.stateReason,
    total: wave.total,
    remaining: wave.remaining,
    active: wave.active,
    done: wave.done,
    failed: wave.failed,
    handedOver: wave.handedOver,
    forecastMilliseconds: forecast(wave.id),
  }));
}

const DEFAULT_JOB_LIMIT = 100;
const MAXIMUM_JOB_LIMIT = 10_000;

/** Returns jobs by key or state, the newest last. */
export function jobBodies(
  state: FleetState,
  query: Readonly<Record<string, string>>,
): JobBody[] {
  if (query.key !== undefined) {
    const job = state.jobs.get(query.key);
    return job ? [jobBody(job)] : [];
  }
  const requestedLimit = Number(query.limit ?? DEFAULT_JOB_LIMIT);
  const limit = Math.min(Math.max(1, requestedLimit || 1), MAXIMUM_JOB_LIMIT);
  const shown: JobBody[] = [];
  for (const job of state.jobs.values()) {
    if (shown.length >= limit) break;
    if (query.state !== undefined && job.state !== query.state) continue;
    shown.push(jobBody(job));
  }
  return shown;
}

function jobBody(job: Job): JobBody {
  const {key, team, pool, state, attempt, vm, reason} = job;
  return {key, team, pool, state, attempt, vm, reason};
}
