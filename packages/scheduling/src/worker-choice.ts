import type {StepSpecification} from '@gentiandoor/jobs';
import {
  fitsOnWorker,
  hasRequiredLabel,
  type PlacementWorker,
} from './placement-worker.js';

/** A task to be placed. */
export interface PlacementRequest {
  /** Identifies the step and its occurrence, for the limit of tasks per worker. */
  readonly stepKey: string;
  readonly step: StepSpecification;
  /** Identifies its job. */
  readonly job: string;
  readonly avoid: Avoidance;
  /**
   * Whether it must not share a worker with other jobs' tasks that may crash the
   * worker.
   */
  readonly isIsolated: boolean;
  /** Current monotonic time, in milliseconds. */
  readonly now: number;
}

/** Workers on which runs of a task have failed. */
export interface Avoidance {
  readonly workers: ReadonlySet<string>;
  /**
   * Whether the task waits rather than being placed on one of these workers; otherwise
   * they are its last choice.
   */
  readonly isMandatory: boolean;
}

/** Chooses a worker for a task. */
export interface WorkerChoice {
  /** Returns undefined if no worker can take the task now. */
  choose(
    request: PlacementRequest,
    workers: readonly PlacementWorker[],
  ): PlacementWorker | undefined;
}

/** Added to the score of a worker on the preferred rack. */
const RACK_BONUS = 10;
/** Subtracted from the score of a worker on which the task has failed before. */
const AVOID_PENALTY = 100;
/** Weight of reliability: above that of fullness, below that of the rack. */
const RELIABILITY_WEIGHT = 4;
/** Subtracted from the score for each best-effort task already on the worker. */
const BEST_EFFORT_PENALTY = 1;

/**
 * Chooses the fullest worker on which the task fits.
 * Load: bursts of short tasks next to long-running tasks, in pools that release idle
 * VMs. Without it, every VM carries a little work, none is ever idle, and the pool
 * cannot shrink. Best-effort tasks go to the emptiest worker instead, because they slow
 * down the serving tasks on the same worker.
 */
export class FullestFirst implements WorkerChoice {
  choose(
    request: PlacementRequest,
    workers: readonly PlacementWorker[],
  ): PlacementWorker | undefined {
    let best: PlacementWorker | undefined;
    let bestScore = -Infinity;
    const excluded = excludedWorkers(request, workers);
    for (const worker of workers) {
      if (excluded.has(worker.id) || !this.canPlace(request, worker)) continue;
      const score = this.score(request, worker);
      if (score <= bestScore) continue;
      best = worker;
      bestScore = score;
    }
    return best;
  }

  private canPlace(
    request: PlacementRequest,
    worker: PlacementWorker,
  ): boolean {
    const {step, stepKey} = request;
    if (!fitsOnWorker(worker, step)) return false;
    if (!this.satisfiesIsolation(request, worker)) return false;
    // A single task shows whether a suspect worker has recovered; several would all be
    // lost if it has not.
    if (worker.reliability <= 0 && worker.taskCount > 0) return false;
    if (step.maximumPerWorker === 0) return true;
    return worker.taskCountOfStep(stepKey) < step.maximumPerWorker;
  }

  private satisfiesIsolation(
    {job, isIsolated, now}: PlacementRequest,
    worker: PlacementWorker,
  ): boolean {
    const isolatedJob = worker.isolatedJob(now);
    if (isolatedJob !== undefined) return isolatedJob === job;
    return !isIsolated || !worker.hasCrashRiskFromOtherJob(job, now);
  }

  private score(request: PlacementRequest, worker: PlacementWorker): number {
    const {step, avoid} = request;
    const fullness = 1 - worker.freeMillicores / worker.totalMillicores;
    let score = step.bestEffort
      ? -fullness -
        BEST_EFFORT_PENALTY * worker.bestEffortTaskCount -
        worker.latencySensitiveTaskCount
      : fullness;
    if (step.preferredRack && worker.labels.includes(step.preferredRack))
      score += RACK_BONUS;
    if (avoid.workers.has(worker.id)) score -= AVOID_PENALTY;
    return score - RELIABILITY_WEIGHT * (1 - worker.reliability);
  }
}

/**
 * Returns the workers on which the task must not be placed because it has failed there,
 * as long as there is any other worker. In a full pool the worker that fails tasks
 * immediately is the one with free capacity, and a task used up all its attempts there.
 * The exclusion is temporary: the other workers can be full of long-running tasks, and
 * a job with one attempt left used to wait forever next to an idle worker. Long-running
 * tasks are exempt: they occasionally fail on healthy workers too and must not run out
 * of workers.
 */
function excludedWorkers(
  {step, avoid}: PlacementRequest,
  workers: readonly PlacementWorker[],
): ReadonlySet<string> {
  if (!avoid.isMandatory || step.longRunning) return NO_WORKERS;
  const other = workers.some(
    worker => !avoid.workers.has(worker.id) && hasRequiredLabel(worker, step),
  );
  return other ? avoid.workers : NO_WORKERS;
}

const NO_WORKERS: ReadonlySet<string> = new Set();
