import type {BegunRun} from './simulated-worker.js';

/** Pairs of runs of one task, the earlier first. */
export function pairsOfRuns(
  runs: readonly BegunRun[],
): Array<[BegunRun, BegunRun]> {
  const sorted = [...runs].sort((one, other) => one.begunAt - other.begunAt);
  const earlier = new Map<string, BegunRun[]>();
  const pairs: Array<[BegunRun, BegunRun]> = [];
  for (const run of sorted) {
    const same = earlier.get(run.task) ?? [];
    for (const one of same) pairs.push([one, run]);
    earlier.set(run.task, [...same, run]);
  }
  return pairs;
}

/** Runs of one task that were alive at the same time, in words. */
export function overlappingRuns(runs: readonly BegunRun[]): string[] {
  return pairsOfRuns(runs)
    .filter(([one, other]) => other.begunAt < (one.endedAt ?? Infinity))
    .map(
      ([one, other]) =>
        `${one.task}: runs ${one.run} and ${other.run} at the same time`,
    );
}
