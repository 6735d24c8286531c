/** A run as its worker shows it. */
export interface ObservedRun {
  /** Progress in whole percent. */
  readonly progressPercent: number;
  /** How long the run has been known. */
  readonly ageMilliseconds: number;
  /** How long `percent` has been the same. */
  readonly unchangedMilliseconds: number;
  /** Run time to expect. */
  readonly expectedMilliseconds: number;
}

/** Share of the expected run time without progress that counts as a stall. */
const STALL_SHARE = 0.25;
/** Minimum time without progress; covers two polls. */
const MINIMUM_STALL_MILLISECONDS = 600;
/** Minimum time before the first percent, which includes restoring a checkpoint. */
const MINIMUM_STALL_AT_START_MILLISECONDS = 1_500;
/** A run is overdue after this multiple of its expected time. */
const OVERDUE_FACTOR = 1.6;
const OVERDUE_MILLISECONDS = 400;
const FULL_PERCENT = 100;

/**
 * Whether a run stands still and never ends.
 * Load: workers whose tasks hang while they answer all calls. Without it such a run keeps its job
 * waiting until the worker is replaced, and its lease is renewed all the while.
 */
export function isStalled(run: ObservedRun): boolean {
  if (run.progressPercent >= FULL_PERCENT) return false;
  const least =
    run.progressPercent === 0
      ? MINIMUM_STALL_AT_START_MILLISECONDS
      : MINIMUM_STALL_MILLISECONDS;
  const bound = Math.max(least, STALL_SHARE * run.expectedMilliseconds);
  return run.unchangedMilliseconds >= bound;
}

/** Time until a run is late enough to be looked at more closely, in milliseconds; at most 0 when it is. */
export function timeUntilOverdue(run: ObservedRun): number {
  const overdueAge =
    OVERDUE_FACTOR * run.expectedMilliseconds + OVERDUE_MILLISECONDS;
  return overdueAge - run.ageMilliseconds;
}
