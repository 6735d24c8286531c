/**
 * Numbers of worker crashes during runs of one task, since a run of it last survived.
 */
export interface CrashCount {
  /** Number of all crashes. */
  total: number;
  /** Number of crashes shortly after the start of a run. */
  atStart: number;
  /** VM of each counted crash of a long-running task. */
  vms: string[];
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

/**
 * Further crashes on the same VM say nothing more about a long-running task: the VM itself may crash
 * again and again, and be the only one that the task may use.
 */
const MAXIMUM_CRASHES_ON_ONE_VM = 2;

/** Circumstances of one worker crash during a run. */
export interface RunCrash {
  /** Whether it happened shortly after the run's start. */
  readonly isAtStart: boolean;
  /** Whether no task of another job can have caused it by starting. */
  readonly isIsolated: boolean;
  /** VM of the worker, for a long-running task; for other tasks each crash counts. */
  readonly vm?: string;
}

/** Returns the count of a task during whose runs no worker has crashed. */
export function emptyCrashCount(): CrashCount {
  return {total: 0, atStart: 0, vms: []};
}

/**
 * Adds a crash; returns true if the task is now given up because it crashes the workers
 * that start it.
 */
export function countCrash(
  count: CrashCount,
  {isAtStart, isIsolated, vm}: RunCrash,
): boolean {
  if (vm !== undefined) {
    const onSameVm = count.vms.filter(other => other === vm).length;
    if (onSameVm >= MAXIMUM_CRASHES_ON_ONE_VM) return false;
    count.vms.push(vm);
  }
  count.total++;
  if (isAtStart) count.atStart++;
  const isProven = isIsolated && count.atStart >= MAXIMUM_CRASHES_AT_START;
  return isProven || count.total >= MAXIMUM_CRASHES;
}
