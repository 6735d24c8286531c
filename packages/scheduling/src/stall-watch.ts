/** A run as its worker shows it. */
export interface WatchedRun {
  /** Progress in whole percent. */
  readonly percent: number;
  /** How long the run has been known. */
  readonly ageMilliseconds: number;
  /** How long `percent` has been the same. */
  readonly stillMilliseconds: number;
  /** Run time to expect. */
  readonly expectedMilliseconds: number;
}

/** Share of the expected run time without progress that counts as a stall. */
const STILL_SHARE = 0.25;
/** Minimum time without progress; covers two polls. */
const STILL_MILLISECONDS = 600;
/** Minimum time before the first percent, which includes restoring a checkpoint. */
const STILL_AT_START_MILLISECONDS = 1_500;
/** A run is overdue after this multiple of its expected time. */
const OVERDUE_FACTOR = 1.6;
const OVERDUE_MILLISECONDS = 400;
const FULL_PERCENT = 100;

/**
 * Whether a run stands still and never ends.
 * Load: workers whose tasks hang while they answer all calls. Without it such a run keeps its job
 * waiting until the worker is replaced, and its lease is renewed all the while.
 */
export function isStalled(run: WatchedRun): boolean {
  if (run.percent >= FULL_PERCENT) return false;
  const least =
    run.percent === 0 ? STILL_AT_START_MILLISECONDS : STILL_MILLISECONDS;
  const bound = Math.max(least, STILL_SHARE * run.expectedMilliseconds);
  return run.stillMilliseconds >= bound;
}

/** Time until a run is late enough to be looked at more closely, in milliseconds; at most 0 when it is. */
export function timeUntilOverdue(run: WatchedRun): number {
  const overdueAge =
    OVERDUE_FACTOR * run.expectedMilliseconds + OVERDUE_MILLISECONDS;
  return overdueAge - run.ageMilliseconds;
}
