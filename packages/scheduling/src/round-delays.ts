/**
 * Limits of the delay between two rounds of a recurring activity, relative to its own
 * duration.
 */
interface DelayBounds {
  readonly minimumMilliseconds: number;
  readonly maximumMilliseconds: number;
  /** The delay as a multiple of the duration of the last round. */
  readonly durationMultiplier: number;
}

/**
 * Minimum: one round handles the ends of several runs. Maximum: callers notice when
 * free capacity stays unused for longer.
 */
const PLACEMENT: DelayBounds = {
  minimumMilliseconds: 5,
  maximumMilliseconds: 60,
  // Rounds use at most a fifth of the processor time; the orders that result from them
  // need the rest.
  durationMultiplier: 4,
};

/**
 * Minimum: short compared with a move, so that a pool gets VMs within the first part of
 * a burst. Maximum: a VM that has returned from a wave's maintenance counts as absent
 * for no longer than this.
 */
const FLEET_LIST: DelayBounds = {
  minimumMilliseconds: 100,
  maximumMilliseconds: 800,
  // The list uses at most a fifth of the link, which orders and polls use as well.
  durationMultiplier: 4,
};

/**
 * Minimum: a VM is ordered at most this long after its work has arrived. Maximum: short
 * compared with a move.
 */
const PLANNING: DelayBounds = {
  minimumMilliseconds: 40,
  maximumMilliseconds: 250,
  // A planning round examines every VM and worker; orders need the processor more.
  durationMultiplier: 15,
};

/**
 * Returns the delay between two rounds of planning the pools.
 * Load: a burst that saturates the coordinator's processor. Without a delay that grows
 * with the duration of a round, planning a large fleet delays the very orders that the
 * VMs are needed for.
 */
export function planningDelayMilliseconds(
  lastRoundMilliseconds: number,
): number {
  return delayAfter(lastRoundMilliseconds, PLANNING);
}

/**
 * Returns the delay between two rounds of placement.
 * Load: a backlog of hundreds of jobs, while hundreds of runs end per second. A round
 * examines all jobs and workers of a service. Without a delay that grows with the
 * duration of a round, the coordinator does nothing but placement rounds, and a longer
 * backlog leads to fewer orders.
 */
export function placementDelayMilliseconds(
  lastRoundMilliseconds: number,
): number {
  return delayAfter(lastRoundMilliseconds, PLACEMENT);
}

/**
 * Returns the delay between two reads of the list of VMs.
 * Load: a burst that saturates the coordinator's link. The list contains every VM; read
 * at a fixed interval, it takes most of a small VM's bandwidth before the first order
 * is sent.
 */
export function vmListDelayMilliseconds(
  lastReadingMilliseconds: number,
): number {
  return delayAfter(lastReadingMilliseconds, FLEET_LIST);
}

function delayAfter(milliseconds: number, bounds: DelayBounds): number {
  return Math.min(
    bounds.maximumMilliseconds,
    Math.max(
      bounds.minimumMilliseconds,
      bounds.durationMultiplier * milliseconds,
    ),
  );
}
