/** Tasks of one step that wait or run, where only so many may share a worker. */
export interface SpreadConstrainedStep {
  readonly waiting: number;
  readonly running: number;
  /** Most tasks of the step on one worker; 0 for no bound. */
  readonly maximumPerWorker: number;
}

/**
 * VMs that a pool needs since tasks of one step may not share them, however little room they take.
 * Load: tasks that last, one or two to a worker, in a pool at rest. By processor time they ask for a few VMs
 * that are there already: the pool is enlarged by one VM each time the last one has come, and the tasks wait
 * for half a minute beside room that they may not use. Steps share VMs with each other, so the widest counts.
 */
export function vmsForSpreadConstraint(
  steps: Iterable<SpreadConstrainedStep>,
): number {
  let most = 0;
  for (const {waiting, running, maximumPerWorker} of steps) {
    if (maximumPerWorker <= 0 || waiting === 0) continue;
    most = Math.max(most, Math.ceil((waiting + running) / maximumPerWorker));
  }
  return most;
}
