import type {WatchedRun} from '@gentiandoor/scheduling';
import type {LiveRun} from './live-run.js';

/** Whether standing still says something: tasks that last end by no time, best-effort ones are slowed on purpose, and a gang waits for its members. */
export function canStall(run: LiveRun): boolean {
  const {longRunning, bestEffort, gang} = run.taskOfJob.specification;
  if (longRunning || bestEffort || run.stopAsked || !run.isWatched)
    return false;
  return !(gang && run.percent === 0);
}

/** A run as the watch for stalled ones sees it. */
export function watchedRun(run: LiveRun, now: number): WatchedRun {
  // Its plan says nothing: a slow store keeps the order back for seconds.
  const began = run.beganAt ?? run.orderedAt ?? run.plannedAt;
  return {
    percent: run.percent,
    ageMilliseconds: now - began,
    stillMilliseconds: now - Math.max(run.progressedAt, began),
    expectedMilliseconds: run.expectedMilliseconds,
  };
}
