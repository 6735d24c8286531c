import type {
  JobSubmission,
  RepeatSpecification,
  StepSpecification,
} from './job.js';

/**
 * Maximum number of tasks of a stored job, a multiple of what callers may submit. The coordinator
 * holds each of them in memory.
 */
const MAXIMUM_STORED_TASKS = 10_000;

/** Returns a decoded submission; throws if it can't be executed. */
export function readSubmission(
  jobId: string,
  job: JobSubmission,
): JobSubmission {
  if (job.id !== jobId || !Array.isArray(job.steps) || job.steps.length === 0)
    throw new Error(
      `submission of job ${jobId} is incomplete: expected its id and at least one step`,
    );
  if (!job.steps.every(isReadableStep))
    throw new Error(
      `submission of job ${jobId} has a step without a number of tasks or predecessors`,
    );
  if (job.repeat && !isReadableRepeat(job.repeat))
    throw new Error(`submission of job ${jobId} has unreadable occurrences`);
  if (countTasks(job) > MAXIMUM_STORED_TASKS)
    throw new RangeError(
      `submission of job ${jobId} has over ${MAXIMUM_STORED_TASKS} tasks`,
    );
  return job;
}

function isReadableStep(step: Partial<StepSpecification> | null): boolean {
  return (
    Number.isSafeInteger(step?.taskCount) &&
    Number(step?.taskCount) > 0 &&
    Array.isArray(step?.after) &&
    step.after.every(Number.isSafeInteger)
  );
}

function isReadableRepeat(repeat: Partial<RepeatSpecification>): boolean {
  const {count, startAtMilliseconds, intervalMilliseconds} = repeat;
  return (
    Number(count) > 0 &&
    [count, startAtMilliseconds, intervalMilliseconds].every(Number.isFinite)
  );
}

function countTasks({steps, repeat}: JobSubmission): number {
  const tasks = steps.reduce((sum, step) => sum + step.taskCount, 0);
  return tasks * Math.ceil(repeat?.count ?? 1);
}
