/**
 * A queue that has existed for less time than this never counts as standing: five round trips to a
 * target in another data centre.
 */
const MINIMUM_BURST_MILLISECONDS = 100;
/** Minimum wait allowed in a standing queue; below it timer and network delays dominate. */
const MINIMUM_ALLOWED_WAIT_MILLISECONDS = 5;
const EXCHANGES_WAITED = 2;

/**
 * Returns how long a request may wait, given how long its team has had requests waiting without
 * interruption.
 * Load: a standing queue. With a limit on length only, saturation makes every caller wait for the
 * whole queue, including work whose callers gave up, while the targets do no more than with a short
 * queue. A burst may wait as long as the service allows: a queue that drains within that time is a
 * burst. If requests have been waiting for longer without interruption, the wait is cut to the time
 * of two exchanges, which keeps every slot busy: a slot becomes free every (time of an exchange /
 * slots). Time is tracked per team, so that one team's standing queue does not cut short the bursts
 * of another.
 */
export function allowedWaitMilliseconds(
  waitingForMilliseconds: number,
  maximumWaitMilliseconds: number,
  exchangeMilliseconds: number,
): number {
  const burstMilliseconds = Math.max(
    MINIMUM_BURST_MILLISECONDS,
    maximumWaitMilliseconds,
  );
  if (waitingForMilliseconds <= burstMilliseconds)
    return maximumWaitMilliseconds;
  const standingWaitMilliseconds = Math.max(
    MINIMUM_ALLOWED_WAIT_MILLISECONDS,
    EXCHANGES_WAITED * exchangeMilliseconds,
  );
  return Math.min(maximumWaitMilliseconds, standingWaitMilliseconds);
}
