import {
  overlappingRuns,
  pairsOfRuns,
  type StartedRun,
} from '@gentiandoor/coordinator/stand-ins';
import {RunEnd} from '@gentiandoor/jobs';
import {groupBy} from '@gentiandoor/kernel';
import {isLongRunning, taskCountOf, type ObservedJob} from './soak-callers.js';

const REFUSED_STATUSES = [429, 503];
/** No task starts later than this after the cancellation of its job was answered. */
const LATEST_START_MILLISECONDS = 4_000;
/** Attempts of a task in the queues of the stand-in platform. */
const MAXIMUM_ATTEMPTS = 3;

/** Returns a description of each guarantee that a soak violated. */
export function guaranteeViolations(
  jobs: readonly ObservedJob[],
  runs: readonly StartedRun[],
): string[] {
  const runsByJob = groupBy(runs, ({task}) => task.split('.')[0]);
  return [
    ...overlappingRuns(runs),
    ...runsAfterAcknowledgedEnd(runs),
    ...jobs.flatMap(job => violationsOf(job, runsByJob.get(job.id) ?? [])),
  ];
}

function violationsOf(job: ObservedJob, own: readonly StartedRun[]): string[] {
  const allRefused =
    job.unanswered === 0 &&
    job.statuses.every(status => REFUSED_STATUSES.includes(status));
  if (allRefused && own.length > 0) return [`${job.id}: refused and run`];
  if (job.cancelledAt !== undefined)
    return runsAfterCancellation(job.id, job.cancelledAt, own);
  if (!job.statuses.includes(200)) return [];
  // A cancellation without a response may or may not have been stored.
  if (job.cancelTried && job.state === 'cancelled') return [];
  if (job.state === 'failed' && hasFailedTask(own)) return [];
  const done = new Set(
    own.filter(run => run.end === RunEnd.Done).map(run => run.task),
  ).size;
  const tasks = taskCountOf(job);
  if (job.state === 'completed' && done < tasks)
    return [`${job.id}: shown as completed with ${done} of ${tasks} tasks`];
  return job.state === (isLongRunning(job) ? 'running' : 'completed')
    ? []
    : [`${job.id}: taken and ${job.state ?? 'never answered'}`];
}

function runsAfterCancellation(
  id: string,
  cancelledAt: number,
  own: readonly StartedRun[],
): string[] {
  const late = own.filter(
    run => run.startedAt - cancelledAt > LATEST_START_MILLISECONDS,
  );
  const alive = own.filter(run => run.endedAt === undefined);
  return [
    ...late.map(run => `${run.task}: started late after its cancellation`),
    ...(alive.length > 0 ? [`${id}: cancelled and still running`] : []),
  ];
}

/** Whether a task ended as failed as often as the stand-in platform's queues allow. */
export function hasFailedTask(runs: readonly StartedRun[]): boolean {
  const failures = new Map<string, number>();
  for (const {task, end} of runs)
    if (end === RunEnd.Failed)
      failures.set(task, (failures.get(task) ?? 0) + 1);
  return Math.max(0, ...failures.values()) >= MAXIMUM_ATTEMPTS;
}

function runsAfterAcknowledgedEnd(runs: readonly StartedRun[]): string[] {
  return pairsOfRuns(runs)
    .filter(
      ([one, other]) =>
        one.end === RunEnd.Done &&
        (one.acknowledgedAt ?? Infinity) <= other.startedAt,
    )
    .map(([one, other]) => `${one.task}: run ${other.run} after it was done`);
}
