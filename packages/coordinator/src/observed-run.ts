import type {ObservedRun} from '@gentiandoor/scheduling';
import type {LiveRun} from './live-run.js';

/** Whether standing still says something: tasks that last end by no time, best-effort ones are slowed on purpose, and a gang waits for its members. */
export function canStall(run: LiveRun): boolean {
  const {longRunning, bestEffort, gang} = run.executableTask.specification;
  if (longRunning || bestEffort || run.stopRequested || !run.stopsOnStall)
    return false;
  return !(gang && run.percent === 0);
}

/** A run as the watch for stalled ones sees it. */
export function toObservedRun(run: LiveRun, now: number): ObservedRun {
  // Its plan says nothing: a slow store keeps the order back for seconds.
  const began = run.startConfirmedAt ?? run.orderedAt ?? run.plannedAt;
  return {
    progressPercent: run.percent,
    ageMilliseconds: now - began,
    unchangedMilliseconds: now - Math.max(run.percentChangedAt, began),
    expectedMilliseconds: run.expectedMilliseconds,
  };
}
