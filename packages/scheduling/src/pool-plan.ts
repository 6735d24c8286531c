/** A pool as the planner sees it. */
export interface PlannedPool {
  readonly service: string;
  /** Whether this is the standby pool, whose VMs are off and cost nothing. */
  readonly standby: boolean;
  /** Millicores in use, weighted by the remaining value of the work. */
  readonly usedMillicores: number;
  /** Millicores of work that finds no free capacity, weighted in the same way. */
  readonly waitingMillicores: number;
  /** How long such work has been waiting without interruption; 0 if there is none. */
  readonly waitingMilliseconds: number;
  /** Millicores that work arriving at the current rate keeps busy. */
  readonly offeredLoadMillicores: number;
  /** The same without the peak that `offeredLoadMillicores` holds. */
  readonly currentLoadMillicores: number;
  /** Standard error of `offeredLoadMillicores`. */
  readonly standardErrorMillicores: number;
  /**
   * Number of VMs that waiting work needs because its tasks may not share them; 0 for
   * none.
   */
  readonly spreadConstraintVms: number;
  /** Number of VMs that are being moved into it. */
  readonly incomingVms: number;
  /** Number of VMs that accept work or are cordoned. */
  readonly usableVms: number;
  /** VMs that may be moved out of it. */
  readonly vms: readonly PlannedVm[];
  /** Millicores of one VM of the pool. */
  readonly vmMillicores: number;
}

/** A VM that is up and may leave its pool now or soon. */
export interface PlannedVm {
  readonly name: string;
  readonly millicores: number;
  /** How long nothing has run on it; undefined while something runs. */
  readonly idleMilliseconds: number | undefined;
  /** It is cordoned: no new tasks start on it. */
  readonly isCordoned: boolean;
  /** Millicores in use, weighted by the remaining value of the work. */
  readonly usedMillicores: number;
}

/** A VM to move from one pool to another. */
export interface PlannedMove {
  readonly vm: string;
  readonly from: string;
  readonly to: string;
}

/** Settings of the planner for a deployment. */
export interface PoolPlanOptions {
  /** A surplus VM is moved to the standby pool after it has been idle for this time. */
  readonly idleBeforeStandbyMilliseconds: number;
  /**
   * A surplus VM may be moved to a pool that is short of VMs after it has been idle for
   * this time.
   */
  readonly idleBeforeReassignmentMilliseconds: number;
  /**
   * A pool gets a VM once any amount of work has found no free capacity for this time.
   */
  readonly maximumWaitMilliseconds: number;
  /**
   * Number of VMs that a pool keeps beyond its demand, for the first second of a burst.
   */
  readonly spareVms: number;
  /**
   * Used instead of `spareVms` for a pool without waiting work while another pool has
   * waiting work and no VM is left in the standby pool.
   */
  readonly spareVmsUnderPressure: number;
  /**
   * Capacity per unit of demand: tasks do not fill VMs completely, and rates are
   * estimates.
   */
  readonly headroom: number;
  /** Approximate time from ordering a VM until it accepts work. */
  readonly leadTimeMilliseconds: number;
  /**
   * Time within which the backlog that builds up until the VMs arrive is worked off, so
   * that callers at the start of a burst are served in time.
   */
  readonly catchUpMilliseconds: number;
  /**
   * Maximum number of VMs moving into one pool at a time, unless `maximumIncomingShare`
   * allows more.
   */
  readonly maximumIncomingVms: number;
  /**
   * The same limit as a share of all VMs that accept work or could: a burst needs an
   * equally large part of any fleet.
   */
  readonly maximumIncomingShare: number;
}

/**
 * Default settings. A move costs about as much as one second of a VM in a pool, and
 * bursts of a queue last several seconds, so the idle times and waits are close to the
 * duration of one move.
 */
export const DEFAULT_POOL_PLAN: PoolPlanOptions = {
  idleBeforeStandbyMilliseconds: 1_200,
  idleBeforeReassignmentMilliseconds: 250,
  maximumWaitMilliseconds: 500,
  spareVms: 2,
  spareVmsUnderPressure: 1,
  headroom: 1.1,
  leadTimeMilliseconds: 2_000,
  catchUpMilliseconds: 2_000,
  maximumIncomingVms: 12,
  maximumIncomingShare: 0.5,
};

/** Actions to take for the pools now. */
export interface PoolPlan {
  readonly moves: readonly PlannedMove[];
  /** VMs to cordon, so that they can be moved soon. */
  readonly cordon: readonly string[];
}

/**
 * Moves VMs to pools where work is waiting or arriving, and out of pools where they are
 * idle.
 * Load: queues that alternate in bursts of several times their mean load. Without it,
 * one pool rejects work while the VMs of another pool are idle at full cost, or
 * continue with work that is too late to be useful.
 */
