import type {Resources} from './organisation.js';
import {isWithin} from './resource-reservations.js';

/** The part of a step that determines which resources are needed at the same time. */
export interface StepResources extends Resources {
  readonly taskCount: number;
  /** The tasks can only run together. */
  readonly gang: boolean;
}

/**
 * Returns whether each step of a job can ever run within a limit.
 * Load: a job whose single task or whose gang needs more than its organisation may ever
 * have. Without this check, the job is accepted and waits for capacity that never
 * becomes available. An immediate rejection informs its caller instead.
 */
export function canEverRun(
  steps: readonly StepResources[],
  limit: Resources,
): boolean {
  return steps.every(step => isWithin(concurrentResources(step), limit));
}

function concurrentResources(step: StepResources): Resources {
  const tasks = step.gang ? step.taskCount : 1;
  return {
    processorMillicores: tasks * step.processorMillicores,
    memoryMegabytes: tasks * step.memoryMegabytes,
    accelerators: tasks * step.accelerators,
  };
}
