import type {StepSpecification} from '@gentiandoor/jobs';

/** A worker and its free capacity, as seen by placement. */
export interface PlacementWorker {
  readonly id: string;
  readonly dataCentre: string;
  /** Include the rack and the kind of the worker. */
  readonly labels: readonly string[];
  readonly freeMillicores: number;
  readonly freeMegabytes: number;
  readonly freeAccelerators: number;
  readonly totalMillicores: number;
  readonly totalMegabytes: number;
  readonly totalAccelerators: number;
  /** Number of long-running tasks on it that serve requests. */
  readonly latencySensitiveTaskCount: number;
  /** Number of tasks on it that use only processor time left over by others. */
  readonly bestEffortTaskCount: number;
  /** Number of all tasks on it. */
  readonly taskCount: number;
  /** Reliability in [0, 1]; a worker with 0 takes one task at a time. */
  readonly reliability: number;
  /** Returns the number of tasks of a step on it. */
  taskCountOfStep(stepKey: string): number;
  /** Returns the job whose task is isolated on it; undefined if there is none. */
  isolatedJob(now: number): string | undefined;
  /**
   * Whether a task of a job other than `job` has started on it so recently that it may
   * still crash the worker.
   */
  hasCrashRiskFromOtherJob(job: string, now: number): boolean;
}

/**
 * Whether the worker has the required label and enough free capacity for a task of
 * `step`.
 */
export function fitsOnWorker(
  worker: PlacementWorker,
  step: StepSpecification,
): boolean {
  if (!hasRequiredLabel(worker, step)) return false;
  if (worker.freeMegabytes < step.memoryMegabytes) return false;
  if (worker.freeAccelerators < step.accelerators) return false;
  return step.bestEffort || worker.freeMillicores >= step.processorMillicores;
}

/** Whether a task of `step` would fit on the worker if nothing else ran there. */
export function wouldFitOnIdleWorker(
  worker: PlacementWorker,
  step: StepSpecification,
): boolean {
  return fitsOnWorker(
    {
      ...worker,
      freeMillicores: worker.totalMillicores,
      freeMegabytes: worker.totalMegabytes,
      freeAccelerators: worker.totalAccelerators,
    },
    step,
  );
}

/** Whether a worker has the label that `step` requires, if any. */
export function hasRequiredLabel(
  worker: PlacementWorker,
  step: StepSpecification,
): boolean {
  return !step.requiredLabel || worker.labels.includes(step.requiredLabel);
}