export function planPools(
  pools: readonly PlannedPool[],
  options: PoolPlanOptions = DEFAULT_POOL_PLAN,
): PoolPlan {
  const donors = donorVms(pools, options);
  const maximumIncoming = maximumIncomingVms(pools, options);
  const shortages = pools
    .map(pool => ({
      pool,
      missingVms: missingVms(pool, maximumIncoming, options),
    }))
    .filter(shortage => shortage.missingVms > 0);
  const moves = assignOneByOne(shortages, donors);
  moves.push(...assignUnderPressure(pools, shortages, moves, options));
  const cordon = vmsToCordon(pools, shortages, moves, options);
  const standby = pools.find(pool => pool.standby);
  if (standby) moves.push(...releaseIdle(donors, standby, options));
  return {moves, cordon};
}

/** Returns the number of VMs that a pool should have. */
export function wantedVms(
  pool: PlannedPool,
  options: PoolPlanOptions = DEFAULT_POOL_PLAN,
): number {
  if (pool.standby) return 0;
  const demand = Math.max(
    pool.usedMillicores + pool.waitingMillicores,
    demandAfterLeadTime(pool, options),
  );
  return vmsForDemand(pool, demand, options.spareVms, options);
}

/** Returns the number of VMs for a demand in millicores, with spare VMs beyond it. */
function vmsForDemand(
  {vmMillicores, spreadConstraintVms}: PlannedPool,
  demandMillicores: number,
  spareVms: number,
  {headroom}: PoolPlanOptions,
): number {
  const vms = (demandMillicores * headroom) / Math.max(1, vmMillicores);
  return Math.max(Math.ceil(vms) + spareVms, spreadConstraintVms);
}

/**
 * Returns the demand at the time when VMs ordered now accept work: the arriving load
 * and the backlog that has built up until then.
 * Load: the start of a burst of many times the pool's capacity. VMs for the arriving
 * load alone never catch up with the two seconds of work that arrived before them, and
 * the callers of the first half of the burst are served late.
 */
function demandAfterLeadTime(
  {
    offeredLoadMillicores,
    standardErrorMillicores,
    usableVms,
    vmMillicores,
  }: PlannedPool,
  {leadTimeMilliseconds, catchUpMilliseconds}: PoolPlanOptions,
): number {
  // The existing VMs absorb a few jobs that arrive together by chance.
  const lowerBoundMillicores = offeredLoadMillicores - standardErrorMillicores;
  const missingMillicores = Math.max(
    0,
    lowerBoundMillicores - usableVms * vmMillicores,
  );
  return (
    offeredLoadMillicores +
    (missingMillicores * leadTimeMilliseconds) / catchUpMilliseconds
  );
}

interface DonorVm extends PlannedVm {
  readonly from: PlannedPool;
}

interface PoolShortage {
  readonly pool: PlannedPool;
  missingVms: number;
}

/** Returns the VMs that may leave their pool immediately, the cheapest to take last. */
function donorVms(
  pools: readonly PlannedPool[],
  options: PoolPlanOptions,
): DonorVm[] {
  const donors = pools.flatMap(pool =>
    pool.vms
      .filter(vm => pool.standby || isIdleEnough(vm, options))
      .sort((one, other) => idleOf(other) - idleOf(one))
      .slice(0, pool.standby ? pool.vms.length : surplusVms(pool, options))
      .map(vm => ({...vm, from: pool})),
  );
  // An idle VM in a pool that costs money is taken before one that is off.
  return donors.sort(
    (left, right) => Number(right.from.standby) - Number(left.from.standby),
  );
}

function isIdleEnough(vm: PlannedVm, options: PoolPlanOptions): boolean {
  if (vm.idleMilliseconds === undefined) return false;
  return (
    vm.isCordoned ||
    vm.idleMilliseconds >= options.idleBeforeReassignmentMilliseconds
  );
}

function idleOf(vm: PlannedVm): number {
  return vm.idleMilliseconds ?? -1;
}

function surplusVms(pool: PlannedPool, options: PoolPlanOptions): number {
  return Math.max(0, pool.usableVms - wantedVms(pool, options));
}

function maximumIncomingVms(
  pools: readonly PlannedPool[],
  options: PoolPlanOptions,
): number {
  const fleetVms = pools.reduce(
    (sum, pool) =>
      sum +
      pool.incomingVms +
      (pool.standby ? pool.vms.length : pool.usableVms),
    0,
  );
  return Math.max(
    options.maximumIncomingVms,
    Math.ceil(options.maximumIncomingShare * fleetVms),
  );
}

function missingVms(
  pool: PlannedPool,
  maximumIncoming: number,
  options: PoolPlanOptions,
): number {
  if (pool.standby) return 0;
  const missing = wantedVms(pool, options) - pool.usableVms - pool.incomingVms;
  // Work can wait although there is free capacity, because of a limit of tasks per
  // worker or because of memory.
  const isStuck = pool.incomingVms === 0 && hasWaitedTooLong(pool, options);
  return Math.min(
    Math.max(missing, isStuck ? 1 : 0),
    maximumIncoming - pool.incomingVms,
  );
}

