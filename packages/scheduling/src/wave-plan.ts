/** A VM that is due for maintenance. */
export interface DueVm {
  readonly name: string;
  /** Nothing runs on it, or it is off. */
  readonly idle: boolean;
  /** Tasks that end by themselves. */
  readonly shortTasks: number;
  /** Tasks that last and must be started elsewhere. */
  readonly lastingTasks: number;
}

/** A wave as it stands. */
export interface WaveStanding {
  /** VMs that are up and have not had their maintenance. */
  readonly due: readonly DueVm[];
  /** VMs in maintenance or on their way there. */
  readonly away: number;
  readonly maximumAtOnce: number;
  readonly leftMilliseconds: number;
  /** A maintenance with what comes before and after it. */
  readonly maintenanceMilliseconds: number;
}

/** What is done for a wave now. */
export interface WaveStep {
  /** VMs to maintain at once. */
  readonly maintain: readonly string[];
  /** VMs to empty: nothing new starts on them. */
  readonly empty: readonly string[];
}

/** Share of the time left that the rest of the wave may need before VMs are emptied for it. */
const UNHURRIED_SHARE = 0.6;

/**
 * Steps of a wave of maintenance.
 * Load: a wave over half of the VMs beside queues that ask by turns. Without it the wave either cuts
 * work short or ends late: VMs that idle go first, and others are emptied only when time runs short.
 */
export function planWave(standing: WaveStanding): WaveStep {
  const free = Math.max(0, standing.maximumAtOnce - standing.away);
  const idle = standing.due.filter(vm => vm.idle).map(vm => vm.name);
  const maintain = idle.slice(0, free);
  const left = free - maintain.length;
  if (left === 0 || !isShort(standing)) return {maintain, empty: []};
  const busy = standing.due
    .filter(vm => !vm.idle)
    .sort((one, other) => weight(one) - weight(other));
  return {maintain, empty: busy.slice(0, left).map(vm => vm.name)};
}

function isShort(standing: WaveStanding): boolean {
  const rounds = Math.ceil(
    standing.due.length / Math.max(1, standing.maximumAtOnce),
  );
  const needed = rounds * standing.maintenanceMilliseconds;
  return needed > UNHURRIED_SHARE * standing.leftMilliseconds;
}

/** A task that lasts is away for a while when it moves; one that ends only has to be waited for. */
function weight(vm: DueVm): number {
  return vm.lastingTasks * 10 + vm.shortTasks;
}
