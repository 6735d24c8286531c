import type {WatchedRun} from '@gentiandoor/scheduling';
import type {LiveRun} from './live-run.js';

/** Whether standing still says something: tasks that last end by no time, best-effort ones are slowed on purpose, and a gang waits for its members. */
export function canStall(run: LiveRun): boolean {
  const {longRunning, bestEffort, gang} = run.taskOfJob.specification;
  if (longRunning || bestEffort || run.stopAsked) return false;
  return !(gang && run.percent === 0);
}

/** A run as the watch for stalled ones sees it. */
export function watchedRun(run: LiveRun, now: number): WatchedRun {
  return {
    percent: run.percent,
    ageMilliseconds: now - (run.beganAt ?? run.plannedAt),
    stillMilliseconds: now - Math.max(run.progressedAt, run.beganAt ?? 0),
    expectedMilliseconds: run.expectedMilliseconds,
  };
}
