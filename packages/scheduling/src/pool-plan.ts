/** A pool as the planner sees it. */
export interface PlannedPool {
  readonly service: string;
  /** Its VMs are off and cost nothing. */
  readonly standby: boolean;
  /** Millicores in use, weighed by what the work is still worth. */
  readonly usedMillicores: number;
  /** Millicores of work that finds no room, weighed alike. */
  readonly waitingMillicores: number;
  /** How long there has been such work without a break; 0 while there is none. */
  readonly waitingMilliseconds: number;
  /** Millicores that work which arrives at the present rate keeps busy. */
  readonly offeredLoadMillicores: number;
  /** Millicores by which that lies off by chance. */
  readonly standardErrorMillicores: number;
  /** VMs that work which waits needs since its tasks may not share them; 0 for none. */
  readonly spreadConstraintVms: number;
  /** VMs that are on their way into it. */
  readonly incomingVms: number;
  /** VMs that take work, or are being emptied. */
  readonly usableVms: number;
  /** VMs that may leave it. */
  readonly vms: readonly PlannedVm[];
  /** Millicores of one of its VMs. */
  readonly vmMillicores: number;
}

/** A VM that is up and may leave its pool now or soon. */
export interface PlannedVm {
  readonly name: string;
  readonly millicores: number;
  /** How long nothing has run on it; undefined while something does. */
  readonly idleMilliseconds: number | undefined;
  /** It is being emptied: nothing new starts on it. */
  readonly isCordoned: boolean;
  /** Millicores in use, weighed by what the work is still worth. */
  readonly usedMillicores: number;
}

/** A VM that is to change its pool. */
export interface PlannedMove {
  readonly vm: string;
  readonly from: string;
  readonly to: string;
}

/** Weights of a deployment. */
export interface PoolPlanOptions {
  /** A VM over what its pool needs that idles so long is sent to the standby pool. */
  readonly idleBeforeStandbyMilliseconds: number;
  /** A VM over what its pool needs that idles so long may be given to a pool that lacks room. */
  readonly idleBeforeReassignmentMilliseconds: number;
  /** Work that finds no room for so long gets a VM, however little it is. */
  readonly maximumWaitMilliseconds: number;
  /** VMs that a pool keeps over what it uses: the first second of a burst finds them. */
  readonly spareVms: number;
  /** The same for a pool without work that waits, while another one has such work and no VM is off. */
  readonly spareVmsUnderPressure: number;
  /** Room that a pool has for each unit of demand: tasks don't fill VMs to the brim, and rates are guesses. */
  readonly headroom: number;
  /** A VM that is ordered now takes work after about this. */
  readonly leadTimeMilliseconds: number;
  /** What gathers until the VMs come is worked off within this, so that callers of a turn's beginning are in time. */
  readonly catchUpMilliseconds: number;
  /** Most VMs that are fetched for one pool at a time, where the share below is not more. */
  readonly maximumIncomingVms: number;
  /** The same as a share of all VMs that take work or may: a burst asks for as large a part of any fleet. */
  readonly maximumIncomingShare: number;
}

/** A move costs about as much as a second of a VM in a pool, and the queues' turns last several: the waits are near one move's time. */
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

/** What is done about pools now. */
export interface PoolPlan {
  readonly moves: readonly PlannedMove[];
  /** VMs on which nothing new is to start, so that they can move soon. */
  readonly cordon: readonly string[];
}

/**
 * Moves VMs to where work waits or comes, and out of pools where they idle.
 * Load: queues that ask by turns for several times their mean. Without it one pool turns work away
 * while the VMs of the next one idle, at full cost, or go on with work that is too late for anybody.
 */
export function planPools(
  pools: readonly PlannedPool[],
  options: PoolPlanOptions = DEFAULT_POOL_PLAN,
): PoolPlan {
  const givers = donorVms(pools, options);
  const most = maximumIncomingVms(pools, options);
  const needs = pools
    .map(pool => ({pool, missingVms: missingVms(pool, most, options)}))
    .filter(need => need.missingVms > 0);
  const moves = assignOneByOne(needs, givers);
  moves.push(...assignSpareVms(pools, needs, moves, options));
  const empty = vmsToCordon(pools, needs, moves, options);
  const standby = pools.find(pool => pool.standby);
  if (standby) moves.push(...releaseIdle(givers, standby, options));
  return {moves, cordon: empty};
}

/** VMs that a pool should have. */
export function wantedVms(
  pool: PlannedPool,
  options: PoolPlanOptions = DEFAULT_POOL_PLAN,
): number {
  if (pool.standby) return 0;
  const demand = Math.max(
    pool.usedMillicores + pool.waitingMillicores,
    demandWhenVmsCome(pool, options),
  );
  const vms = (demand * options.headroom) / Math.max(1, pool.vmMillicores);
  return Math.max(Math.ceil(vms) + options.spareVms, pool.spreadConstraintVms);
}

/**
 * Demand at the time when VMs that are ordered now take work: what arrives, and what has gathered until then.
 * Load: the beginning of a turn, many times what the pool holds. VMs for what arrives alone never catch up with
 * the two seconds of work that came before them, and the callers of the first half of a turn are late.
 */
