import type {StepSpecification} from './job.js';

/**
 * A step of one short task without special requirements, from which tests and examples
 * derive theirs.
 */
export const PLAIN_STEP: StepSpecification = {
  taskCount: 1,
  processorMillicores: 1_000,
  memoryMegabytes: 100,
  accelerators: 0,
  estimatedMilliseconds: 500,
  after: [],
  checkpointing: false,
  gang: false,
  sameRack: false,
  requiredLabel: '',
  preferredRack: '',
  maximumPerWorker: 0,
  speculative: false,
  longRunning: false,
  image: '',
  targetMilliseconds: 0,
  bestEffort: false,
  mayMiss: 0,
};
