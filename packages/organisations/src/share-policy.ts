import {groupBy} from '@gentiandoor/kernel';
import type {Resources} from './organisation.js';

/** Claims of organisations on the room of one pool, as they are now. */
export interface PoolShares {
  /** Room of all its workers. */
  readonly capacity: Resources;
  /** Of the organisations that have work there. */
  readonly totalWeight: number;
  weightOf(organisation: string): number;
  usedBy(organisation: string): Resources;
}

/** Work of an organisation that waits. */
export interface OrganisationWork {
  /** Undefined for work of no organisation: it is never put behind. */
  readonly organisation: string | undefined;
}

/** Decides whose work goes first when a pool has no room for all of it. */
export interface SharePolicy {
  /**
   * Yields waiting work, which comes in the order in which it would get room by itself. Each piece may be
   * given room before the next one is asked for: the claims change with it.
   */
  order<Work extends OrganisationWork>(
    waiting: readonly Work[],
    claims: PoolShares,
  ): Iterable<Work>;
}

/** Leaves the order as it is. */
export class UnchangedOrder implements SharePolicy {
  order<Work extends OrganisationWork>(
    waiting: readonly Work[],
  ): Iterable<Work> {
    return waiting;
  }
}

/** Always the work of the organisation that has least of the pool for its weight. */
export class LeastShareFirst implements SharePolicy {
  *order<Work extends OrganisationWork>(
    waiting: readonly Work[],
    claims: PoolShares,
  ): Iterable<Work> {
    const lanes = groupBy(waiting, ({organisation}) => organisation);
    while (lanes.size > 0) {
      const [organisation, lane] = laneWithLeastShare(lanes, claims);
      const [first] = lane.splice(0, 1);
      if (lane.length === 0) lanes.delete(organisation);
      yield first;
    }
  }
}

function laneWithLeastShare<Work>(
  lanes: ReadonlyMap<string | undefined, Work[]>,
  claims: PoolShares,
): [string | undefined, Work[]] {
  let best: [string | undefined, Work[]] | undefined;
  let least = Infinity;
  for (const lane of lanes) {
    const [organisation] = lane;
    const use =
      organisation === undefined ? 0 : shareUtilisation(organisation, claims);
    if (best && use >= least) continue;
    best = lane;
    least = use;
  }
  if (!best) throw new RangeError('no lane is left');
  return best;
}

/** An organisation may have so many times its share before its work goes behind: jobs come in clusters. */
const MAXIMUM_SHARE_UTILISATION = 1;

/**
 * Work of organisations that have more of the pool than their weight gives them goes behind all other work.
 * Load: one organisation sends several times its usual, and the pool is full. Without it its jobs, which are as
 * urgent as those of the others, take as much of the room as there are of them, and everybody is late. What
 * the others leave it still gets.
 */
export class OverShareLast implements SharePolicy {
  *order<Work extends OrganisationWork>(
    waiting: readonly Work[],
    claims: PoolShares,
  ): Iterable<Work> {
    const behind: Work[] = [];
    for (const work of waiting) {
      const {organisation} = work;
      const isBeyond =
        organisation !== undefined &&
        shareUtilisation(organisation, claims) > MAXIMUM_SHARE_UTILISATION;
      if (isBeyond) behind.push(work);
      else yield work;
    }
    yield* behind;
  }
}

/** How many times its share of the pool an organisation has, by the amount of which it has most. */
export function shareUtilisation(
  organisation: string,
  claims: PoolShares,
): number {
  const weight = claims.weightOf(organisation);
  if (weight <= 0) return Infinity;
  const share = weight / claims.totalWeight;
  return dominantShare(claims.usedBy(organisation), claims.capacity) / share;
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
