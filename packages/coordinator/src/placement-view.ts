import {
  mayCrashWorker,
  dominantResourceMillicores,
  type PlacementWorker,
} from '@gentiandoor/scheduling';
import {aliveSince, type LiveRun} from './live-run.js';
import type {Resources, WorkerEntry} from './worker-gateway.js';

/** Returns the view of a worker that placement decisions use, given the runs on it. */
export function placementView(
  entry: WorkerEntry,
  runs: readonly LiveRun[],
  reliability: number,
): PlacementWorker {
  const {capacity} = entry;
  const counts = new Map<string, number>();
  for (const {stepKey} of runs)
    counts.set(stepKey, (counts.get(stepKey) ?? 0) + 1);
  const isolated = runs.filter(run => run.isIsolated);
  const steps = runs.map(run => run.executableTask.specification);
  const sum = (of: (step: (typeof steps)[number]) => number) =>
    steps.reduce((total, step) => total + of(step), 0);
  return {
    id: entry.id,
    dataCentre: entry.dataCentre,
    labels: entry.labels,
    freeMillicores:
      capacity.processorMillicores -
      sum(step => (step.bestEffort ? 0 : step.processorMillicores)),
    freeMegabytes: capacity.memoryMegabytes - sum(step => step.memoryMegabytes),
    freeAccelerators: capacity.accelerators - sum(step => step.accelerators),
    totalMillicores: Math.max(1, capacity.processorMillicores),
    totalMegabytes: capacity.memoryMegabytes,
    totalAccelerators: capacity.accelerators,
    latencySensitiveTaskCount: steps.filter(step => step.targetMilliseconds > 0)
      .length,
    bestEffortTaskCount: steps.filter(step => step.bestEffort).length,
    taskCount: runs.length,
    reliability,
    taskCountOfStep: stepKey => counts.get(stepKey) ?? 0,
    isolatedJob: now =>
      isolated.find(run => mayCrashWorker(aliveSince(run), now))?.execution.job
        .id,
    hasCrashRiskFromOtherJob: (job, now) =>
      runs.some(
        run =>
          run.execution.job.id !== job && mayCrashWorker(aliveSince(run), now),
      ),
  };
}

/**
 * Returns the millicores that runs take from a worker with `capacity`, weighted by what
 * their results are still worth.
 */
export function weightedMillicores(
  runs: Iterable<LiveRun>,
  capacity: Resources,
): number {
  let sum = 0;
  for (const {weight, executableTask} of runs)
    sum +=
      weight *
      dominantResourceMillicores(executableTask.specification, capacity);
  return sum;
}

/** Returns whether any of the runs belongs to a long-running task. */
export function hasLongRunningTask(runs: Iterable<LiveRun>): boolean {
  for (const {executableTask} of runs)
    if (executableTask.specification.longRunning) return true;
  return false;
}
