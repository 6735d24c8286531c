/** What the order of waiting jobs depends on. */
export interface WaitingJob {
  /** 0 is the most urgent. */
  readonly priority: number;
  /** When its objective ends. */
  readonly dueAt: number;
  /** Until when it still counts as late; after that nobody waits for it. */
  readonly expiresAt: number;
  /** Expected time of its longest chain of open steps. */
  readonly remainingCriticalPathMilliseconds: number;
}

/** What a waiting job can still reach. */
export enum DeadlineFeasibility {
  InTime = 'in_time',
  /** Late, and lost unless it starts soon. */
  AboutToExpire = 'last_call',
  Late = 'late',
  /** Too late for anybody. */
  Infeasible = 'lost',
}

/** A late job gets priority when it would expire within this time. */
const ABOUT_TO_EXPIRE_MILLISECONDS = 700;

const FEASIBILITY_RANKS: Readonly<Record<DeadlineFeasibility, number>> = {
  [DeadlineFeasibility.InTime]: 1,
  [DeadlineFeasibility.AboutToExpire]: 1.5,
  [DeadlineFeasibility.Late]: 2,
  [DeadlineFeasibility.Infeasible]: 3,
};
/** Rank of a job that may go ahead of all others. */
const FIRST_RANK = 0;

/** What a job can still reach when it starts now. */
export function feasibilityOf(
  job: WaitingJob,
  now: number,
): DeadlineFeasibility {
  const earliestEnd = now + job.remainingCriticalPathMilliseconds;
  if (earliestEnd <= job.dueAt) return DeadlineFeasibility.InTime;
  if (earliestEnd > job.expiresAt) return DeadlineFeasibility.Infeasible;
  return earliestEnd + ABOUT_TO_EXPIRE_MILLISECONDS > job.expiresAt
    ? DeadlineFeasibility.AboutToExpire
    : DeadlineFeasibility.Late;
}

/** Rank of a job among all that wait; the lowest goes first. `goesFirst`: ahead of all others, whatever it can reach. */
export function rankOf(
  chance: DeadlineFeasibility,
  goesFirst: boolean,
): number {
  return goesFirst ? FIRST_RANK : FEASIBILITY_RANKS[chance];
}

/** A waiting job with its rank. */
export interface RankedJob extends WaitingJob {
  readonly rank: number;
}

/**
 * Orders waiting jobs: what can still be in time first, then what can still be late, then the rest;
 * within each by urgency and by the latest start that still meets the objective.
 * Load: a queue asks for several times what its pool holds for some seconds. Without it every job
 * waits behind ones that can no longer be in time, and all of them are late instead of some. By the
 * end of the objective alone, long jobs start too late while short ones that come after them could wait.
 */
export function compareWaitingJobs(left: RankedJob, right: RankedJob): number {
  if (left.rank !== right.rank) return left.rank - right.rank;
  if (left.priority !== right.priority) return left.priority - right.priority;
  return latestStart(left) - latestStart(right);
}

/** When a job must start at the latest to meet its objective. */
export function latestStart(job: WaitingJob): number {
  return job.dueAt - job.remainingCriticalPathMilliseconds;
}
