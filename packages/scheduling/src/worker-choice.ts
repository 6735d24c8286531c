import type {StepSpecification} from '@gentiandoor/jobs';
import {
  fitsOnWorker,
  hasRequiredLabel,
  type PlacementWorker,
} from './placement-worker.js';

/** A task that is to be placed. */
export interface PlacementRequest {
  /** Names the step of the occurrence, for the bound of tasks on one worker. */
  readonly stepKey: string;
  readonly step: StepSpecification;
  /** Names its job. */
  readonly job: string;
  readonly avoid: Avoidance;
  /** Whether it is kept apart from other jobs' tasks that may crash the worker. */
  readonly isIsolated: boolean;
  /** Monotonic milliseconds. */
  readonly now: number;
}

/** Workers on which runs of a task have failed. */
export interface Avoidance {
  readonly workers: ReadonlySet<string>;
  /** The task rather waits than goes there; else they are its last choice. */
  readonly isMandatory: boolean;
}

/** Chooses a worker for a task. */
export interface WorkerChoice {
  /** Undefined when no worker can take the task now. */
  choose(
    request: PlacementRequest,
    workers: readonly PlacementWorker[],
  ): PlacementWorker | undefined;
}

/** Added for a worker on the preferred rack. */
const RACK_BONUS = 10;
/** Subtracted for a worker on which the task has failed before. */
const AVOID_PENALTY = 100;
/** Weight of trust: above fullness, below the rack. */
const RELIABILITY_WEIGHT = 4;
/** Subtracted per best-effort task already on the worker. */
const BEST_EFFORT_PENALTY = 1;

/**
 * Fullest worker that fits.
 * Load: bursts of short tasks beside long-running tasks, in pools that give VMs away when they idle.
 * Without it every VM carries a little, none is ever idle, and the pool can't shrink. Best-effort
 * tasks go to the emptiest worker instead, since they slow down what serves beside them.
 */
export class FullestFirst implements WorkerChoice {
  choose(
    request: PlacementRequest,
    workers: readonly PlacementWorker[],
  ): PlacementWorker | undefined {
    let best: PlacementWorker | undefined;
    let bestScore = -Infinity;
    const barred = excludedWorkers(request, workers);
    for (const worker of workers) {
      if (barred.has(worker.id) || !this.allowed(request, worker)) continue;
      const score = this.score(request, worker);
      if (score <= bestScore) continue;
      best = worker;
      bestScore = score;
    }
    return best;
  }

  private allowed(request: PlacementRequest, worker: PlacementWorker): boolean {
    const {step, stepKey} = request;
    if (!fitsOnWorker(worker, step)) return false;
    if (!this.allowedBeside(request, worker)) return false;
    // A suspect shows with one task at a time whether it is well again; more would be lost on it.
    if (worker.reliability <= 0 && worker.tasks > 0) return false;
    if (step.maximumPerWorker === 0) return true;
    return worker.taskCountOfStep(stepKey) < step.maximumPerWorker;
  }

  private allowedBeside(
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
        BEST_EFFORT_PENALTY * worker.bestEffortTasks -
        worker.latencySensitiveTaskCount
      : fullness;
    if (step.preferredRack && worker.labels.includes(step.preferredRack))
      score += RACK_BONUS;
    if (avoid.workers.has(worker.id)) score -= AVOID_PENALTY;
    return score - RELIABILITY_WEIGHT * (1 - worker.reliability);
  }
}

/**
 * Workers on which the task has failed, for a while and while there is any other: in a full pool the
 * worker that fails at once is the one with room, and a task used up its attempts there. Not for good: the
 * others can be full of tasks that last, and a job with one attempt left waited beside an idle worker for
 * ever. A task that lasts fails now and then on sound workers too and must not run out of them.
 */
function excludedWorkers(
  {step, avoid}: PlacementRequest,
  workers: readonly PlacementWorker[],
): ReadonlySet<string> {
  if (!avoid.isMandatory || step.longRunning) return NONE;
  const other = workers.some(
    worker => !avoid.workers.has(worker.id) && hasRequiredLabel(worker, step),
  );
  return other ? avoid.workers : NONE;
}

const NONE: ReadonlySet<string> = new Set();
