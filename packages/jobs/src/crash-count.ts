/** Crashes of workers under runs of one task, since a run of it last survived. */
export interface CrashCount {
  /** All of them. */
  total: number;
  /** Those that followed shortly after a run's start. */
  atStart: number;
}

/** A crash counts as one at the start of a run within this time after it. */
export const CRASH_AT_START_MILLISECONDS = 300;
/** A run that lives so long clears its task of earlier crashes. */
export const CRASH_RESET_MILLISECONDS = 3_000;
/** Three workers that happen to crash just then are far less likely than one task at fault. */
const MAXIMUM_CRASHES_AT_START = 3;
/** Crashes later in a run, or beside other tasks, prove less: workers also crash by themselves. */
const MAXIMUM_CRASHES = 5;

/** What is known of one crash of a worker under a run. */
export interface RunCrash {
  /** It followed shortly after the run's start. */
  readonly isAtStart: boolean;
  /** No other job's task can have caused it by its start. */
  readonly isIsolated: boolean;
}

/** The count of a task under which no worker has crashed. */
export function emptyCrashCount(): CrashCount {
  return {total: 0, atStart: 0};
}

/** Adds a crash; returns true when the task is given up by it, since it crashes the workers that start it. */
export function countCrash(
  count: CrashCount,
  {isAtStart, isIsolated}: RunCrash,
): boolean {
  count.total++;
  if (isAtStart) count.atStart++;
  const isProven = isIsolated && count.atStart >= MAXIMUM_CRASHES_AT_START;
  return isProven || count.total >= MAXIMUM_CRASHES;
}
