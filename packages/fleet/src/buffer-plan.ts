import {
  FailureDomain,
  capacityIndexOf,
  type CostWeights,
  type FleetState,
} from '@gentiandoor/shared-state';
import type {RebalanceOptions} from './rebalance-options.js';

/** What a pool needs to hold, and what it holds. */
export interface PoolBuffer {
  readonly pool: string;
  /** VMs that the budgets of its services need available. */
  readonly needed: number;
  /** Fewest VMs whose budgets hold through the named failure, with one out by plan. */
  readonly minimumVms: number;
  /** VMs above `smallest` that are worth holding, so that an ordinary failure moves nothing. */
  readonly spares: number;
  readonly owned: number;
}

/** VMs that one may fail before a spare no longer pays, however the weights stand. */
const MAXIMUM_SPARES = 8;
/** A lent VM is moved twice: there and back. */
const MOVES_PER_FAILURE = 2;

/**
 * The smallest idle capacity that keeps each budget through its named failure, spread as
 * evenly over the domains as can be, and the spares that pay at the deployment's weights.
 * A spare costs one idle VM-day a day; it saves two moves each time that it is the one that
 * was missing. Failures of a pool are rare and independent enough for a Poisson law; shared
 * ones are what `smallest` is for.
 */
export function bufferPlan(
  state: FleetState,
  options: RebalanceOptions,
): PoolBuffer[] {
  const weights = state.inForce?.bundle.weights ?? {buffer: 1, move: 1};
  return Object.keys(state.inForce?.bundle.pools ?? {}).map(pool =>
    poolBuffer(state, pool, weights, options),
  );
}

/** The plan of one pool. */
export function poolBuffer(
  state: FleetState,
  pool: string,
  weights: CostWeights,
  options: RebalanceOptions,
): PoolBuffer {
  const index = capacityIndexOf(state);
  const {owned} = index.pool(pool);
  let needed = 0;
  let minimumVms = 0;
  for (const name of index.services(pool)) {
    const budget = index.service(name)?.budget;
    if (!budget) continue;
    needed = Math.max(needed, budget.availableVms);
    const domains = index.failureDomainCount(budget.survive);
    const least = minimumPoolSize(budget.availableVms, budget.survive, domains);
    // One more, or no VM could ever be maintained.
    minimumVms = Math.max(
      minimumVms,
      least + Math.min(1, budget.leavingAtOnce),
    );
  }
  const spares = costEffectiveSpares(minimumVms, weights, options);
  return {pool, needed, minimumVms: minimumVms, spares, owned};
}

/** Fewest VMs of which `needed` are left when the largest of `domains` equal domains is lost. */
export function minimumPoolSize(
  needed: number,
  survive: FailureDomain,
  domains: number,
): number {
  if (survive === FailureDomain.None || needed === 0) return needed;
  if (survive === FailureDomain.Vm) return needed + 1;
  if (domains < 2) return Infinity;
  let size = needed + Math.ceil(needed / (domains - 1));
  while (size - 1 - Math.ceil((size - 1) / domains) >= needed) size--;
  return size;
}

/** Spares whose saved moves are worth more than their idle days. */
export function costEffectiveSpares(
  size: number,
  weights: CostWeights,
  options: RebalanceOptions,
): number {
  const failuresADay = size * options.failuresPerVmDay;
  const meanDown = failuresADay * options.repairDays;
  let probability = Math.exp(-meanDown);
  let spares = 0;
  while (spares < MAXIMUM_SPARES) {
    const saved = MOVES_PER_FAILURE * failuresADay * probability;
    if (saved * weights.move <= weights.buffer) break;
    spares++;
    probability *= meanDown / spares;
  }
  return spares;
}
