/** What the order of waiting jobs depends on. */
export interface WaitingJob {
  /** 0 is the most urgent. */
  readonly priority: number;
  /** When its objective ends. */
  readonly dueAt: number;
  /** Until when it still counts as late; after that nobody waits for it. */
  readonly lateUntil: number;
  /** Expected time of its longest chain of open steps. */
  readonly remainingChain: number;
}

/** What a waiting job can still reach. */
export enum Chance {
  InTime = 'in_time',
  /** Late, and lost unless it starts soon. */
  LastCall = 'last_call',
  Late = 'late',
  /** Too late for anybody. */
  Lost = 'lost',
}

/** A late job gets priority when it would expire within this time. */
const LAST_CALL_MILLISECONDS = 700;

const CHANCE_RANKS: Readonly<Record<Chance, number>> = {
  [Chance.InTime]: 1,
  [Chance.LastCall]: 1.5,
  [Chance.Late]: 2,
  [Chance.Lost]: 3,
};
/** Rank of a job that may go ahead of all others. */
const FIRST_RANK = 0;

/** What a job can still reach when it starts now. */
export function chanceOf(job: WaitingJob, now: number): Chance {
  const earliestEnd = now + job.remainingChain;
  if (earliestEnd <= job.dueAt) return Chance.InTime;
  if (earliestEnd > job.lateUntil) return Chance.Lost;
  return earliestEnd + LAST_CALL_MILLISECONDS > job.lateUntil
    ? Chance.LastCall
    : Chance.Late;
}

/** Rank of a job among all that wait; the lowest goes first. `goesFirst`: ahead of all others, whatever it can reach. */
export function rankOf(chance: Chance, goesFirst: boolean): number {
  return goesFirst ? FIRST_RANK : CHANCE_RANKS[chance];
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
  return job.dueAt - job.remainingChain;
}
