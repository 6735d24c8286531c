/** A run as reported by its worker. */
export interface ObservedRun {
  /** Progress in whole percent. */
  readonly progressPercent: number;
  /** Time since the run was first seen. */
  readonly ageMilliseconds: number;
  /** Time since `progressPercent` last changed. */
  readonly unchangedMilliseconds: number;
  /** Expected run time. */
  readonly expectedMilliseconds: number;
}

/** Share of the expected run time without progress that counts as a stall. */
const STALL_SHARE = 0.25;
/** Minimum time without progress that counts as a stall; covers two polls. */
const MINIMUM_STALL_MILLISECONDS = 600;
/** Minimum time before the first percent, which includes restoring a checkpoint. */
const MINIMUM_STALL_AT_START_MILLISECONDS = 1_500;
/** A run is overdue after this multiple of its expected time. */
const OVERDUE_FACTOR = 1.6;
const OVERDUE_MILLISECONDS = 400;
const FULL_PERCENT = 100;

/**
 * Whether a run has stopped making progress and is not expected to end.
 * Load: workers whose tasks hang while they still answer all calls. Without it, such a
 * run keeps its job waiting until the worker is replaced, and its lease is renewed all
 * the while.
 */
export function isStalled(run: ObservedRun): boolean {
  if (run.progressPercent >= FULL_PERCENT) return false;
  const minimum =
    run.progressPercent === 0
      ? MINIMUM_STALL_AT_START_MILLISECONDS
      : MINIMUM_STALL_MILLISECONDS;
  const threshold = Math.max(minimum, STALL_SHARE * run.expectedMilliseconds);
  return run.unchangedMilliseconds >= threshold;
}

/**
 * Returns the time in milliseconds until a run is so late that it is examined more
 * closely; 0 or less if it already is.
 */
export function timeUntilOverdue(run: ObservedRun): number {
  const overdueAge =
    OVERDUE_FACTOR * run.expectedMilliseconds + OVERDUE_MILLISECONDS;
  return overdueAge - run.ageMilliseconds;
}
