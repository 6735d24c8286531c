import type {BegunRun} from '@gentiandoor/coordinator/stand-ins';
import {RunEnd} from '@gentiandoor/jobs';
import type {CalledJob} from './soak-callers.js';

const REFUSED_STATUSES = [429, 503];

/** Promises that a soak found broken, in words. */
export function brokenPromises(
  jobs: readonly CalledJob[],
  runs: readonly BegunRun[],
): string[] {
  return [
    ...runsTogether(runs),
    ...runsAfterAcknowledgedEnd(runs),
    ...jobs.flatMap(job => brokenFor(job, runs)),
  ];
}

function brokenFor(job: CalledJob, runs: readonly BegunRun[]): string[] {
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
  // A cancellation without an answer may have been stored, or not.
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

function runsTogether(runs: readonly BegunRun[]): string[] {
  return pairsOf(runs)
    .filter(([one, other]) => other.begunAt < (one.endedAt ?? Infinity))
    .map(
      ([one, other]) => `${one.task}: runs ${one.run} and ${other.run} overlap`,
    );
}

function runsAfterAcknowledgedEnd(runs: readonly BegunRun[]): string[] {
  return pairsOf(runs)
    .filter(
      ([one, other]) =>
        one.end === RunEnd.Done &&
        (one.acknowledgedAt ?? Infinity) <= other.begunAt,
    )
    .map(([one, other]) => `${one.task}: run ${other.run} after it was done`);
}

function pairsOf(runs: readonly BegunRun[]): Array<[BegunRun, BegunRun]> {
  const sorted = [...runs].sort((one, other) => one.begunAt - other.begunAt);
  const pairs: Array<[BegunRun, BegunRun]> = [];
  const earlier = new Map<string, BegunRun[]>();
  for (const run of sorted) {
    const same = earlier.get(run.task) ?? [];
    for (const one of same) pairs.push([one, run]);
    earlier.set(run.task, [...same, run]);
  }
  return pairs;
}
