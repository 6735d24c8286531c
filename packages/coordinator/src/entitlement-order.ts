import {groupBy} from '@gentiandoor/kernel';
import {Entitlement} from '@gentiandoor/organisations';
import type {PoolMillicores, WaitingOrder} from '@gentiandoor/scheduling';
import type {PlacementCandidate} from './waiting-jobs.js';

/**
 * Returns jobs in the order in which they get capacity, in groups of equal rank and equal
 * entitlement: within each rank, all entitled jobs come before all excess jobs.
 *
 * Entitled jobs are ordered as if there were no excess jobs, since otherwise the largest of
 * them would be postponed for excess work. Excess jobs are ordered among all jobs, since
 * they only get what entitled jobs leave.
 */
export function orderByEntitlement(
  candidates: readonly PlacementCandidate[],
  waitingOrder: WaitingOrder,
  pool: PoolMillicores,
  now: number,
): PlacementCandidate[][] {
  const entitled = candidates.filter(isEntitled);
  const ordered = waitingOrder.order(entitled, pool, now);
  if (entitled.length < candidates.length) {
    const all = waitingOrder.order(candidates, pool, now);
    ordered.push(...all.filter(candidate => !isEntitled(candidate)));
  }
  const byRank = groupBy(ordered, ({rank}) => rank);
  const ranks = [...byRank.keys()].sort((left, right) => left - right);
  return ranks.flatMap(rank => [
    ...groupBy(byRank.get(rank) ?? [], ({entitlement}) => entitlement).values(),
  ]);
}

function isEntitled({entitlement}: PlacementCandidate): boolean {
  return entitlement === Entitlement.Entitled;
}
