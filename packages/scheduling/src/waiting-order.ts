import {
  DeadlineFeasibility,
  compareWaitingJobs,
  latestStart,
  rankOf,
  type RankedJob,
} from './job-order.js';

/** A waiting job with the work that it requires from its pool. */
export interface WaitingWork extends RankedJob {
  /** Sum over its open tasks of millicores times expected milliseconds. */
  readonly remainingMillicoreMilliseconds: number;
}

/** Processor capacity of a pool, in millicores. */
export interface PoolMillicores {
  readonly usableMillicores: number;
  /** Millicores of the VMs that are being moved into it. */
  readonly incomingMillicores: number;
}

/** Safety margin for wrong estimates, as a share of a job's critical path. */
const ESTIMATE_MARGIN = 0.2;
/**
 * Safety margin when checking whether all jobs can finish in time, as a share of a
 * job's critical path.
 */
const FEASIBILITY_MARGIN = 0.1;
/** Rank of postponed jobs: after those that can finish in time, before late ones. */
const POSTPONED_RANK = 1.2;

/** Sorts waiting jobs into the order in which they get capacity. */
export interface WaitingOrder {
  order<Job extends WaitingWork>(
    jobs: readonly Job[],
    pool: PoolMillicores,
    now: number,
  ): Job[];
}

/**
 * Postpones the largest jobs once not all jobs can finish in time.
 * Load: a burst that needs more than the whole fleet. Sorted by latest start, which is
 * best while more VMs can still be moved in, every job starts as late as possible and
 * most are slightly late. So once not all jobs can finish in time, those that require
 * the most work are postponed until the others can: most jobs then finish in time.
 */
export class LargestPostponed implements WaitingOrder {
  order<Job extends WaitingWork>(
    jobs: readonly Job[],
    pool: PoolMillicores,
    now: number,
  ): Job[] {
    const inTimeRank = rankOf(DeadlineFeasibility.InTime, false);
    const feasible = jobs.filter(job => job.rank === inTimeRank);
    if (canAllBeInTime(feasible, pool, now))
      return [...jobs].sort(compareWaitingJobs);
    const postponed = jobsToPostpone(feasible, pool.usableMillicores, now);
    const effectiveRank = (job: Job) =>
      postponed.has(job) ? POSTPONED_RANK : job.rank;
    return [...jobs].sort(
      (left, right) =>
        effectiveRank(left) - effectiveRank(right) ||
        left.priority - right.priority ||
        left.dueAt - right.dueAt,
    );
  }
}

/** Whether every job starts in time if they get the capacity one after the other. */
function canAllBeInTime(
  jobs: readonly WaitingWork[],
  {usableMillicores, incomingMillicores}: PoolMillicores,
  now: number,
): boolean {
  const millicores = Math.max(1, usableMillicores + incomingMillicores);
  let work = 0;
  for (const job of [...jobs].sort(compareWaitingJobs)) {
    const margin = FEASIBILITY_MARGIN * job.remainingCriticalPathMilliseconds;
    if (now + work / millicores + margin > latestStart(job)) return false;
    work += job.remainingMillicoreMilliseconds;
  }
  return true;
}

/**
 * Returns the jobs whose postponement lets most of the others finish in time, by the
 * Moore-Hodgson algorithm: goes through the jobs by deadline and, whenever one would be
 * late, postpones the largest so far.
 */
function jobsToPostpone<Job extends WaitingWork>(
  jobs: readonly Job[],
  usableMillicores: number,
  now: number,
): ReadonlySet<Job> {
  const millicores = Math.max(1, usableMillicores);
  const postponed = new Set<Job>();
  const kept: Job[] = [];
  let work = 0;
  const byDeadline = [...jobs].sort(
    (left, right) => left.priority - right.priority || left.dueAt - right.dueAt,
  );
  for (const job of byDeadline) {
    const startsAt = now + work / millicores;
    const durationMilliseconds =
      (1 + ESTIMATE_MARGIN) * job.remainingCriticalPathMilliseconds;
    insertByWork(kept, job);
    work += job.remainingMillicoreMilliseconds;
    if (startsAt + durationMilliseconds <= job.dueAt) continue;
    const largest = kept.pop();
    if (!largest) continue;
    postponed.add(largest);
    work -= largest.remainingMillicoreMilliseconds;
  }
  return postponed;
}

/** Inserts a job so that `kept` stays sorted by work, the largest last. */
function insertByWork<Job extends WaitingWork>(kept: Job[], job: Job): void {
  let low = 0;
  let high = kept.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (
      kept[middle].remainingMillicoreMilliseconds <=
      job.remainingMillicoreMilliseconds
    )
      low = middle + 1;
    else high = middle;
  }
  kept.splice(low, 0, job);
}
