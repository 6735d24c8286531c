/** A queue shorter-lived than this is never called standing: five round trips to a far target. */
const MINIMUM_BURST_MILLISECONDS = 100;
/** Least wait allowed in a standing queue; below it timers and network decide. */
const MINIMUM_ALLOWED_WAIT_MILLISECONDS = 5;
const EXCHANGES_WAITED = 2;

/**
 * How long a request may wait, by how long its team has had requests waiting without a break.
 * Answers a standing queue: with a bound on length only, saturation makes every caller wait for
 * the whole queue, the work of those that gave up included, while the targets do no more than they
 * would with a short queue. A burst is let wait as long as the service allows: what drains within
 * that time is a burst. Where requests have waited for longer without a break, the wait is cut to
 * the time of two exchanges, which keeps every slot fed: a slot comes free each (time of an
 * exchange / slots). Time is kept for each team, so that one team's standing queue does not cut
 * the bursts of another.
 */
export function allowedWaitMilliseconds(
  waitingForMilliseconds: number,
  longestMilliseconds: number,
  exchangeMilliseconds: number,
): number {
  const burst = Math.max(MINIMUM_BURST_MILLISECONDS, longestMilliseconds);
  if (waitingForMilliseconds <= burst) return longestMilliseconds;
  const target = Math.max(
    MINIMUM_ALLOWED_WAIT_MILLISECONDS,
    EXCHANGES_WAITED * exchangeMilliseconds,
  );
  return Math.min(longestMilliseconds, target);
}
