import {BestEffortSpeedController} from '@gentiandoor/scheduling';
import type {LiveRun} from './live-run.js';
import {
  OrderOutcome,
  type ListedRun,
  type OrderResult,
} from './worker-gateway.js';

/** Steps of speed under this are not worth a call. */
const MINIMUM_SPEED_STEP_PERCENT = 10;
const FULL_PERCENT = 100;

/** Sends the order that lets a run work at a share of its speed. */
export type ThrottleOrder = (
  run: LiveRun,
  percent: number,
) => Promise<OrderResult>;

/** Slows best-effort tasks on one worker down where what serves beside them is over its target. */
export class BestEffortThrottle {
  private readonly pace = new BestEffortSpeedController();

  constructor(private readonly order: ThrottleOrder) {}

  /** Takes the figures of one poll. */
  adjust(
    running: readonly ListedRun[],
    runs: ReadonlyMap<string, LiveRun>,
  ): void {
    const bestEffort: LiveRun[] = [];
    let worst = 0;
    for (const listed of running) {
      const run = runs.get(listed.task);
      if (!run) continue;
      const step = run.executableTask.specification;
      if (step.bestEffort) bestEffort.push(run);
      else if (step.targetMilliseconds > 0)
        worst = Math.max(worst, listed.load / step.targetMilliseconds);
    }
    if (bestEffort.length === 0) return;
    const percent = this.pace.update(worst);
    for (const run of bestEffort) this.send(run, percent);
  }

  private send(run: LiveRun, percent: number): void {
    const before = run.speedPercent;
    const isSmall = Math.abs(percent - before) < MINIMUM_SPEED_STEP_PERCENT;
    if (percent === before || (isSmall && percent !== FULL_PERCENT)) return;
    run.speedPercent = percent;
    void this.order(run, percent).then(result => {
      // Not done: the next poll tries again from the speed before.
      if (result.outcome !== OrderOutcome.Done) run.speedPercent = before;
    });
  }
}
