import type {JobSubmission} from '@gentiandoor/jobs';
import {LogEvent} from '@gentiandoor/kernel';
import {job, step, type TestDaemon, type TestDeployment} from './deployment.js';

const TIMEOUT_MILLISECONDS = 3_000;
const SHORT_JOBS = 5;
const TASKS_OF_SHORT_JOB = 2;

/** Tasks of all jobs of `submitShortJobs`. */
export const SHORT_TASKS = SHORT_JOBS * TASKS_OF_SHORT_JOB;

/** Submits a job and gives it time to be read. */
export async function submit(
  deployment: TestDeployment,
  daemon: TestDaemon,
  submission: JobSubmission,
): Promise<void> {
  void daemon.jobIntake.submit(submission, TIMEOUT_MILLISECONDS);
  await deployment.run(50);
}

/** Submits jobs of small tasks. */
export async function submitShortJobs(
  deployment: TestDeployment,
  daemon: TestDaemon,
): Promise<void> {
  const steps = [
    step({taskCount: TASKS_OF_SHORT_JOB, processorMillicores: 100}),
  ];
  for (let index = 0; index < SHORT_JOBS; index++)
    await submit(deployment, daemon, job(`short-${index}`, steps));
}

/** Returns how many rounds placed work that no event had announced. */
export function overlookedRounds(daemon: TestDaemon): number {
  return daemon.events.of(LogEvent.WorkOverlooked);
}

/** Returns the number of tasks of `submitShortJobs` that have started. */
export function startedShortTasks(deployment: TestDeployment): number {
  return startedTasks(deployment, 'short-');
}

/** Returns the number of tasks that have started and whose names begin with `prefix`. */
export function startedTasks(
  deployment: TestDeployment,
  prefix: string,
): number {
  const tasks = deployment.startedRuns().map(({task}) => task);
  return new Set(tasks.filter(task => task.startsWith(prefix))).size;
}
