import type {LogLine} from '../job-timeline.js';
import {numberOrZero} from './log-line-fields.js';

/**
 * How an accepted job ended, whatever its final state, compared with its objective; the values are
 * column headings.
 */
export enum JobOutcome {
  InTime = 'in time',
  /** After its objective, when its result still has some value. */
  Late = 'up to 3x',
  /** After three times its objective, when its result has no value. */
  Expired = 'after 3x',
  /** Accepted, without an end in the log. */
  Unfinished = 'no end',
}

/** A result has no value after this multiple of the job's objective. */
const EXPIRY_OBJECTIVES = 3;

/**
 * Returns the outcome of a job by the line of its end, if there is one. A job whose line has no
 * objective, as those of earlier daemon versions, counts as in time.
 */
export function outcomeOf(ended: LogLine | undefined): JobOutcome {
  if (!ended) return JobOutcome.Unfinished;
  const objective = numberOrZero(ended, 'objectiveMilliseconds');
  const milliseconds = numberOrZero(ended, 'milliseconds');
  if (objective <= 0 || milliseconds <= objective) return JobOutcome.InTime;
  return milliseconds <= EXPIRY_OBJECTIVES * objective
    ? JobOutcome.Late
    : JobOutcome.Expired;
}

/** Returns the number of jobs by outcome. */
export function countOutcomes(
  jobs: ReadonlyArray<{readonly outcome: JobOutcome}>,
): Record<JobOutcome, number> {
  const counts: Record<JobOutcome, number> = {
    [JobOutcome.InTime]: 0,
    [JobOutcome.Late]: 0,
    [JobOutcome.Expired]: 0,
    [JobOutcome.Unfinished]: 0,
  };
  for (const {outcome} of jobs) counts[outcome]++;
  return counts;
}