function demandWhenVmsCome(
  {
    offeredLoadMillicores: arrivingMillicores,
    standardErrorMillicores: chanceMillicores,
    usableVms: usable,
    vmMillicores,
  }: PlannedPool,
  {
    leadTimeMilliseconds: leadMilliseconds,
    catchUpMilliseconds,
  }: PoolPlanOptions,
): number {
  // A few jobs that come together by chance are worked off by the VMs that are there.
  const certain = arrivingMillicores - chanceMillicores;
  const lacking = Math.max(0, certain - usable * vmMillicores);
  return (
    arrivingMillicores + (lacking * leadMilliseconds) / catchUpMilliseconds
  );
}

interface DonorVm extends PlannedVm {
  readonly from: PlannedPool;
}

interface PoolShortage {
  readonly pool: PlannedPool;
  missingVms: number;
}

/** VMs that may leave their pool at once, the cheapest to take last. */
function donorVms(
  pools: readonly PlannedPool[],
  options: PoolPlanOptions,
): DonorVm[] {
  const givers = pools.flatMap(pool =>
    pool.vms
      .filter(vm => pool.standby || isIdleEnough(vm, options))
      .sort((one, other) => idleOf(other) - idleOf(one))
      .slice(0, pool.standby ? pool.vms.length : surplusVms(pool, options))
      .map(vm => ({...vm, from: pool})),
  );
  // A VM that idles in a pool that costs goes before one that is off.
  return givers.sort(
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
  const fleet = pools.reduce(
    (sum, pool) =>
      sum +
      pool.incomingVms +
      (pool.standby ? pool.vms.length : pool.usableVms),
    0,
  );
  return Math.max(
    options.maximumIncomingVms,
    Math.ceil(options.maximumIncomingShare * fleet),
  );
}

function missingVms(
  pool: PlannedPool,
  mostArrivingVms: number,
  options: PoolPlanOptions,
): number {
  if (pool.standby) return 0;
  const lacking = wantedVms(pool, options) - pool.usableVms - pool.incomingVms;
  // Work can wait beside free room: a bound of tasks on one worker, or memory.
  const stuck = pool.incomingVms === 0 && hasWaitedTooLong(pool, options);
  return Math.min(
    Math.max(lacking, stuck ? 1 : 0),
    mostArrivingVms - pool.incomingVms,
  );
}

/** One VM at a time to the pool that lacks most, so that no pool takes all. */
function assignOneByOne(
  needs: readonly PoolShortage[],
  givers: DonorVm[],
): PlannedMove[] {
  const moves: PlannedMove[] = [];
  for (;;) {
    const need = needs.reduce<PoolShortage | undefined>(
      (best, one) => (one.missingVms > (best?.missingVms ?? 0) ? one : best),
      undefined,
    );
    const giver = givers.at(-1);
    if (!need || !giver) return moves;
    givers.pop();
    need.missingVms--;
    moves.push({
      vm: giver.name,
      from: giver.from.service,
      to: need.pool.service,
    });
  }
}

/**
 * Spare VMs of pools at rest, to pools whose work waits while no VM is off.
 * Load: a turn that asks for more than the whole fleet. Without it VMs of every other pool idle beside it.
 */
function assignSpareVms(
  pools: readonly PlannedPool[],
  needs: readonly PoolShortage[],
  moves: readonly PlannedMove[],
  options: PoolPlanOptions,
): PlannedMove[] {
  const pressed = needs.filter(
    need => need.missingVms > 0 && need.pool.waitingMillicores > 0,
  );
  if (pressed.length === 0) return [];
  const least = {...options, spareVms: options.spareVmsUnderPressure};
  const taken = new Set(moves.map(move => move.vm));
  const spares = pools
    .filter(pool => !pool.standby && pool.waitingMillicores === 0)
    .flatMap(pool => {
      const given = pool.vms.filter(vm => taken.has(vm.name)).length;
      return pool.vms
        .filter(vm => !taken.has(vm.name) && isIdleEnough(vm, options))
        .slice(0, Math.max(0, surplusVms(pool, least) - given))
        .map(vm => ({...vm, from: pool}));
    });
  return assignOneByOne(pressed, spares);
}

/** Busy VMs of pools that have more than their work is worth, the least useful first. */
function vmsToCordon(
  pools: readonly PlannedPool[],
  needs: readonly PoolShortage[],
  moves: readonly PlannedMove[],
  options: PoolPlanOptions,
): string[] {
  let wanted = needs.reduce((sum, need) => sum + need.missingVms, 0);
  const chosen: string[] = [];
  for (const pool of pools) {
    if (pool.standby) continue;
    const given = moves.filter(move => move.from === pool.service).length;
    const most = Math.min(wanted, surplusVms(pool, options) - given);
    const busy = pool.vms
      .filter(vm => vm.idleMilliseconds === undefined)
      .sort(
        (one, other) =>
          Number(other.isCordoned) - Number(one.isCordoned) ||
          one.usedMillicores - other.usedMillicores,
      )
      .slice(0, Math.max(0, most));
    wanted -= busy.length;
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
  givers: readonly DonorVm[],
  standby: PlannedPool,
  options: PoolPlanOptions,
): PlannedMove[] {
  return givers
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
