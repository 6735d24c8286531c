import type {StepSpecification} from '@gentiandoor/jobs';

/** From this number of misses on, only tasks are tried that may fit where the missed ones do not. */
const MAXIMUM_MISSES = 12;

/**
 * The steps that found a pool full during one round of placement.
 * Load: thousands of tasks wait for a full pool. Without a limit, each round tries all of them on
 * each worker. With a limit alone, large tasks at the head keep small ones waiting beside capacity
 * that only these can use.
 */
export class PlacementMisses {
  private count = 0;
  /** Steps that missed, without those that request as much as another one or more. */
  private smallest: StepSpecification[] = [];

  /** Records a step that found the pool full. */
  note(step: StepSpecification): void {
    this.count++;
    if (this.smallest.some(missed => requestsAsMuch(step, missed))) return;
    this.smallest = this.smallest.filter(
      missed => !requestsAsMuch(missed, step),
    );
    this.smallest.push(step);
  }

  /** Returns whether it is futile to try a step. */
  ruleOut(step: StepSpecification): boolean {
    // Long-running tasks are few, and their absence is noticed at once.
    if (step.longRunning || this.count < MAXIMUM_MISSES) return false;
    return this.smallest.some(missed => requestsAsMuch(step, missed));
  }
}

/** Returns whether a worker that is too full for `missed` is too full for `step` as well. */
function requestsAsMuch(
  step: StepSpecification,
  missed: StepSpecification,
): boolean {
  return (
    (missed.requiredLabel === '' ||
      missed.requiredLabel === step.requiredLabel) &&
    millicoresOf(step) >= millicoresOf(missed) &&
    step.memoryMegabytes >= missed.memoryMegabytes &&
    step.accelerators >= missed.accelerators
  );
}

function millicoresOf(step: StepSpecification): number {
  return step.bestEffort ? 0 : step.processorMillicores;
}
