/** Least time between rounds of placement: one for every end of a run took a seventh of the coordinator's processor time at 780 runs a second. */
const LEAST_GAP_MILLISECONDS = 5;
/** Rounds get a fifth of the processor time at most; the orders that they lead to need the rest. */
const GAP_FACTOR = 4;
/** Room that is free for longer than this is felt by callers. */
const LONGEST_GAP_MILLISECONDS = 60;

/**
 * Time to wait between two rounds of placement.
 * Load: a backlog of hundreds of jobs, while runs end hundreds of times a second. A round looks at
 * all jobs and workers of a service. Without a gap that grows with it the coordinator does nothing
 * but look, and the longer the backlog the fewer orders it gives.
 */
export function placementGap(lastRoundMilliseconds: number): number {
  return Math.min(
    LONGEST_GAP_MILLISECONDS,
    Math.max(LEAST_GAP_MILLISECONDS, GAP_FACTOR * lastRoundMilliseconds),
  );
}
