import type {ObservedRun} from '@gentiandoor/scheduling';
import type {LiveRun} from './live-run.js';

/**
 * Returns whether missing progress indicates a stall. It does not for long-running tasks, which
 * have no end, best-effort tasks, which are slowed down on purpose, and a gang that waits for its
 * members.
 */
export function canStall(run: LiveRun): boolean {
  const {longRunning, bestEffort, gang} = run.executableTask.specification;
  if (longRunning || bestEffort || run.stopRequested || !run.stopsOnStall)
    return false;
  return !(gang && run.percent === 0);
}

/** Converts a run for stall detection. */
export function toObservedRun(run: LiveRun, now: number): ObservedRun {
  // The planning time is only a fallback: a slow store can delay the order by seconds.
  const startedAt = run.startConfirmedAt ?? run.orderedAt ?? run.plannedAt;
  return {
    progressPercent: run.percent,
    ageMilliseconds: now - startedAt,
    unchangedMilliseconds: now - Math.max(run.percentChangedAt, startedAt),
    expectedMilliseconds: run.expectedMilliseconds,
  };
}
