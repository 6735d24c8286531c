/** A run on a VM that is cordoned because another pool needs the VM. */
export interface EvacuationRun {
  /** Name of its task, unique among all jobs. */
  readonly task: string;
  readonly isCheckpointing: boolean;
  readonly isLongRunning: boolean;
  readonly isGangMember: boolean;
  readonly ageMilliseconds: number;
  readonly expectedMilliseconds: number;
  readonly progressPercent: number;
  /** How often its task was stopped for other work before. */
  readonly preemptions: number;
}

/** A VM is evacuated only if its last run would end later than this. */
const MINIMUM_GAIN_MILLISECONDS = 600;
/** A younger run has just been restored or started, and would lose that work. */
const MINIMUM_AGE_MILLISECONDS = 300;
const MAXIMUM_PREEMPTIONS = 2;
/** Progress below this says little about the speed of a run. */
const MINIMUM_PROGRESS_PERCENT = 10;
/** Share of its expected time for which an overdue run is expected to continue. */
const OVERDUE_SHARE = 0.3;

/**
 * Returns the runs to stop so that a cordoned VM becomes idle sooner; none if a run that
 * cannot be stopped keeps it busy all the same.
 * Load: the burst of one queue ends while that of another begins, and no VM is off.
 * Without it, each VM is kept for the longest of its last tasks, three seconds for tasks
 * of two, and the callers of the second queue wait for them. A checkpointing task loses
 * at most the work since its last checkpoint and continues on another VM of its pool.
 */
export function runsToEvacuate(runs: readonly EvacuationRun[]): string[] {
  const remaining = new Map(
    runs.map(run => [run, remainingMilliseconds(run)] as const),
  );
  const longest = Math.max(0, ...remaining.values());
  if (longest < MINIMUM_GAIN_MILLISECONDS) return [];
  const kept = runs.filter(run => !mayBeStopped(run));
  const keptFor = Math.max(0, ...kept.map(run => remaining.get(run) ?? 0));
  if (longest - keptFor < MINIMUM_GAIN_MILLISECONDS) return [];
  return runs
    .filter(run => mayBeStopped(run) && (remaining.get(run) ?? 0) > keptFor)
    .map(run => run.task);
}

function mayBeStopped(run: EvacuationRun): boolean {
  return (
    run.isCheckpointing &&
    !run.isLongRunning &&
    !run.isGangMember &&
    run.preemptions < MAXIMUM_PREEMPTIONS &&
    run.ageMilliseconds >= MINIMUM_AGE_MILLISECONDS
  );
}

/** Returns how long a run is expected to continue, by its progress if that is known. */
function remainingMilliseconds(run: EvacuationRun): number {
  const {ageMilliseconds, expectedMilliseconds, progressPercent} = run;
  if (progressPercent >= MINIMUM_PROGRESS_PERCENT)
    return (ageMilliseconds * (100 - progressPercent)) / progressPercent;
  return Math.max(
    expectedMilliseconds - ageMilliseconds,
    OVERDUE_SHARE * expectedMilliseconds,
  );
}
