/** A VM that is due for maintenance. */
export interface DueVm {
  readonly name: string;
  /** Nothing runs on it, or it is off. */
  readonly idle: boolean;
  /** It is being emptied for the wave. */
  readonly isEvacuating: boolean;
  /** Tasks that end by themselves. */
  readonly shortTasks: number;
  /** Long-running tasks that must be started elsewhere. */
  readonly longRunningTasks: number;
  /** Work waits in its pool. */
  readonly inDemand: boolean;
}

/** A wave as it stands. */
export interface WaveStatus {
  /** VMs that are up and have not had their maintenance. */
  readonly due: readonly DueVm[];
  /** VMs in maintenance or on their way there. */
  readonly inMaintenance: number;
  readonly maximumAtOnce: number;
  readonly remainingMilliseconds: number;
  /** A maintenance with what comes after it. */
  readonly maintenanceMilliseconds: number;
  /** Work waits that the VMs could take. */
  readonly hasWaitingWork: boolean;
}

/** What is done for a wave now. */
export interface WavePlan {
  /** VMs to maintain at once. */
  readonly maintain: readonly string[];
  /** VMs to empty: nothing new starts on them. */
  readonly evacuate: readonly string[];
}

/** Time to empty a VM. */
const EVACUATION_MILLISECONDS = 2_500;
/** Time to move one long-running task; tasks of one step move one at a time. */
const LONG_RUNNING_TASK_MILLISECONDS = 700;
/** Share of the remaining time that a wave plans to use. */
const PLANNED_SHARE = 0.65;
/** Added to the weight of a VM whose pool lacks room. */
const DEMAND_WEIGHT = 100;

/**
 * Steps of a wave of maintenance.
 * Load: a wave over half of the VMs beside queues that ask by turns. Without it the wave takes the
 * spare VMs in one go just when a burst needs them, or ends late: VMs that idle go first and no
 * more at once than the time left asks for, and others are emptied when time runs short.
 */
export function planWave(standing: WaveStatus): WavePlan {
  const allowed = Math.max(0, standing.maximumAtOnce - standing.inMaintenance);
  const pace = Math.max(0, neededAtOnce(standing) - standing.inMaintenance);
  const idle = standing.due.filter(vm => vm.idle);
  const wanted = standing.hasWaitingWork && !isShortOfTime(standing) ? 0 : pace;
  const maintain = idle
    .slice(0, Math.min(allowed, Math.max(wanted, evacuatedCount(idle))))
    .map(vm => vm.name);
  return {
    maintain,
    evacuate: vmsToEvacuate(standing, allowed - maintain.length),
  };
}

/** VMs that were emptied for the wave are of no other use. */
function evacuatedCount(idle: readonly DueVm[]): number {
  return idle.filter(vm => vm.isEvacuating).length;
}

function vmsToEvacuate(standing: WaveStatus, free: number): string[] {
  const busy = standing.due.filter(vm => !vm.idle);
  const going = busy.filter(vm => vm.isEvacuating).map(vm => vm.name);
  if (!isShortOfTime(standing)) return going;
  const others = busy
    .filter(vm => !vm.isEvacuating)
    .sort((one, other) => evacuationCost(one) - evacuationCost(other))
    .map(vm => vm.name);
  return [...going, ...others].slice(0, Math.max(going.length, free));
}

/** VMs that must be in maintenance at the same time for the wave to end in its planned time. */
function neededAtOnce(standing: WaveStatus): number {
  const usable = Math.max(1, PLANNED_SHARE * standing.remainingMilliseconds);
  const work = standing.due.length * standing.maintenanceMilliseconds;
  return Math.ceil(work / usable);
}

/** Whether the VMs that don't idle by themselves must be emptied now. */
function isShortOfTime(standing: WaveStatus): boolean {
  const rounds = Math.ceil(
    standing.due.length / Math.max(1, standing.maximumAtOnce),
  );
  const longRunning = standing.due.reduce(
    (sum, vm) => sum + vm.longRunningTasks,
    0,
  );
  const needed =
    rounds * standing.maintenanceMilliseconds +
    EVACUATION_MILLISECONDS +
    longRunning * LONG_RUNNING_TASK_MILLISECONDS;
  return needed > PLANNED_SHARE * standing.remainingMilliseconds;
}

/** A long-running task is away for a while when it moves; one that ends only has to be waited for. */
function evacuationCost(vm: DueVm): number {
  return (
    (vm.inDemand ? DEMAND_WEIGHT : 0) + vm.longRunningTasks * 10 + vm.shortTasks
  );
}
