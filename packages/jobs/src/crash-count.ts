/**
 * Numbers of worker crashes during runs of one task, since a run of it last survived.
 */
export interface CrashCount {
  /** Number of all crashes. */
  total: number;
  /** Number of crashes shortly after the start of a run. */
  atStart: number;
}

/** A crash within this time after a run's start counts as one at its start. */
export const CRASH_AT_START_MILLISECONDS = 300;
/** A run that survives for this long clears the crash count of its task. */
export const CRASH_RESET_MILLISECONDS = 3_000;
/**
 * Three workers crashing independently at that moment is far less likely than one
 * faulty task.
 */
const MAXIMUM_CRASHES_AT_START = 3;
/**
 * Crashes later in a run, or next to other tasks, are weaker evidence, since workers
 * also crash for other reasons.
 */
const MAXIMUM_CRASHES = 5;

/** Further crashes on the only VM that may run a task do not tell it from a VM that crashes. */
const MAXIMUM_CRASHES_ON_ONLY_VM = 2;

/** Circumstances of one worker crash during a run. */
export interface RunCrash {
  /** Whether it happened shortly after the run's start. */
  readonly isAtStart: boolean;
  /** Whether no task of another job can have caused it by starting. */
  readonly isIsolated: boolean;
  /** Whether the task is long-running and no other VM could run it. */
  readonly isOnOnlyVm?: boolean;
}

/** Returns the count of a task during whose runs no worker has crashed. */
export function emptyCrashCount(): CrashCount {
  return {total: 0, atStart: 0};
}

/**
 * Adds a crash; returns true if the task is now given up because it crashes the workers
 * that start it.
 */
export function countCrash(
  count: CrashCount,
  {isAtStart, isIsolated, isOnOnlyVm}: RunCrash,
): boolean {
  if (isOnOnlyVm && count.total >= MAXIMUM_CRASHES_ON_ONLY_VM) return false;
  count.total++;
  if (isAtStart) count.atStart++;
  const isProven = isIsolated && count.atStart >= MAXIMUM_CRASHES_AT_START;
  return isProven || count.total >= MAXIMUM_CRASHES;
}
