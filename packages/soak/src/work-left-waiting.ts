import type {
  SimulatedWorker,
  StartedRun,
} from '@gentiandoor/coordinator/stand-ins';
import {RunEnd} from '@gentiandoor/jobs';
import {countBy, groupBy} from '@gentiandoor/kernel';
import {hasFailedTask} from './guarantee-violations.js';
import {isLongRunning, pause, type ObservedJob} from './soak-callers.js';
import type {SoakStep} from './workload.js';

/** For how long work must wait without interruption to count as left. */
const WAIT_MILLISECONDS = 3_000;
const SAMPLE_MILLISECONDS = 250;
/** How often the capacity for a task has to be free. */
const FREE_CAPACITY_FACTOR = 2;
/** Share of a service's capacity in use from which ordinary work may wait. */
const BUSY_SHARE = 0.5;
/** A long-running task may be away for this long after a run. */
const RESTART_MILLISECONDS = 6_000;
/** Nothing is held against a deployment this soon after a disruption. */
const CALM_MILLISECONDS = 4_000;

/** What callers and workers know. */
export interface WaitingWorkView {
  readonly jobs: readonly ObservedJob[];
  liveWorkers(): readonly SimulatedWorker[];
  startedRuns(): readonly StartedRun[];
}

/** A task that could run and does not, and since when it has been so at each sample. */
interface WaitingTask {
  readonly job: ObservedJob;
  readonly since: number;
}

/**
 * Watches a deployment without disruptions and callers, and describes each task that could run for
 * three seconds and did not: its earlier steps are done, capacity for it is free twice over, and it
 * is long-running, or its job has nothing running, under half of its service is in use, and
 * `quietMilliseconds` have passed.
 */
export async function workLeftWaiting(
  view: WaitingWorkView,
  quietMilliseconds: number,
): Promise<string[]> {
  const startedAt = performance.now();
  const until = startedAt + quietMilliseconds + WAIT_MILLISECONDS;
  const left = new Map<string, ObservedJob>();
  let waiting = new Map<string, WaitingTask>();
  await pause(CALM_MILLISECONDS);
  while (performance.now() <= until + SAMPLE_MILLISECONDS) {
    const now = performance.now();
    const isQuiet = now - startedAt >= quietMilliseconds;
    const before = waiting;
    waiting = new Map(
      [...tasksWaiting(view, now, isQuiet)].map(([task, job]) => [
        task,
        before.get(task) ?? {job, since: now},
      ]),
    );
    for (const [task, {job, since}] of waiting)
      if (now - since >= WAIT_MILLISECONDS) left.set(task, job);
    await pause(SAMPLE_MILLISECONDS);
  }
  const byService = countBy(left.values(), ({service}) => service);
  return [...left].map(
    ([task, {service}]) =>
      `${task}: left waiting beside free capacity (${byService.get(service)} of ${service})`,
  );
}

/** Returns the tasks that could run now and do not; ordinary ones only if `isQuiet`. */
function tasksWaiting(
  view: WaitingWorkView,
  now: number,
  isQuiet: boolean,
): Map<string, ObservedJob> {
  const runs = view.startedRuns();
  const runsByJob = groupBy(runs, ({task}) => jobOf(task));
  const owed = view.jobs.filter(
    job =>
      job.statuses.includes(200) &&
      !job.cancelTried &&
      (isQuiet || isLongRunning(job)) &&
      !hasFailedTask(runsByJob.get(job.id) ?? []),
  );
  const restartable = new Set(
    runs
      .filter(({endedAt = now}) => now - endedAt < RESTART_MILLISECONDS)
      .map(({task}) => task),
  );
  const waiting = waitingTasks(owed, view.liveWorkers(), doneTasksOf(runs));
  for (const [task, job] of waiting)
    if (isLongRunning(job) && restartable.has(task)) waiting.delete(task);
  return waiting;
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

/** Whether a task of a step fits twice into a pool, of which less than half is in use unless it lasts. */
function hasFreeCapacity(
  stepPrefix: string,
  {millicores, megabytes, maximumPerWorker, durationMilliseconds}: SoakStep,
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
  const isBusy =
    durationMilliseconds !== undefined && used >= BUSY_SHARE * total;
  return !isBusy && fitting >= FREE_CAPACITY_FACTOR;
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
