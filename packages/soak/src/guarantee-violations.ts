import {
  overlappingRuns,
  pairsOfRuns,
  type StartedRun,
} from '@gentiandoor/coordinator/stand-ins';
import {RunEnd} from '@gentiandoor/jobs';
import type {ObservedJob} from './soak-callers.js';

const REFUSED_STATUSES = [429, 503];

/** Returns a description of each guarantee that a soak violated. */
export function guaranteeViolations(
  jobs: readonly ObservedJob[],
  runs: readonly StartedRun[],
): string[] {
  return [
    ...overlappingRuns(runs),
    ...runsAfterAcknowledgedEnd(runs),
    ...jobs.flatMap(job => violationsOf(job, runs)),
  ];
}

function violationsOf(job: ObservedJob, runs: readonly StartedRun[]): string[] {
  const own = runs.filter(run => run.task.startsWith(`${job.id}.`));
  const allRefused =
    job.unanswered === 0 &&
    job.statuses.every(status => REFUSED_STATUSES.includes(status));
  if (allRefused && own.length > 0) return [`${job.id}: refused and run`];
  if (!job.statuses.includes(200)) return [];
  if (job.cancelled)
    return own.some(run => run.endedAt === undefined)
      ? [`${job.id}: cancelled and still running`]
      : [];
  // A cancellation without a response may or may not have been stored.
  if (job.cancelTried && job.state === 'cancelled') return [];
  const done = new Set(
    own.filter(run => run.end === RunEnd.Done).map(run => run.task),
  ).size;
  if (job.state === 'completed' && done < job.tasks)
    return [`${job.id}: shown as completed with ${done} of ${job.tasks} tasks`];
  return job.state === 'completed'
    ? []
    : [`${job.id}: taken and ${job.state ?? 'never answered'}`];
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
