/** A VM that is due for maintenance. */
export interface DueVm {
  readonly name: string;
  /** Nothing runs on it, or it is powered off. */
  readonly idle: boolean;
  /** It is being evacuated for the wave. */
  readonly isEvacuating: boolean;
  /** Number of tasks that end by themselves. */
  readonly shortTasks: number;
  /** Number of long-running tasks that must be restarted elsewhere. */
  readonly longRunningTasks: number;
  /** Work is waiting in its pool. */
  readonly inDemand: boolean;
}

/** Current status of a wave. */
export interface WaveStatus {
  /** VMs that are up and still need their maintenance. */
  readonly due: readonly DueVm[];
  /** Number of VMs in maintenance or about to enter it. */
  readonly inMaintenance: number;
  readonly maximumAtOnce: number;
  readonly remainingMilliseconds: number;
  /** Duration of one maintenance, including what follows it. */
  readonly maintenanceMilliseconds: number;
  /** Work is waiting that the VMs could take. */
  readonly hasWaitingWork: boolean;
}

/** Actions to take for a wave now. */
export interface WavePlan {
  /** VMs whose maintenance starts immediately. */
  readonly maintain: readonly string[];
  /** VMs to evacuate: no new tasks start on them. */
  readonly evacuate: readonly string[];
}

/** Estimated time to evacuate a VM. */
const EVACUATION_MILLISECONDS = 2_500;
/**
 * Estimated time to move one long-running task; tasks of one step move one at a time.
 */
const LONG_RUNNING_TASK_MILLISECONDS = 700;
/** Share of the remaining time within which a wave is planned to finish. */
const PLANNED_SHARE = 0.65;
/** Added to the evacuation cost of a VM whose pool is short of capacity. */
const DEMAND_WEIGHT = 100;

/**
 * Plans the next actions of a maintenance wave.
 * Load: a wave over half of the VMs, next to queues whose bursts alternate. Without it,
 * the wave takes all spare VMs at once just when a burst needs them, or finishes late.
 * Idle VMs go first, and no more at once than the remaining time requires; other VMs
 * are evacuated when time runs short.
 */
export function planWave(status: WaveStatus): WavePlan {
  const allowed = Math.max(0, status.maximumAtOnce - status.inMaintenance);
  const needed = Math.max(0, neededAtOnce(status) - status.inMaintenance);
  const idle = status.due.filter(vm => vm.idle);
  const wanted = status.hasWaitingWork && !isShortOfTime(status) ? 0 : needed;
  const maintain = idle
    .slice(0, Math.min(allowed, Math.max(wanted, evacuatedCount(idle))))
    .map(vm => vm.name);
  return {
    maintain,
    evacuate: vmsToEvacuate(status, allowed - maintain.length),
  };
}

/**
 * Counts idle VMs that were evacuated for the wave: nothing new starts on them, so they
 * are of no other use.
 */
function evacuatedCount(idle: readonly DueVm[]): number {
  return idle.filter(vm => vm.isEvacuating).length;
}

function vmsToEvacuate(status: WaveStatus, free: number): string[] {
  const busy = status.due.filter(vm => !vm.idle);
  const evacuating = busy.filter(vm => vm.isEvacuating).map(vm => vm.name);
  if (!isShortOfTime(status)) return evacuating;
  const others = busy
    .filter(vm => !vm.isEvacuating)
    .sort((one, other) => evacuationCost(one) - evacuationCost(other))
    .map(vm => vm.name);
  return [...evacuating, ...others].slice(0, Math.max(evacuating.length, free));
}

/**
 * Returns how many VMs must be in maintenance at the same time for the wave to finish
 * within its planned time.
 */
function neededAtOnce(status: WaveStatus): number {
  const plannedMilliseconds = Math.max(
    1,
    PLANNED_SHARE * status.remainingMilliseconds,
  );
  const totalMilliseconds = status.due.length * status.maintenanceMilliseconds;
  return Math.ceil(totalMilliseconds / plannedMilliseconds);
}

/**
 * Whether so little time remains that VMs that do not become idle by themselves must be
 * evacuated now.
 */
function isShortOfTime(status: WaveStatus): boolean {
  const rounds = Math.ceil(
    status.due.length / Math.max(1, status.maximumAtOnce),
  );
  const longRunning = status.due.reduce(
    (sum, vm) => sum + vm.longRunningTasks,
    0,
  );
  const neededMilliseconds =
    rounds * status.maintenanceMilliseconds +
    EVACUATION_MILLISECONDS +
    longRunning * LONG_RUNNING_TASK_MILLISECONDS;
  return neededMilliseconds > PLANNED_SHARE * status.remainingMilliseconds;
}

/**
 * Returns the relative cost of evacuating a VM. A long-running task is interrupted when
 * it moves, so it costs more than a task that only has to be waited for.
 */
function evacuationCost(vm: DueVm): number {
  return (
    (vm.inDemand ? DEMAND_WEIGHT : 0) + vm.longRunningTasks * 10 + vm.shortTasks
  );
}
