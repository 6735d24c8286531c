/** Properties of a waiting job that determine its place in the order. */
export interface WaitingJob {
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Deadline of its objective. */
  readonly dueAt: number;
  /** Time until which it still counts as late; after that no caller waits for it. */
  readonly expiresAt: number;
  /** Expected duration of the longest chain of its open steps. */
  readonly remainingCriticalPathMilliseconds: number;
}

/** The best outcome that a waiting job can still reach. */
export enum DeadlineFeasibility {
  InTime = 'in_time',
  /** Late, and infeasible unless it starts soon. */
  AboutToExpire = 'last_call',
  Late = 'late',
  /** Too late to be useful to any caller. */
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
/** Rank of a job that goes ahead of all others. */
const FIRST_RANK = 0;

/** Returns the best outcome that a job can still reach if it starts now. */
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

/**
 * Returns the rank of a job among all waiting ones; the lowest goes first. `goesFirst`
 * puts it ahead of all others, whatever its feasibility.
 */
export function rankOf(
  feasibility: DeadlineFeasibility,
  goesFirst: boolean,
): number {
  return goesFirst ? FIRST_RANK : FEASIBILITY_RANKS[feasibility];
}

/** A waiting job with its rank. */
export interface RankedJob extends WaitingJob {
  readonly rank: number;
}

/**
 * Compares waiting jobs: those that can finish in time come first, then those that can
 * finish late but before they expire, then the rest; within each group they are sorted
 * by priority and by the latest start that still meets the objective.
 * Load: a queue that needs several times its pool's capacity for some seconds. Without
 * it, every job waits behind jobs that can no longer finish in time, and all of them
 * are late instead of some. Sorted by deadline alone, long jobs start too late although
 * short jobs with earlier deadlines could wait.
 */
export function compareWaitingJobs(left: RankedJob, right: RankedJob): number {
  if (left.rank !== right.rank) return left.rank - right.rank;
  if (left.priority !== right.priority) return left.priority - right.priority;
  return latestStart(left) - latestStart(right);
}

/** Returns the latest start with which a job meets its objective. */
export function latestStart(job: WaitingJob): number {
  return job.dueAt - job.remainingCriticalPathMilliseconds;
}
