import {
  DeadlineFeasibility,
  compareWaitingJobs,
  latestStart,
  rankOf,
  type RankedJob,
} from './job-order.js';

/** A waiting job with what it asks of its pool. */
export interface WaitingWork extends RankedJob {
  /** Millicores times milliseconds that its open tasks are expected to take. */
  readonly remainingMillicoreMilliseconds: number;
}

/** Room of a pool, in millicores. */
export interface PoolMillicores {
  readonly usableMillicores: number;
  /** Of VMs that are on their way into it. */
  readonly incomingMillicores: number;
}

/** Safety margin for wrong estimates, as a share of a job's critical path. */
const ESTIMATE_MARGIN = 0.2;
/** Safety margin when checking whether all jobs can be in time. */
const FEASIBILITY_MARGIN = 0.1;
/** Rank of jobs that are put off: after those that can be in time, before late ones. */
const POSTPONED_RANK = 1.2;

/**
 * Sorts waiting jobs into the order in which they get room.
 * Load: a turn asks for more than the whole fleet holds. By latest start, which is best while VMs can
 * still be fetched, every job starts as late as it may and most are late by a little. So once not all can
 * be in time, the jobs that ask for most are put off until the others can be: most jobs are in time then.
 */
export function orderWaiting<Job extends WaitingWork>(
  jobs: readonly Job[],
  room: PoolMillicores,
  now: number,
): Job[] {
  const inTimeRank = rankOf(DeadlineFeasibility.InTime, false);
  const hopeful = jobs.filter(job => job.rank === inTimeRank);
  if (canAllBeInTime(hopeful, room, now))
    return [...jobs].sort(compareWaitingJobs);
  const postponed = jobsToPostpone(hopeful, room.usableMillicores, now);
  const rankNow = (job: Job) =>
    postponed.has(job) ? POSTPONED_RANK : job.rank;
  return [...jobs].sort(
    (left, right) =>
      rankNow(left) - rankNow(right) ||
      left.priority - right.priority ||
      left.dueAt - right.dueAt,
  );
}

/** Whether each job starts in time when they get the room one after the other. */
function canAllBeInTime(
  jobs: readonly WaitingWork[],
  {usableMillicores, incomingMillicores: arrivingMillicores}: PoolMillicores,
  now: number,
): boolean {
  const millicores = Math.max(1, usableMillicores + arrivingMillicores);
  let work = 0;
  for (const job of [...jobs].sort(compareWaitingJobs)) {
    const margin = FEASIBILITY_MARGIN * job.remainingCriticalPathMilliseconds;
    if (now + work / millicores + margin > latestStart(job)) return false;
    work += job.remainingMillicoreMilliseconds;
  }
  return true;
}

/**
 * The jobs without which most others can be in time, by Moore and Hodgson: in the order of their ends,
 * each time one would be late the largest so far is put off.
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
  const byEnd = [...jobs].sort(
    (left, right) => left.priority - right.priority || left.dueAt - right.dueAt,
  );
  for (const job of byEnd) {
    const startsAt = now + work / millicores;
    const takes = (1 + ESTIMATE_MARGIN) * job.remainingCriticalPathMilliseconds;
    insertByWork(kept, job);
    work += job.remainingMillicoreMilliseconds;
    if (startsAt + takes <= job.dueAt) continue;
    const largest = kept.pop();
    if (!largest) continue;
    postponed.add(largest);
    work -= largest.remainingMillicoreMilliseconds;
  }
  return postponed;
}

/** Keeps the largest last. */
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
