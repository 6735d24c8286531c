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
