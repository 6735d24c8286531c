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
  readonly servingTasks: number;
  /** Tasks on it that use processor time that others leave. */
  readonly bestEffortTasks: number;
  /** Share of trust in [0, 1]; 0 takes nothing while another can. */
  readonly trust: number;
  /** Tasks of a step on it. */
  countOf(stepKey: string): number;
}

/** Whether a task of `step` fits. */
export function fits(
  worker: PlacementWorker,
  step: StepSpecification,
): boolean {
  if (step.requiredLabel && !worker.labels.includes(step.requiredLabel))
    return false;
  if (worker.freeMegabytes < step.memoryMegabytes) return false;
  if (worker.freeAccelerators < step.accelerators) return false;
  return step.bestEffort || worker.freeMillicores >= step.processorMillicores;
}
