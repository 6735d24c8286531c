import {RunningMean, type MeanSnapshot} from './running-mean.js';

/** Maximum number of recent steps in the average. */
const AVERAGED_STEPS = 60;
/** Minimum number of steps before estimates are corrected. */
const MINIMUM_STEPS = 4;
/** Maximum number of unfinished steps that are tracked. */
const MAXIMUM_OPEN_STEPS = 2_000;
/** Minimum number of tasks of a step that is taken into account. */
const MINIMUM_TASKS = 3;

interface OpenStep {
  count: number;
  sum: number;
  longest: number;
}

/**
 * Learns how much longer the slowest task of a step takes than a typical one.
 * Load: steps of eight tasks or more, each of which ends with its slowest task. Without
 * it, the critical path of a job, and with it the time that its caller allows, is
 * estimated a third too short: jobs that can still finish in time count as late and
 * wait behind all others.
 */
export class StragglerModel {
  private readonly openSteps = new Map<string, OpenStep>();
  private readonly excess = new RunningMean(AVERAGED_STEPS);
  private steps = 0;

  get snapshot(): MeanSnapshot {
    return {count: this.steps, mean: this.excess.value};
  }

  /** Continues from the learned state of another model. */
  restore(snapshot: MeanSnapshot): void {
    this.steps = snapshot.count;
    this.excess.restore(snapshot);
  }

  /** Records the run time of one of a step's `taskCount` tasks. */
  observe(stepKey: string, taskCount: number, milliseconds: number): void {
    if (taskCount < MINIMUM_TASKS) return;
    const step = this.openSteps.get(stepKey) ?? {count: 0, sum: 0, longest: 0};
    step.count++;
    step.sum += milliseconds;
    step.longest = Math.max(step.longest, milliseconds);
    if (step.count < taskCount) this.keepOpen(stepKey, step);
    else this.close(stepKey, step);
  }

  /**
   * Returns the expected run time of the slowest of `taskCount` tasks as a multiple of
   * a typical task's run time.
   */
  stragglerFactor(taskCount: number): number {
    if (this.steps < MINIMUM_STEPS) return 1;
    return 1 + this.excess.value * expectedMaximumDeviation(taskCount);
  }

  private keepOpen(stepKey: string, step: OpenStep): void {
    this.openSteps.set(stepKey, step);
    if (this.openSteps.size <= MAXIMUM_OPEN_STEPS) return;
    const [oldest] = this.openSteps.keys();
    this.openSteps.delete(oldest);
  }

  private close(stepKey: string, {count, sum, longest}: OpenStep): void {
    this.openSteps.delete(stepKey);
    const mean = sum / count;
    if (mean <= 0) return;
    this.steps++;
    this.excess.observe((longest / mean - 1) / expectedMaximumDeviation(count));
  }
}

/**
 * Returns how many standard deviations above the mean the largest of `taskCount`
 * independent samples is expected to lie.
 */
function expectedMaximumDeviation(taskCount: number): number {
  return Math.sqrt(2 * Math.log(Math.max(1, taskCount)));
}
