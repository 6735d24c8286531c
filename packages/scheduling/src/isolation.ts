/** A task that has run for this long is no longer expected to crash its worker. */
export const CRASH_RISK_MILLISECONDS = 1_000;
/** Number of worker crashes during a task's runs from which on it is isolated. */
const CRASHES_TO_ISOLATE = 2;
/**
 * Maximum wait for isolation: in a pool that stays full, an isolated task would otherwise
 * wait forever.
 */
const MAXIMUM_ISOLATION_WAIT_MILLISECONDS = 4_000;
/**
 * A task with this many crashes is given up at the next one, whichever task causes it.
 */
const CRASHES_FOR_EXTENDED_ISOLATION = 4;
const EXTENDED_ISOLATION_WAIT_MILLISECONDS = 10_000;

/**
 * Whether a task must start apart from other jobs' tasks that may crash a worker too,
 * `waitedMilliseconds` after the last of `crashes` crashes of a worker during its runs.
 * Load: one task that crashes every worker that starts it, in a pool whose workers run
 * tasks of many jobs. Without it, the tasks next to it lose their workers as often,
 * look equally guilty and are given up with it.
 */
export function mustIsolate(
  crashes: number,
  waitedMilliseconds: number,
): boolean {
  const maximumWait =
    crashes >= CRASHES_FOR_EXTENDED_ISOLATION
      ? EXTENDED_ISOLATION_WAIT_MILLISECONDS
      : MAXIMUM_ISOLATION_WAIT_MILLISECONDS;
  return crashes >= CRASHES_TO_ISOLATE && waitedMilliseconds < maximumWait;
}

/**
 * Whether a run that started at `startedAt`, undefined if it has not started yet, may
 * still crash its worker.
 */
export function mayCrashWorker(
  startedAt: number | undefined,
  now: number,
): boolean {
  return startedAt === undefined || now - startedAt < CRASH_RISK_MILLISECONDS;
}
