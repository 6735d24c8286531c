import type {
  SimulatedWorker,
  StartedRun,
} from '@gentiandoor/coordinator/stand-ins';
import {RunEnd} from '@gentiandoor/jobs';
import {groupBy} from '@gentiandoor/kernel';
import {hasFailedTask} from './guarantee-violations.js';
import {pause, type ObservedJob} from './soak-callers.js';
import type {SoakStep} from './workload.js';

/** For how long work must wait without interruption to count as left. */
const WAIT_MILLISECONDS = 3_000;
const SAMPLE_MILLISECONDS = 250;
/** How often the capacity for a task has to be free. */
const FREE_CAPACITY_FACTOR = 2;
/** Share of a service's capacity in use from which work may wait. */
const BUSY_SHARE = 0.5;

/** Returns the workers that are alive now. */
export type LiveWorkers = () => readonly SimulatedWorker[];

/**
 * Samples for three seconds, and describes each task that could run all the while and did not:
 * its job has nothing running, or it is long-running, its earlier steps are done, capacity for it is
 * free twice over, and under half of its service is in use.
 */
export async function workLeftWaiting(
  jobs: readonly ObservedJob[],
  liveWorkers: LiveWorkers,
  startedRuns: () => readonly StartedRun[],
): Promise<string[]> {
  const until = performance.now() + WAIT_MILLISECONDS;
  let left: Map<string, ObservedJob> | undefined;
  while (performance.now() < until && left?.size !== 0) {
    const runs = startedRuns();
    const runsByJob = groupBy(runs, ({task}) => jobOf(task));
    const owed = jobs.filter(
      job =>
        job.statuses.includes(200) &&
        !job.cancelTried &&
        !hasFailedTask(runsByJob.get(job.id) ?? []),
    );
    const waiting = waitingTasks(owed, liveWorkers(), doneTasksOf(runs));
    left = left
      ? new Map([...left].filter(([task]) => waiting.has(task)))
      : waiting;
    await pause(SAMPLE_MILLISECONDS);
  }
  const byService = new Map<string, number>();
  for (const {service} of left?.values() ?? [])
    byService.set(service, (byService.get(service) ?? 0) + 1);
  return [...(left ?? [])].map(
    ([task, {service}]) =>
      `${task}: left waiting beside free capacity (${byService.get(service)} of ${service})`,
  );
}

function waitingTasks(
  jobs: readonly ObservedJob[],
  workers: readonly SimulatedWorker[],
  done: ReadonlySet<string>,
): Map<string, ObservedJob> {
  const running = new Set(
    workers.flatMap(worker => worker.running.map(({task}) => task)),
  );
  const runningJobs = new Set([...running].map(jobOf));
  const waiting = new Map<string, ObservedJob>();
  for (const job of jobs) {
    const pool = workers.filter(({service}) => service === job.service);
    for (const [index, step] of job.steps.entries()) {
      const isLongRunning = step.durationMilliseconds === undefined;
      if (runningJobs.has(job.id) && !isLongRunning) continue;
      if (!hasFreeCapacity(`${job.id}.0.${index}.`, step, pool)) continue;
      for (const task of readyTasks(job, index, done))
        if (!running.has(task)) waiting.set(task, job);
    }
  }
  return waiting;
}

function jobOf(task: string): string {
  return task.slice(0, task.indexOf('.'));
}

function readyTasks(
  {id, steps}: ObservedJob,
  index: number,
  done: ReadonlySet<string>,
): string[] {
  const namesOf = (step: number) =>
    Array.from({length: steps[step].tasks}, (_, i) => `${id}.0.${step}.${i}`);
  const isReady = steps[index].after.every(earlier =>
    namesOf(earlier).every(name => done.has(name)),
  );
  return isReady ? namesOf(index).filter(name => !done.has(name)) : [];
}

/** Whether a task of a step fits twice into a pool of which less than half is in use. */
function hasFreeCapacity(
  stepPrefix: string,
  {millicores, megabytes, maximumPerWorker}: SoakStep,
  pool: readonly SimulatedWorker[],
): boolean {
  const total = sum(pool, ({capacity}) => capacity.processorMillicores);
  const used = sum(pool, worker => worker.used.processorMillicores);
  const fitting = sum(pool, ({capacity, used, running}) => {
    const byProcessor = capacity.processorMillicores - used.processorMillicores;
    const byMemory = capacity.memoryMegabytes - used.memoryMegabytes;
    const here = running.filter(({task}) => task.startsWith(stepPrefix)).length;
    return Math.min(
      Math.floor(byProcessor / millicores),
      Math.floor(byMemory / megabytes),
      maximumPerWorker === 0 ? Infinity : maximumPerWorker - here,
    );
  });
  return used < BUSY_SHARE * total && fitting >= FREE_CAPACITY_FACTOR;
}

function sum<Item>(
  items: readonly Item[],
  valueOf: (item: Item) => number,
): number {
  return items.reduce((total, item) => total + valueOf(item), 0);
}

function doneTasksOf(runs: readonly StartedRun[]): ReadonlySet<string> {
  return new Set(
    runs.filter(({end}) => end === RunEnd.Done).map(({task}) => task),
  );
}
