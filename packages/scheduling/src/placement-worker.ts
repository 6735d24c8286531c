import type {StepSpecification} from '@gentiandoor/jobs';

/** What a worker can still take, as a placement sees it. */
export interface PlacementWorker {
  readonly id: string;
  readonly dataCentre: string;
  /** Rack and kind among others. */
  readonly labels: readonly string[];
  readonly freeMillicores: number;
  readonly freeMegabytes: number;
  readonly freeAccelerators: number;
  readonly totalMillicores: number;
  /** Long-running tasks that serve on it. */
  readonly latencySensitiveTaskCount: number;
  /** Tasks on it that use processor time that others leave. */
  readonly bestEffortTasks: number;
  /** All tasks on it. */
  readonly tasks: number;
  /** Share of trust in [0, 1]; 0 takes one task at a time. */
  readonly reliability: number;
  /** Tasks of a step on it. */
  taskCountOfStep(stepKey: string): number;
  /** Job whose task is kept apart on it; undefined for none. */
  isolatedJob(now: number): string | undefined;
  /** Whether a task of another job than `job` has not run on it for long. */
  hasCrashRiskFromOtherJob(job: string, now: number): boolean;
}

/** Whether a task of `step` fits. */
export function fitsOnWorker(
  worker: PlacementWorker,
  step: StepSpecification,
): boolean {
  if (!hasRequiredLabel(worker, step)) return false;
  if (worker.freeMegabytes < step.memoryMegabytes) return false;
  if (worker.freeAccelerators < step.accelerators) return false;
  return step.bestEffort || worker.freeMillicores >= step.processorMillicores;
}

/** Whether a worker is of the kind that `step` asks for. */
export function hasRequiredLabel(
  worker: PlacementWorker,
  step: StepSpecification,
): boolean {
  return !step.requiredLabel || worker.labels.includes(step.requiredLabel);
}
