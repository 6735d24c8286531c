/** A task that has run so long is no longer expected to crash its worker. */
export const CRASH_RISK_MILLISECONDS = 1_000;
/** Crashes of workers under a task from which on it is kept apart. */
const CRASHES_TO_ISOLATE = 2;
/** In a pool that stays full a task that is kept apart would wait for good. */
const MAXIMUM_ISOLATION_WAIT_MILLISECONDS = 4_000;
/** A task with so many crashes is given up with the next one, whichever task causes it. */
const CRASHES_FOR_EXTENDED_ISOLATION = 4;
const EXTENDED_ISOLATION_WAIT_MILLISECONDS = 10_000;

/**
 * Whether a task starts apart from other jobs' tasks that may crash a worker too, `waitedMilliseconds`
 * after the last of `crashes` workers crashed under it.
 * Load: one task that crashes each worker that starts it, in a pool whose workers carry tasks of many
 * jobs. Without it the tasks beside it lose their workers as often, look as guilty and are given up with it.
 */
export function mustIsolate(
  crashes: number,
  waitedMilliseconds: number,
): boolean {
  const mostWait =
    crashes >= CRASHES_FOR_EXTENDED_ISOLATION
      ? EXTENDED_ISOLATION_WAIT_MILLISECONDS
      : MAXIMUM_ISOLATION_WAIT_MILLISECONDS;
  return crashes >= CRASHES_TO_ISOLATE && waitedMilliseconds < mostWait;
}

/** Whether a run that began at `beganAt`, undefined for not yet, may still crash its worker. */
export function mayCrashWorker(
  beganAt: number | undefined,
  now: number,
): boolean {
  return beganAt === undefined || now - beganAt < CRASH_RISK_MILLISECONDS;
}
