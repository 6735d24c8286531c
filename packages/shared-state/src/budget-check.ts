import type {FailureDomain} from './bundle.js';
import {capacityOf, largestLoss, type CapacityIndex} from './capacity-index.js';
import {
  RejectionReason,
  type FleetState,
  type Rejection,
} from './fleet-state.js';

/** How a service stands against its budget. */
export interface BudgetStanding {
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
export function budgetStandings(state: FleetState): BudgetStanding[] {
  const index = capacityOf(state);
  return Object.keys(state.inForce?.bundle.services ?? {}).flatMap(
    name => standingOf(index, name) ?? [],
  );
}

/** Standing of one service; undefined when the bundle has none of that name. */
export function standingOf(
  index: CapacityIndex,
  name: string,
): BudgetStanding | undefined {
  const service = index.service(name);
  if (!service) return undefined;
  const pool = index.pool(service.pool);
  const {availableVms, survive, leavingAtOnce} = service.budget;
  const availableAfterLoss = pool.available - largestLoss(pool, survive);
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
  const index = capacityOf(state);
  if (!index.isAvailable(vm)) return undefined;
  const broken = findBroken(index, relieves);
  if (broken) return broken;
  const pool = state.vms.get(vm)?.pool ?? '';
  for (const name of index.services(pool)) {
    const refusal = checkService(index, name, vm);
    if (refusal) return refusal;
  }
  return undefined;
}

function findBroken(
  index: CapacityIndex,
  relieves: string | undefined,
): Rejection | undefined {
  if (index.broken.size === 0) return undefined;
  for (const name of index.broken) {
    const standing = standingOf(index, name);
    if (!standing) continue;
    if (relieves === standing.pool) return undefined;
  }
  const [first] = index.broken;
  const standing = standingOf(index, first);
  const others = index.broken.size - 1;
  return {
    reason: RejectionReason.BudgetBroken,
    detail: `planned work is stopped: service ${first} has ${standing?.available} of ${standing?.needed} VMs available in pool ${standing?.pool}${others > 0 ? ` and ${others} more services are short` : ''}; return drained VMs of that pool or repair those that are down`,
  };
}

function checkService(
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
  const lost = largestLoss(pool, survive, index.place(vm));
  const left = pool.available - 1 - lost;
  if (left >= availableVms) return undefined;
  return {
    reason: RejectionReason.BudgetExceeded,
    detail: `without VM ${vm} pool ${service.pool} keeps ${pool.available - 1} VMs, and ${left} after the loss of its largest ${survive}, but service ${name} needs ${availableVms}; wait until more VMs are up or lower available_vms`,
  };
}
