import {
  mayCrashWorker,
  dominantResourceMillicores,
  type PlacementWorker,
} from '@gentiandoor/scheduling';
import {aliveSince, type LiveRun} from './live-run.js';
import type {Resources, WorkerEntry} from './worker-gateway.js';

/** What a placement sees of a worker that carries `runs`. */
export function placementView(
  entry: WorkerEntry,
  runs: readonly LiveRun[],
  trust: number,
): PlacementWorker {
  const {capacity: room} = entry;
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
      room.processorMillicores -
      sum(step => (step.bestEffort ? 0 : step.processorMillicores)),
    freeMegabytes: room.memoryMegabytes - sum(step => step.memoryMegabytes),
    freeAccelerators: room.accelerators - sum(step => step.accelerators),
    totalMillicores: Math.max(1, room.processorMillicores),
    latencySensitiveTaskCount: steps.filter(step => step.targetMilliseconds > 0)
      .length,
    bestEffortTasks: steps.filter(step => step.bestEffort).length,
    tasks: runs.length,
    reliability: trust,
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

/** Millicores that runs on a worker with `room` take away, weighed by what the work is still worth. */
export function weightedMillicores(
  runs: Iterable<LiveRun>,
  room: Resources,
): number {
  let sum = 0;
  for (const {weight, executableTask: taskOfJob} of runs)
    sum += weight * dominantResourceMillicores(taskOfJob.specification, room);
  return sum;
}

/** Whether a long-running task is among the runs. */
export function hasLongRunningTask(runs: Iterable<LiveRun>): boolean {
  for (const {executableTask: taskOfJob} of runs)
    if (taskOfJob.specification.longRunning) return true;
  return false;
}
