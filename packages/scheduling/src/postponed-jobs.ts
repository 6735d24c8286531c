import {DeadlineFeasibility, rankOf} from './job-order.js';
import type {
  PoolMillicores,
  WaitingOrder,
  WaitingWork,
} from './waiting-order.js';

const IN_TIME_RANK = rankOf(DeadlineFeasibility.InTime, false);

/** Work that is always in time, needs no capacity and is the least urgent of its rank. */
const LEAST_URGENT: WaitingWork = {
  priority: Infinity,
  dueAt: Infinity,
  expiresAt: Infinity,
  remainingCriticalPathMilliseconds: 0,
  remainingMillicoreMilliseconds: 0,
  rank: IN_TIME_RANK,
};

/**
 * Returns the jobs that could be in time and that `order` puts behind any less urgent job of their
 * rank.
 * Load: a large urgent job in a burst, next to running work of a less urgent queue. Without it,
 * that work is stopped for the large job and goes ahead of it in the next round.
 */
export function postponedJobs(
  order: WaitingOrder,
  jobs: readonly WaitingWork[],
  pool: PoolMillicores,
  now: number,
): ReadonlySet<WaitingWork> {
  const ordered = order.order([...jobs, LEAST_URGENT], pool, now);
  const behind = ordered.slice(ordered.indexOf(LEAST_URGENT) + 1);
  return new Set(behind.filter(({rank}) => rank === IN_TIME_RANK));
}
