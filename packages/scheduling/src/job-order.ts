/** What the order of waiting jobs depends on. */
export interface WaitingJob {
  /** 0 is the most urgent. */
  readonly priority: number;
  /** When the job was handed in, or when its occurrence is due. */
  readonly since: number;
  /** When its objective ends. */
  readonly dueAt: number;
  /** Until when it still counts as late; after that nobody waits for it. */
  readonly lateUntil: number;
  /** Estimated time of its longest chain of open steps. */
  readonly remainingChain: number;
}

/**
 * Orders waiting jobs: what can still be in time first, then what can still be late, then the rest;
 * within each by urgency and by the end of the objective.
 * Load: a queue asks for several times what its pool holds for some seconds. Without it every job
 * waits behind ones that can no longer be in time, and all of them are late instead of some.
 */
export function compareWaitingJobs(
  left: WaitingJob,
  right: WaitingJob,
  now: number,
): number {
  const byChance = chance(left, now) - chance(right, now);
  if (byChance !== 0) return byChance;
  if (left.priority !== right.priority) return left.priority - right.priority;
  return left.dueAt - right.dueAt;
}

/** 0 in time, 1 late, 2 too late for anybody. */
function chance(job: WaitingJob, now: number): number {
  const earliestEnd = now + job.remainingChain;
  if (earliestEnd <= job.dueAt) return 0;
  return earliestEnd <= job.lateUntil ? 1 : 2;
}
