import {RunEnd} from '@gentiandoor/jobs';
import type {StartedRun} from './simulated-worker.js';

/** Returns all pairs of runs of one task, the earlier run first. */
export function pairsOfRuns(
  runs: readonly StartedRun[],
): Array<[StartedRun, StartedRun]> {
  const sorted = [...runs].sort(
    (one, other) => one.startedAt - other.startedAt,
  );
  const earlier = new Map<string, StartedRun[]>();
  const pairs: Array<[StartedRun, StartedRun]> = [];
  for (const run of sorted) {
    const same = earlier.get(run.task) ?? [];
    for (const one of same) pairs.push([one, run]);
    earlier.set(run.task, [...same, run]);
  }
  return pairs;
}

/** Describes the runs of one task that were alive at the same time. */
export function overlappingRuns(runs: readonly StartedRun[]): string[] {
  return pairsOfRuns(runs)
    .filter(([one, other]) => other.startedAt < (one.endedAt ?? Infinity))
    .map(
      ([one, other]) =>
        `${one.task}: runs ${one.run} and ${other.run} at the same time`,
    );
}

/**
 * Returns the maximum number of runs that were alive right after one of them began, of
 * those that began at `from` or later.
 */
export function maximumConcurrentRuns(
  runs: readonly StartedRun[],
  from = 0,
): number {
  const counts = runs
    .filter(run => run.startedAt >= from)
    .map(({startedAt}) => aliveAt(runs, startedAt));
  return Math.max(0, ...counts);
}

function aliveAt(runs: readonly StartedRun[], at: number): number {
  return runs.filter(
    run => run.startedAt <= at && at < (run.endedAt ?? Infinity),
  ).length;
}

/**
 * Returns how many runs of a task were started after `crashes` of its runs had ended with
 * a crash of their worker. A run whose start order was sent more than once can be started
 * again by the next incarnation of its worker; it counts as one.
 */
export function startsAfterCrashes(
  runs: readonly StartedRun[],
  task: string,
  crashes: number,
): number {
  const own = runs.filter(run => run.task === task);
  const firstCrashes = new Map<number, number>();
  for (const {run, end, endedAt = Infinity} of own)
    if (end === RunEnd.Crashed)
      firstCrashes.set(
        run,
        Math.min(endedAt, firstCrashes.get(run) ?? endedAt),
      );
  const counted = [...firstCrashes]
    .sort(([, left], [, right]) => left - right)
    .slice(0, crashes);
  const countedFrom = counted[crashes - 1]?.[1] ?? Infinity;
  // A run that crashes in the moment in which it starts does not come after its own crash.
  const before = new Set([
    ...counted.map(([run]) => run),
    ...own.filter(run => run.startedAt < countedFrom).map(({run}) => run),
  ]);
  const started = new Set(own.map(({run}) => run));
  return [...started].filter(run => !before.has(run)).length;
}
