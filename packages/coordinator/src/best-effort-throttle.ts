import {BestEffortSpeedController} from '@gentiandoor/scheduling';
import type {LiveRun} from './live-run.js';
import {
  OrderOutcome,
  type ListedRun,
  type OrderResult,
} from './worker-gateway.js';

/** Speed changes smaller than this are not worth a call to the worker. */
const MINIMUM_SPEED_STEP_PERCENT = 10;
const FULL_PERCENT = 100;

/** Orders a worker to run a task at `percent` of its full speed. */
export type ThrottleOrder = (
  run: LiveRun,
  percent: number,
) => Promise<OrderResult>;

/**
 * Slows down best-effort tasks on one worker when serving tasks on it miss their response time
 * target.
 */
export class BestEffortThrottle {
  private readonly speedController = new BestEffortSpeedController();

  constructor(private readonly sendOrder: ThrottleOrder) {}

  /** Adjusts the speed of best-effort runs to the load reported by one poll. */
  adjust(
    running: readonly ListedRun[],
    runs: ReadonlyMap<string, LiveRun>,
  ): void {
    const bestEffort: LiveRun[] = [];
    let worstLoadRatio = 0;
    for (const listed of running) {
      const run = runs.get(listed.task);
      if (!run) continue;
      const step = run.executableTask.specification;
      if (step.bestEffort) bestEffort.push(run);
      else if (step.targetMilliseconds > 0)
        worstLoadRatio = Math.max(
          worstLoadRatio,
          listed.load / step.targetMilliseconds,
        );
    }
    if (bestEffort.length === 0) return;
    const percent = this.speedController.update(worstLoadRatio);
    for (const run of bestEffort) this.send(run, percent);
  }

  private send(run: LiveRun, percent: number): void {
    const previousPercent = run.speedPercent;
    const isSmall =
      Math.abs(percent - previousPercent) < MINIMUM_SPEED_STEP_PERCENT;
    if (percent === previousPercent || (isSmall && percent !== FULL_PERCENT))
      return;
    run.speedPercent = percent;
    void this.sendOrder(run, percent).then(result => {
      // The order failed: the next poll retries from the previous speed.
      if (result.outcome !== OrderOutcome.Done)
        run.speedPercent = previousPercent;
    });
  }
}
