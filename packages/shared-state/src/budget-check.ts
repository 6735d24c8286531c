import type {FailureDomain} from './bundle.js';
import {
  capacityIndexOf,
  largestFailureDomainLoss,
  type CapacityIndex,
} from './capacity-index.js';
import {
  RejectionReason,
  type FleetState,
  type Rejection,
} from './fleet-state.js';

/** How a service stands against its budget. */
export interface ServiceBudgetStatus {
  readonly service: string;
  readonly pool: string;
  /** VMs that must stay available. */
  readonly needed: number;
  readonly owned: number;
  readonly available: number;
  /** Out of service by plan. */
  readonly planned: number;
  readonly leavingAtOnce: number;
  readonly survive: FailureDomain;
  /** Available after the largest such failure. */
  readonly availableAfterLoss: number;
  /** Not met now: all planned work stops. */
  readonly broken: boolean;
  /** Planned stops that it allows now. */
  readonly spare: number;
}

/** Standing of each service, in the bundle's order. */
export function serviceBudgetStatuses(
  state: FleetState,
): ServiceBudgetStatus[] {
  const index = capacityIndexOf(state);
  return Object.keys(state.inForce?.bundle.services ?? {}).flatMap(
    name => serviceBudgetStatusOf(index, name) ?? [],
  );
}

/** Standing of one service; undefined when the bundle has none of that name. */
export function serviceBudgetStatusOf(
  index: CapacityIndex,
  name: string,
): ServiceBudgetStatus | undefined {
  const service = index.service(name);
  if (!service) return undefined;
  const pool = index.pool(service.pool);
  const {availableVms, survive, leavingAtOnce} = service.budget;
  const availableAfterLoss =
    pool.available - largestFailureDomainLoss(pool, survive);
  const spare = Math.min(
    availableAfterLoss - availableVms,
    leavingAtOnce - pool.planned,
  );
  return {
    service: name,
    pool: service.pool,
    needed: availableVms,
    owned: pool.owned,
    available: pool.available,
    planned: pool.planned,
    leavingAtOnce,
    survive,
    availableAfterLoss,
    broken: pool.available < availableVms,
    spare: Math.max(0, spare),
  };
}

/**
 * Whether a VM may leave service by plan at this offset. Checked in the fold, so that two
 * planners or operators that each saw room for one cannot take two: the second record meets
 * the counters that the first one changed. A VM that is already unavailable costs nothing.
 * `relieves` names a pool that the VM moves to: a broken budget there does not stop the move.
 */
export function checkPlannedStop(
  state: FleetState,
  vm: string,
  relieves?: string,
): Rejection | undefined {
  const index = capacityIndexOf(state);
  if (!index.isAvailable(vm)) return undefined;
  const broken = checkBrokenBudgets(index, relieves);
  if (broken) return broken;
  const pool = state.vms.get(vm)?.pool ?? '';
  for (const name of index.services(pool)) {
    const refusal = checkServiceBudget(index, name, vm);
    if (refusal) return refusal;
  }
  return undefined;
}

function checkBrokenBudgets(
  index: CapacityIndex,
  relieves: string | undefined,
): Rejection | undefined {
  if (index.brokenServices.size === 0) return undefined;
  for (const name of index.brokenServices) {
    const standing = serviceBudgetStatusOf(index, name);
    if (!standing) continue;
    if (relieves === standing.pool) return undefined;
  }
  const [first] = index.brokenServices;
  const standing = serviceBudgetStatusOf(index, first);
  const others = index.brokenServices.size - 1;
  return {
    reason: RejectionReason.BudgetBroken,
    detail: `planned work is stopped: service ${first} has ${standing?.available} of ${standing?.needed} VMs available in pool ${standing?.pool}${others > 0 ? ` and ${others} more services are short` : ''}; return drained VMs of that pool or repair those that are down`,
  };
}

function checkServiceBudget(
  index: CapacityIndex,
  name: string,
  vm: string,
): Rejection | undefined {
  const service = index.service(name);
  if (!service) return undefined;
  const pool = index.pool(service.pool);
  const {availableVms, survive, leavingAtOnce} = service.budget;
  if (pool.planned + 1 > leavingAtOnce) {
    return {
      reason: RejectionReason.LeavingLimit,
      detail: `service ${name} lets ${leavingAtOnce} VMs leave at one time and ${pool.planned} of pool ${service.pool} are out by plan; wait for one to return`,
    };
  }
  const lost = largestFailureDomainLoss(pool, survive, index.locationOf(vm));
  const left = pool.available - 1 - lost;
  if (left >= availableVms) return undefined;
  return {
    reason: RejectionReason.BudgetExceeded,
    detail: `without VM ${vm} pool ${service.pool} keeps ${pool.available - 1} VMs, and ${left} after the loss of its largest ${survive}, but service ${name} needs ${availableVms}; wait until more VMs are up or lower available_vms`,
  };
}
