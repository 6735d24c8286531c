import {RunningMean, type MeanSnapshot} from './running-mean.js';

/** Number of recent steps in the average. */
const AVERAGED_STEPS = 60;
/** Minimum number of steps before anything is corrected. */
const MINIMUM_STEPS = 4;
/** Maximum number of unfinished steps that are tracked. */
const MAXIMUM_OPEN_STEPS = 2_000;
/** Minimum number of tasks of a step that is counted. */
const MINIMUM_TASKS = 3;

interface OpenStep {
  count: number;
  sum: number;
  longest: number;
}

/**
 * Learns how much longer the slowest task of a step takes than a usual one of it.
 * Load: steps of eight tasks or more, each of which ends when its slowest task does. Without it the
 * chain of a job, and with it the time that its caller grants, is taken for a third too short: jobs
 * that can still be in time count as late and wait behind all others.
 */
export class StragglerModel {
  private readonly open = new Map<string, OpenStep>();
  private readonly excess = new RunningMean(AVERAGED_STEPS);
  private steps = 0;

  get snapshot(): MeanSnapshot {
    return {count: this.steps, mean: this.excess.value};
  }

  /** Goes on from what another one has learned. */
  restore(snapshot: MeanSnapshot): void {
    this.steps = snapshot.count;
    this.excess.restore(snapshot);
  }

  /** Notes the run time of one of a step's `taskCount` tasks. */
  observe(stepKey: string, taskCount: number, milliseconds: number): void {
    if (taskCount < MINIMUM_TASKS) return;
    const step = this.open.get(stepKey) ?? {count: 0, sum: 0, longest: 0};
    step.count++;
    step.sum += milliseconds;
    step.longest = Math.max(step.longest, milliseconds);
    if (step.count < taskCount) this.keepOpen(stepKey, step);
    else this.close(stepKey, step);
  }

  /** How many times a usual task's time the slowest of `taskCount` takes. */
  stragglerFactor(taskCount: number): number {
    if (this.steps < MINIMUM_STEPS) return 1;
    return 1 + this.excess.value * expectedMaximumDeviation(taskCount);
  }

  private keepOpen(stepKey: string, step: OpenStep): void {
    this.open.set(stepKey, step);
    if (this.open.size <= MAXIMUM_OPEN_STEPS) return;
    const [oldest] = this.open.keys();
    this.open.delete(oldest);
  }

  private close(stepKey: string, {count, sum, longest}: OpenStep): void {
    this.open.delete(stepKey);
    const mean = sum / count;
    if (mean <= 0) return;
    this.steps++;
    this.excess.observe((longest / mean - 1) / expectedMaximumDeviation(count));
  }
}

/** The largest of so many equal chances lies about so many standard deviations over their mean. */
function expectedMaximumDeviation(taskCount: number): number {
  return Math.sqrt(2 * Math.log(Math.max(1, taskCount)));
}
