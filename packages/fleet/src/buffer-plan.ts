import {
  FailureDomain,
  capacityIndexOf,
  type CostWeights,
  type FleetState,
} from '@gentiandoor/shared-state';
import type {RebalanceOptions} from './rebalance-options.js';

/** The VMs that a pool needs to hold, and those that it holds. */
export interface PoolBuffer {
  readonly pool: string;
  /** VMs that the budgets of its services need available. */
  readonly needed: number;
  /** Fewest VMs with which the budgets hold through the named failure, with one VM out by plan. */
  readonly minimumVms: number;
  /** VMs above `minimumVms` that are worth holding, so that an ordinary failure causes no move. */
  readonly spares: number;
  readonly owned: number;
}

/** Maximum spares of a pool, whatever the weights; further spares no longer pay. */
const MAXIMUM_SPARES = 8;
/** A lent VM is moved twice: there and back. */
const MOVES_PER_FAILURE = 2;

/**
 * Computes for each pool the smallest idle capacity that keeps every budget through its named
 * failure, spread as evenly over the failure domains as possible, and the spares that pay off with
 * the deployment's weights. A spare costs one idle VM-day a day; it saves two moves each time it is
 * the VM that would otherwise be missing. Failures within a pool are rare and independent enough
 * for a Poisson distribution; shared failures are covered by `minimumVms`.
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

/** Computes the buffer of one pool. */
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
    const minimumSize = minimumPoolSize(
      budget.availableVms,
      budget.survive,
      domains,
    );
    // Without one more VM, no VM could ever be maintained.
    minimumVms = Math.max(
      minimumVms,
      minimumSize + Math.min(1, budget.leavingAtOnce),
    );
  }
  const spares = costEffectiveSpares(minimumVms, weights, options);
  return {pool, needed, minimumVms, spares, owned};
}

/**
 * Returns the fewest VMs of which `needed` remain if the largest of `domains` equal failure domains
 * is lost.
 */
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

/** Returns how many spares save moves worth more than their idle days. */
export function costEffectiveSpares(
  size: number,
  weights: CostWeights,
  options: RebalanceOptions,
): number {
  const failuresADay = size * options.failuresPerVmDay;
  const meanDownVms = failuresADay * options.repairDays;
  let probability = Math.exp(-meanDownVms);
  let spares = 0;
  while (spares < MAXIMUM_SPARES) {
    const savedMoves = MOVES_PER_FAILURE * failuresADay * probability;
    if (savedMoves * weights.move <= weights.buffer) break;
    spares++;
    probability *= meanDownVms / spares;
  }
  return spares;
}
