import {groupBy} from '@gentiandoor/kernel';
import type {Resources} from './organisation.js';

/** Current shares of organisations in the capacity of one pool. */
export interface PoolShares {
  /** Capacity of all its workers. */
  readonly capacity: Resources;
  /** Sum of the weights of the organisations that have work there. */
  readonly totalWeight: number;
  weightOf(organisation: string): number;
  usedBy(organisation: string): Resources;
}

/** Waiting work of an organisation. */
export interface OrganisationWork {
  /** Undefined for work without an organisation, which is never deferred. */
  readonly organisation: string | undefined;
}

/** Decides whose work goes first when a pool has no capacity for all of it. */
export interface SharePolicy {
  /**
   * Yields waiting work, which is passed in the order in which it would otherwise get
   * capacity. Each item may get capacity before the next one is requested, which
   * changes the shares.
   */
  order<Work extends OrganisationWork>(
    waiting: readonly Work[],
    shares: PoolShares,
  ): Iterable<Work>;
}

/** Keeps the order unchanged. */
export class UnchangedOrder implements SharePolicy {
  order<Work extends OrganisationWork>(
    waiting: readonly Work[],
  ): Iterable<Work> {
    return waiting;
  }
}

/**
 * Always yields work of the organisation that uses the least of the pool relative to
 * its weight.
 */
export class LeastShareFirst implements SharePolicy {
  *order<Work extends OrganisationWork>(
    waiting: readonly Work[],
    shares: PoolShares,
  ): Iterable<Work> {
    const queues = groupBy(waiting, ({organisation}) => organisation);
    while (queues.size > 0) {
      const [organisation, queue] = queueWithLeastShare(queues, shares);
      const [first] = queue.splice(0, 1);
      if (queue.length === 0) queues.delete(organisation);
      yield first;
    }
  }
}

function queueWithLeastShare<Work>(
  queues: ReadonlyMap<string | undefined, Work[]>,
  shares: PoolShares,
): [string | undefined, Work[]] {
  let best: [string | undefined, Work[]] | undefined;
  let least = Infinity;
  for (const queue of queues) {
    const [organisation] = queue;
    const utilisation =
      organisation === undefined ? 0 : shareUtilisation(organisation, shares);
    if (best && utilisation >= least) continue;
    best = queue;
    least = utilisation;
  }
  if (!best)
    throw new RangeError(
      'expected at least one organisation with waiting work, found none',
    );
  return best;
}

/**
 * Share utilisation above which the work of an organisation is deferred. Since jobs
 * arrive in clusters, an organisation may use up to this multiple of its share.
 */
const MAXIMUM_SHARE_UTILISATION = 1;

/**
 * Defers the work of organisations that use more of the pool than their weight entitles
 * them to, behind all other work.
 * Load: one organisation sends several times its usual amount of work, and the pool is
 * full. Without it, its jobs, which are as urgent as those of the others, take capacity
 * in proportion to their number, and every organisation's jobs are late. It still gets
 * what the others leave unused.
 */
export class OverShareLast implements SharePolicy {
  *order<Work extends OrganisationWork>(
    waiting: readonly Work[],
    shares: PoolShares,
  ): Iterable<Work> {
    const deferred: Work[] = [];
    for (const work of waiting) {
      const {organisation} = work;
      const isOverShare =
        organisation !== undefined &&
        shareUtilisation(organisation, shares) > MAXIMUM_SHARE_UTILISATION;
      if (isOverShare) deferred.push(work);
      else yield work;
    }
    yield* deferred;
  }
}

/**
 * Returns how many times its share of the pool an organisation uses, by the resource of
 * which it uses most.
 */
export function shareUtilisation(
  organisation: string,
  shares: PoolShares,
): number {
  const weight = shares.weightOf(organisation);
  if (weight <= 0) return Infinity;
  const share = weight / shares.totalWeight;
  return dominantShare(shares.usedBy(organisation), shares.capacity) / share;
}

function dominantShare(amount: Resources, pool: Resources): number {
  return Math.max(
    fraction(amount.processorMillicores, pool.processorMillicores),
    fraction(amount.memoryMegabytes, pool.memoryMegabytes),
    fraction(amount.accelerators, pool.accelerators),
  );
}

function fraction(amount: number, whole: number): number {
  return whole > 0 ? amount / whole : 0;
}
