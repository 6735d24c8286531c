/** Numbers of waiting and running tasks of a step that limits its tasks per worker. */
export interface SpreadConstrainedStep {
  readonly waiting: number;
  readonly running: number;
  /** Maximum number of tasks of the step on one worker; 0 for no limit. */
  readonly maximumPerWorker: number;
}

/**
 * Returns the number of VMs that a pool needs because tasks of one step may not share
 * them, however little capacity they take.
 * Load: long-running tasks, one or two to a worker, in a pool that is otherwise quiet.
 * Their processor time is covered by the few VMs already there, so without this the
 * pool grows by one VM each time the previous one has arrived, and the tasks wait for
 * half a minute next to capacity that they may not use. Steps can share VMs with each
 * other, so the step that needs most VMs decides.
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