/**
 * Assigns one VM at a time to the pool with the largest shortage, so that no pool takes
 * all of them.
 */
function assignOneByOne(
  shortages: readonly PoolShortage[],
  donors: DonorVm[],
): PlannedMove[] {
  const moves: PlannedMove[] = [];
  for (;;) {
    const largest = shortages.reduce<PoolShortage | undefined>(
      (best, shortage) =>
        shortage.missingVms > (best?.missingVms ?? 0) ? shortage : best,
      undefined,
    );
    const donor = donors.at(-1);
    if (!largest || !donor) return moves;
    donors.pop();
    largest.missingVms--;
    moves.push({
      vm: donor.name,
      from: donor.from.service,
      to: largest.pool.service,
    });
  }
}

/**
 * Assigns idle VMs that their pools can spare to pools whose work is waiting while no VM
 * is left in the standby pool.
 * Load: bursts of two queues that together need more than the whole fleet, the first of
 * which is ending. Without it, the VMs that the ending burst has used stay idle for the
 * time for which its peak is held, and the callers of the other queue wait next to them.
 */
function assignUnderPressure(
  pools: readonly PlannedPool[],
  shortages: readonly PoolShortage[],
  moves: readonly PlannedMove[],
  options: PoolPlanOptions,
): PlannedMove[] {
  const pressing = pressingShortages(shortages);
  if (pressing.length === 0) return [];
  const assignedVmNames = new Set(moves.map(move => move.vm));
  const pressingPools = new Set(pressing.map(({pool}) => pool));
  const spares = pools
    .filter(pool => !pool.standby && !pressingPools.has(pool))
    .flatMap(pool => {
      const assignedCount = pool.vms.filter(vm =>
        assignedVmNames.has(vm.name),
      ).length;
      return pool.vms
        .filter(
          vm => !assignedVmNames.has(vm.name) && isIdleEnough(vm, options),
        )
        .slice(
          0,
          Math.max(0, surplusUnderPressure(pool, options) - assignedCount),
        )
        .map(vm => ({...vm, from: pool}));
    });
  return assignOneByOne(pressing, spares);
}

/** Returns the shortages of pools whose work is waiting. */
function pressingShortages(
  shortages: readonly PoolShortage[],
): readonly PoolShortage[] {
  return shortages.filter(
    shortage => shortage.missingVms > 0 && shortage.pool.waitingMillicores > 0,
  );
}

/**
 * Returns the number of VMs beyond those that a pool needs for its running and waiting
 * work, and for what arrives at the current rate.
 */
function surplusUnderPressure(
  pool: PlannedPool,
  options: PoolPlanOptions,
): number {
  const demand = Math.max(
    pool.usedMillicores + pool.waitingMillicores,
    pool.currentLoadMillicores,
  );
  const needed = vmsForDemand(
    pool,
    demand,
    options.spareVmsUnderPressure,
    options,
  );
  return Math.max(0, pool.usableVms - needed);
}

/**
 * Returns busy VMs of pools that have more VMs than their work is worth, the least
 * useful first.
 */
function vmsToCordon(
  pools: readonly PlannedPool[],
  shortages: readonly PoolShortage[],
  moves: readonly PlannedMove[],
  options: PoolPlanOptions,
): string[] {
  const pressing = pressingShortages(shortages);
  const isPressing = pressing.length > 0;
  // A pool that gives up VMs under pressure may itself be short by its estimated load.
  let remaining = (isPressing ? pressing : shortages).reduce(
    (sum, shortage) => sum + shortage.missingVms,
    0,
  );
  const chosen: string[] = [];
  for (const pool of pools) {
    if (pool.standby) continue;
    const assignedCount = moves.filter(
      move => move.from === pool.service,
    ).length;
    const surplus =
      isPressing && !pressing.some(shortage => shortage.pool === pool)
        ? surplusUnderPressure(pool, options)
        : surplusVms(pool, options);
    const maximum = Math.min(remaining, surplus - assignedCount);
    const busy = pool.vms
      .filter(vm => vm.idleMilliseconds === undefined)
      .sort(
        (one, other) =>
          Number(other.isCordoned) - Number(one.isCordoned) ||
          one.usedMillicores - other.usedMillicores,
      )
      .slice(0, Math.max(0, maximum));
    remaining -= busy.length;
    chosen.push(...busy.map(vm => vm.name));
  }
  return chosen;
}

function hasWaitedTooLong(
  pool: PlannedPool,
  options: PoolPlanOptions,
): boolean {
  return pool.waitingMilliseconds >= options.maximumWaitMilliseconds;
}

function releaseIdle(
  donors: readonly DonorVm[],
  standby: PlannedPool,
  options: PoolPlanOptions,
): PlannedMove[] {
  return donors
    .filter(
      vm =>
        !vm.from.standby && idleOf(vm) >= options.idleBeforeStandbyMilliseconds,
    )
    .map(vm => ({
      vm: vm.name,
      from: vm.from.service,
      to: standby.service,
    }));
}
