/** A pool as the planner sees it. */
export interface PlannedPool {
  readonly service: string;
  /** Its VMs are off and cost nothing. */
  readonly standby: boolean;
  /** Millicores of work that finds no room. */
  readonly waitingMillicores: number;
  /** How long there has been such work without a break; 0 while there is none. */
  readonly waitingMilliseconds: number;
  /** VMs that are on their way into it. */
  readonly arriving: number;
  readonly vms: readonly PlannedVm[];
}

/** A VM that is up. */
export interface PlannedVm {
  readonly name: string;
  readonly millicores: number;
  /** How long nothing has run on it; 0 while something does. */
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
  /** A VM that idles so long in a pool that costs is sent to the standby pool. */
  readonly idleBeforeStandbyMilliseconds: number;
  /** A VM that idles so long may be given to a pool that lacks room. */
  readonly idleBeforeGivingMilliseconds: number;
  /** Work that finds no room for so long gets a VM, however little it is. */
  readonly longestWaitMilliseconds: number;
  /** Most VMs that are fetched for one pool at a time. */
  readonly maximumArriving: number;
}

/** A move costs about as much as a second of a VM in a pool, and the queues' turns last several: both waits are near one move's time. */
export const DEFAULT_POOL_PLAN: PoolPlanOptions = {
  idleBeforeStandbyMilliseconds: 1_200,
  idleBeforeGivingMilliseconds: 300,
  longestWaitMilliseconds: 500,
  maximumArriving: 8,
};

/** Waiting work under this share of a VM ends by itself sooner than a VM could come. */
const LEAST_SHORTFALL = 0.25;

/**
 * Moves VMs to where work waits, and out of pools where they idle.
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

interface Giver extends PlannedVm {
  readonly from: PlannedPool;
}

/** VMs that may leave their pool, the cheapest to take last. */
function giversOf(
  pools: readonly PlannedPool[],
  options: PoolPlanOptions,
): Giver[] {
  const givers = pools
    .filter(pool => pool.standby || pool.waitingMilliseconds === 0)
    .flatMap(pool => pool.vms.map(vm => ({...vm, from: pool})))
    .filter(
      vm =>
        vm.from.standby ||
        vm.idleMilliseconds >= options.idleBeforeGivingMilliseconds,
    );
  // A VM that idles in a pool that costs is worth more there than one that is off.
  return givers.sort(
    (left, right) => Number(right.from.standby) - Number(left.from.standby),
  );
}

function fetchFor(
  pool: PlannedPool,
  givers: Giver[],
  options: PoolPlanOptions,
): PlannedMove[] {
  if (pool.standby || pool.waitingMilliseconds === 0) return [];
  const moves: PlannedMove[] = [];
  let arriving = pool.arriving;
  let lacking =
    pool.waitingMillicores - arriving * millicoresOf(pool, givers);
  while (arriving < options.maximumArriving) {
    const giver = givers.at(-1);
    if (!giver) break;
    const isShort = lacking >= LEAST_SHORTFALL * giver.millicores;
    if (!isShort && !(arriving === 0 && isStuck(pool, options))) break;
    givers.pop();
    moves.push({vm: giver.name, from: giver.from.service, to: pool.service});
    lacking -= giver.millicores;
    arriving++;
  }
  return moves;
}

/** Little work can wait for ever where no worker may take it: a bound of tasks on one worker, or an empty pool. */
function isStuck(pool: PlannedPool, options: PoolPlanOptions): boolean {
  return (
    pool.vms.length === 0 ||
    pool.waitingMilliseconds >= options.longestWaitMilliseconds
  );
}

function millicoresOf(pool: PlannedPool, givers: readonly Giver[]): number {
  return pool.vms[0]?.millicores ?? givers[0]?.millicores ?? 0;
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
