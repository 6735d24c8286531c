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

/** Compares the current capacity of a service with its availability budget. */
export interface ServiceBudgetStatus {
  readonly service: string;
  readonly pool: string;
  /** VMs that must stay available. */
  readonly needed: number;
  readonly owned: number;
  readonly available: number;
  /** VMs that are out of service for planned work. */
  readonly planned: number;
  readonly leavingAtOnce: number;
  readonly survive: FailureDomain;
  /** VMs left available after the largest failure of the kind `survive`. */
  readonly availableAfterLoss: number;
  /** Whether the budget is not met now; this stops all planned work. */
  readonly broken: boolean;
  /** Further planned stops that the budget allows now. */
  readonly spare: number;
}

/** Returns the budget status of each service, in the order of the bundle. */
export function serviceBudgetStatuses(
  state: FleetState,
): ServiceBudgetStatus[] {
  const index = capacityIndexOf(state);
  return Object.keys(state.inForce?.bundle.services ?? {}).flatMap(
    name => serviceBudgetStatusOf(index, name) ?? [],
  );
}

/** Returns the budget status of a service; undefined if the bundle has no such service. */
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
 * Returns why a VM may not be taken out of service for planned work at this offset; undefined
 * if it may. The check runs in the fold: two planners or operators that each saw capacity to stop
 * one more VM cannot stop two, because the second record is checked against the counters that the
 * first one changed. A VM that is already unavailable is always allowed, since stopping it costs
 * no capacity. `relievedPool` is the pool that the VM moves to: a broken budget of that pool does
 * not stop the move.
 */
export function checkPlannedStop(
  state: FleetState,
  vm: string,
  relievedPool?: string,
): Rejection | undefined {
  const index = capacityIndexOf(state);
  if (!index.isAvailable(vm)) return undefined;
  const broken = checkBrokenBudgets(index, relievedPool);
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
  relievedPool: string | undefined,
): Rejection | undefined {
  if (index.brokenServices.size === 0) return undefined;
  for (const name of index.brokenServices) {
    const status = serviceBudgetStatusOf(index, name);
    if (!status) continue;
    if (relievedPool === status.pool) return undefined;
  }
  const [first] = index.brokenServices;
  const status = serviceBudgetStatusOf(index, first);
  const others = index.brokenServices.size - 1;
  return {
    reason: RejectionReason.BudgetBroken,
    detail: `planned work is stopped: service ${first} has ${status?.available} of ${status?.needed} VMs available in pool ${status?.pool}${others > 0 ? ` and ${others} more services are short` : ''}; return drained VMs of that pool or repair those that are down`,
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
