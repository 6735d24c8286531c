import {groupBy} from '@gentiandoor/kernel';
import type {RoomAmount} from './organisation.js';

/** Claims of organisations on the room of one pool, as they are now. */
export interface PoolClaims {
  /** Room of all its workers. */
  readonly pool: RoomAmount;
  /** Of the organisations that have work there. */
  readonly totalWeight: number;
  weightOf(organisation: string): number;
  usedBy(organisation: string): RoomAmount;
}

/** Work of an organisation that waits. */
export interface SharedWork {
  /** Undefined for work of no organisation: it is never put behind. */
  readonly organisation: string | undefined;
}

/** Decides whose work goes first when a pool has no room for all of it. */
export interface ShareOrder {
  /**
   * Yields waiting work, which comes in the order in which it would get room by itself. Each piece may be
   * given room before the next one is asked for: the claims change with it.
   */
  arrange<Work extends SharedWork>(
    waiting: readonly Work[],
    claims: PoolClaims,
  ): Iterable<Work>;
}

/** Leaves the order as it is. */
export class StandingOrder implements ShareOrder {
  arrange<Work extends SharedWork>(waiting: readonly Work[]): Iterable<Work> {
    return waiting;
  }
}

/** Always the work of the organisation that has least of the pool for its weight. */
export class LeastShareFirst implements ShareOrder {
  *arrange<Work extends SharedWork>(
    waiting: readonly Work[],
    claims: PoolClaims,
  ): Iterable<Work> {
    const lanes = groupBy(waiting, ({organisation}) => organisation);
    while (lanes.size > 0) {
      const [organisation, lane] = leastShare(lanes, claims);
      const [first] = lane.splice(0, 1);
      if (lane.length === 0) lanes.delete(organisation);
      yield first;
    }
  }
}

function leastShare<Work>(
  lanes: ReadonlyMap<string | undefined, Work[]>,
  claims: PoolClaims,
): [string | undefined, Work[]] {
  let best: [string | undefined, Work[]] | undefined;
  let least = Infinity;
  for (const lane of lanes) {
    const [organisation] = lane;
    const use =
      organisation === undefined ? 0 : useOfShare(organisation, claims);
    if (best && use >= least) continue;
    best = lane;
    least = use;
  }
  if (!best) throw new RangeError('no lane is left');
  return best;
}

/** An organisation may have so many times its share before its work goes behind: jobs come in clusters. */
const SHARE_ALLOWANCE = 1;

/**
 * Work of organisations that have more of the pool than their weight gives them goes behind all other work.
 * Load: one organisation sends several times its usual, and the pool is full. Without it its jobs, which are as
 * urgent as those of the others, take as much of the room as there are of them, and everybody is late. What
 * the others leave it still gets.
 */
export class BeyondShareBehind implements ShareOrder {
  *arrange<Work extends SharedWork>(
    waiting: readonly Work[],
    claims: PoolClaims,
  ): Iterable<Work> {
    const behind: Work[] = [];
    for (const work of waiting) {
      const {organisation} = work;
      const isBeyond =
        organisation !== undefined &&
        useOfShare(organisation, claims) > SHARE_ALLOWANCE;
      if (isBeyond) behind.push(work);
      else yield work;
    }
    yield* behind;
  }
}

/** How many times its share of the pool an organisation has, by the amount of which it has most. */
export function useOfShare(organisation: string, claims: PoolClaims): number {
  const weight = claims.weightOf(organisation);
  if (weight <= 0) return Infinity;
  const share = weight / claims.totalWeight;
  return dominantPart(claims.usedBy(organisation), claims.pool) / share;
}

function dominantPart(amount: RoomAmount, pool: RoomAmount): number {
  return Math.max(
    part(amount.processorMillicores, pool.processorMillicores),
    part(amount.memoryMegabytes, pool.memoryMegabytes),
    part(amount.accelerators, pool.accelerators),
  );
}

function part(amount: number, whole: number): number {
  return whole > 0 ? amount / whole : 0;
}
