import type {JobSubmission, StepSpecification} from '@gentiandoor/jobs';
import type {RunTimeRatio} from './pressure-report.js';

/** Expected run time and work of a job, corrected by what its queue's ratio says. */
export interface JobWork {
  /** Longest chain of median run times. */
  readonly criticalPathMilliseconds: number;
  readonly millicoreMilliseconds: number;
}

/** Returns the expected run time and work of a job; without a ratio by the caller's estimates. */
export function jobWorkOf(
  job: JobSubmission,
  ratio: RunTimeRatio | undefined,
): JobWork {
  const ends: number[] = [];
  let millicoreMilliseconds = 0;
  for (const step of job.steps) {
    const median = medianMilliseconds(step, ratio);
    const before = step.after.map(earlier => ends[earlier] ?? 0);
    ends.push(median + Math.max(0, ...before));
    const mean = median * (ratio?.meanFactor ?? 1);
    millicoreMilliseconds += step.taskCount * step.processorMillicores * mean;
  }
  return {
    criticalPathMilliseconds: Math.max(0, ...ends),
    millicoreMilliseconds,
  };
}

function medianMilliseconds(
  {estimatedMilliseconds}: StepSpecification,
  ratio: RunTimeRatio | undefined,
): number {
  if (!ratio || ratio.typicalEstimateMilliseconds <= 0)
    return estimatedMilliseconds;
  const distance =
    Math.max(1, estimatedMilliseconds) / ratio.typicalEstimateMilliseconds;
  return ratio.typicalMilliseconds * distance ** ratio.slope;
}
