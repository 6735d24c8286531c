/** How often something is done that costs what it costs. */
interface DelayBounds {
  readonly minimumMilliseconds: number;
  readonly maximumMilliseconds: number;
  /** Time between two goes, in times that the last one took. */
  readonly durationMultiplier: number;
}

/** Least: one round serves the ends of several runs. Longest: room that is free for longer is felt by callers. */
const PLACEMENT: DelayBounds = {
  minimumMilliseconds: 5,
  maximumMilliseconds: 60,
  // Rounds get a fifth of the processor time at most; the orders that they lead to need the rest.
  durationMultiplier: 4,
};

/** Least: short against a move, so that a pool gets VMs within the first part of a burst. Longest: a wave's VM that is back counts as away for no more than this. */
const FLEET_LIST: DelayBounds = {
  minimumMilliseconds: 100,
  maximumMilliseconds: 800,
  // The list gets a fifth of the link at most: orders and polls go over it as well.
  durationMultiplier: 4,
};

/** Least: a VM is ordered this much after its work has come at most. Longest: short against a move. */
const PLANNING: DelayBounds = {
  minimumMilliseconds: 40,
  maximumMilliseconds: 250,
  // A round of planning looks at every VM and worker; orders need the processor more.
  durationMultiplier: 15,
};

/**
 * Time to wait between two rounds of planning the pools.
 * Load: a turn that fills the coordinator's processor. Without a gap that grows with what a round
 * takes, planning a large fleet delays the orders that the VMs are wanted for.
 */
export function planningDelayMilliseconds(
  lastRoundMilliseconds: number,
): number {
  return delayAfter(lastRoundMilliseconds, PLANNING);
}

/**
 * Time to wait between two rounds of placement.
 * Load: a backlog of hundreds of jobs, while runs end hundreds of times a second. A round looks at
 * all jobs and workers of a service. Without a gap that grows with it the coordinator does nothing
 * but look, and the longer the backlog the fewer orders it gives.
 */
export function placementDelayMilliseconds(
  lastRoundMilliseconds: number,
): number {
  return delayAfter(lastRoundMilliseconds, PLACEMENT);
}

/**
 * Time to wait between two readings of the list of VMs.
 * Load: a turn that fills the coordinator's link. The list names every VM; read at a fixed pace it takes
 * most of a small VM's link before the first order is given.
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
