/** A pool as the planner sees it. */
export interface PlannedPool {
  readonly service: string;
  /** Its VMs are off and cost nothing. */
  readonly standby: boolean;
  /** Millicores in use. */
  readonly usedMillicores: number;
  /** Millicores of work that finds no room. */
  readonly waitingMillicores: number;
  /** How long there has been such work without a break; 0 while there is none. */
  readonly waitingMilliseconds: number;
  /** Millicores that work which arrives at the present rate keeps busy. */
  readonly arrivingMillicores: number;
  /** VMs that are on their way into it. */
  readonly arriving: number;
  /** VMs that take work. */
  readonly usable: number;
  /** VMs that may leave it now. */
  readonly vms: readonly PlannedVm[];
  /** Millicores of one of its VMs. */
  readonly vmMillicores: number;
}

/** A VM that is up and on which nothing runs. */
export interface PlannedVm {
  readonly name: string;
  readonly millicores: number;
  /** How long nothing has run on it. */
  readonly idleMilliseconds: number;
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
  readonly idleBeforeGivingMilliseconds: number;
  /** Work that finds no room for so long gets a VM, however little it is. */
  readonly longestWaitMilliseconds: number;
  /** VMs that a pool keeps over what it uses: the first second of a burst finds them. */
  readonly spareVms: number;
  /** Room that a pool has for each unit of demand: tasks don't fill VMs to the brim, and rates are guesses. */
  readonly headroom: number;
  /** Most VMs that are fetched for one pool at a time. */
  readonly maximumArriving: number;
}

/** A move costs about as much as a second of a VM in a pool, and the queues' turns last several: the waits are near one move's time. */
export const DEFAULT_POOL_PLAN: PoolPlanOptions = {
  idleBeforeStandbyMilliseconds: 1_200,
  idleBeforeGivingMilliseconds: 250,
  longestWaitMilliseconds: 500,
  spareVms: 1,
  headroom: 1.25,
  maximumArriving: 12,
};

/**
 * Moves VMs to where work waits or comes, and out of pools where they idle.
 * Load: queues that ask by turns for several times their mean. Without it one pool turns work away
 * while the VMs of the next one idle, at full cost.
 */
export function planPools(
  pools: readonly PlannedPool[],
  options: PoolPlanOptions = DEFAULT_POOL_PLAN,
): PlannedMove[] {
  const givers = giversOf(pools, options);
  const moves = pools.flatMap(pool => fetchFor(pool, givers, options));
  const standby = pools.find(pool => pool.standby);
  if (!standby) return moves;
  return [...moves, ...releaseIdle(givers, standby, options)];
}

/** VMs that a pool should have. */
export function wantedVms(pool: PlannedPool, options: PoolPlanOptions): number {
  if (pool.standby) return 0;
  const demand = Math.max(
    pool.usedMillicores + pool.waitingMillicores,
    pool.arrivingMillicores,
  );
  const vms = (demand * options.headroom) / Math.max(1, pool.vmMillicores);
  return Math.ceil(vms) + options.spareVms;
}

interface Giver extends PlannedVm {
  readonly from: PlannedPool;
}

/** VMs that may leave their pool, the cheapest to take last. */
function giversOf(
  pools: readonly PlannedPool[],
  options: PoolPlanOptions,
): Giver[] {
  const givers = pools.flatMap(pool => {
    const surplus = pool.standby
      ? pool.vms.length
      : Math.max(0, pool.usable - wantedVms(pool, options));
    return [...pool.vms]
      .filter(
        vm =>
          pool.standby ||
          vm.idleMilliseconds >= options.idleBeforeGivingMilliseconds,
      )
      .sort((one, other) => other.idleMilliseconds - one.idleMilliseconds)
      .slice(0, surplus)
      .map(vm => ({...vm, from: pool}));
  });
  // A VM that idles in a pool that costs goes before one that is off.
  return givers.sort(
    (left, right) => Number(right.from.standby) - Number(left.from.standby),
  );
}

function fetchFor(
  pool: PlannedPool,
  givers: Giver[],
  options: PoolPlanOptions,
): PlannedMove[] {
  if (pool.standby) return [];
  const moves: PlannedMove[] = [];
  let lacking = wantedVms(pool, options) - pool.usable - pool.arriving;
  // Work can wait beside free room: a bound of tasks on one worker, or memory.
  if (lacking <= 0 && pool.arriving === 0 && isStuck(pool, options))
    lacking = 1;
  const most = options.maximumArriving - pool.arriving;
  for (let count = Math.min(lacking, most); count > 0; count--) {
    const giver = givers.at(-1);
    if (!giver || giver.from === pool) break;
    givers.pop();
    moves.push({vm: giver.name, from: giver.from.service, to: pool.service});
  }
  return moves;
}

function isStuck(pool: PlannedPool, options: PoolPlanOptions): boolean {
  return pool.waitingMilliseconds >= options.longestWaitMilliseconds;
}

function releaseIdle(
  givers: readonly Giver[],
  standby: PlannedPool,
  options: PoolPlanOptions,
): PlannedMove[] {
  return givers
    .filter(
      vm =>
        !vm.from.standby &&
        vm.idleMilliseconds >= options.idleBeforeStandbyMilliseconds,
    )
    .map(vm => ({
      vm: vm.name,
      from: vm.from.service,
      to: standby.service,
    }));
}
