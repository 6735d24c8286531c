import type {Resources} from './organisation.js';
import {isWithin} from './resource-reservations.js';

/** The part of a step that says what must run together. */
export interface StepResources extends Resources {
  readonly taskCount: number;
  /** The tasks work only together. */
  readonly gang: boolean;
}

/**
 * Whether each step of a job can run at some time within a limit.
 * Load: a job whose single task, or whose gang, asks for more than its organisation may ever have. Taken in it
 * would wait for room that never comes; its caller is better told at once.
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
