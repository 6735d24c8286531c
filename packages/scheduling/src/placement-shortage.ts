import {
  fitsOnWorker,
  wouldFitOnIdleWorker,
  type PlacementWorker,
} from './placement-worker.js';
import type {PlacementRequest} from './worker-choice.js';

/** What keeps a task from being placed now. */
export enum PlacementShortage {
  /** The service has no worker that accepts starts. */
  NoWorker = 'no_worker',
  /** No worker has the required label and is large enough. */
  NoSuitableWorker = 'no_suitable_worker',
  /** Each suitable worker has as many tasks of the step as it may have. */
  SpreadLimit = 'spread_limit',
  /** The suitable workers lack free capacity. */
  Capacity = 'capacity',
  /** Capacity is free only where the task must not start for now. */
  Restricted = 'restricted',
}

/** From this share of its capacity in use on, a pool may leave tasks that would still fit. */
const BUSY_SHARE = 0.5;

/**
 * Returns whether a shortage indicates that the pool is full, so that trying further tasks is mostly
 * futile.
 * Load: jobs that wait for one worker or label, or for more workers than there are, beside a pool
 * that is nearly idle. Without it, enough of them keep all other jobs from being tried.
 */
export function indicatesFullPool(
  shortage: PlacementShortage,
  workers: readonly PlacementWorker[],
): boolean {
  switch (shortage) {
    case PlacementShortage.NoWorker:
      return true;
    case PlacementShortage.Capacity:
    case PlacementShortage.Restricted:
      return isBusy(workers);
    default:
      return false;
  }
}

function isBusy(workers: readonly PlacementWorker[]): boolean {
  const sum = (valueOf: (worker: PlacementWorker) => number) =>
    workers.reduce((total, worker) => total + valueOf(worker), 0);
  const freeShare = 1 - BUSY_SHARE;
  return (
    sum(worker => worker.freeMillicores) <=
      freeShare * sum(worker => worker.totalMillicores) ||
    sum(worker => worker.freeMegabytes) <=
      freeShare * sum(worker => worker.totalMegabytes)
  );
}

/** Returns what keeps a task that found no worker from being placed. */
export function shortageOf(
  {step, stepKey}: PlacementRequest,
  workers: readonly PlacementWorker[],
): PlacementShortage {
  if (workers.length === 0) return PlacementShortage.NoWorker;
  const suitable = workers.filter(worker => wouldFitOnIdleWorker(worker, step));
  if (suitable.length === 0) return PlacementShortage.NoSuitableWorker;
  const open = suitable.filter(
    worker =>
      step.maximumPerWorker === 0 ||
      worker.taskCountOfStep(stepKey) < step.maximumPerWorker,
  );
  if (open.length === 0) return PlacementShortage.SpreadLimit;
  return open.some(worker => fitsOnWorker(worker, step))
    ? PlacementShortage.Restricted
    : PlacementShortage.Capacity;
}
