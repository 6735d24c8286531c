import type {ExecutableTask, JobExecution} from '@gentiandoor/jobs';
import {planWave, type DueVm, type PlannedPool} from '@gentiandoor/scheduling';
import {RunStatus, taskName, type LiveRun} from './live-run.js';
import {MissingVms} from './missing-vms.js';
import {VmOrderOutcome, VmState, type ListedVm} from './vm-gateway.js';
import type {MaintenanceWave} from './operator-records.js';
import type {OperatorView} from './operator-view.js';
import type {VmOrderParts, VmOrderRequest, VmOrders} from './vm-orders.js';
import {WaveProgress, type WaveProgressParts} from './wave-progress.js';
import type {WorkerRegistry} from './worker-registry.js';
import type {WorkerSession} from './worker-session.js';

/** Dependencies of a maintenance controller. */
export interface MaintenanceParts extends VmOrderParts, WaveProgressParts {
  readonly operators: OperatorView;
}

/** Time that a maintenance takes a VM out of service in addition to the maintenance itself. */
const MAINTENANCE_OVERHEAD_MILLISECONDS = 1_000;
/** Exceeds the longest lease: no run can be alive on a worker without an entry for this long. */
const MISSING_ENTRY_IDLE_MILLISECONDS = 10_500;
const FULL_PERCENT = 100;
/** Prefix of the reason for cordoning a VM before its maintenance. */
const WAVE_PREFIX = 'wave ';

/** Plans the maintenance of the VMs in waves, and moves long-running tasks off them first. */
export class MaintenanceController {
  private readonly progress: WaveProgress;
  private readonly missing: MissingVms;
  /** Since when each worker incarnation on a VM has had no entry. */
  private readonly entryMissingSince = new Map<string, number>();

  constructor(
    term: number,
    private readonly parts: MaintenanceParts,
    private readonly registry: WorkerRegistry,
    private readonly orders: VmOrders,
    /** Called when the store reports that a later term has written. */
    onFenced: () => void,
  ) {
    this.progress = new WaveProgress(term, parts, onFenced);
    this.missing = new MissingVms(parts.clock);
  }

  /** Loads the stored progress of waves, once. */
  async load(): Promise<void> {
    await this.progress.load();
  }

  close(): void {
    this.progress.close();
  }

  /** Evacuates VMs of a wave; returns the maintenance orders to issue now. */
  planOrders(
    wave: MaintenanceWave,
    vms: readonly ListedVm[],
    pools: readonly PlannedPool[],
  ): VmOrderRequest[] {
    if (!this.progress.isLoaded || this.progress.isCompleted(wave)) return [];
    const listed = new Map(vms.map(vm => [vm.name, vm]));
    const {limits} = this.parts.settings;
    const plan = planWave({
      due: this.dueVms(wave, vms, listed, pools),
      inMaintenance: this.countInMaintenance(wave, listed),
      maximumAtOnce: wave.maximumAtOnce,
      remainingMilliseconds: this.progress.leftMilliseconds(wave),
      maintenanceMilliseconds:
        limits.maintenanceMilliseconds + MAINTENANCE_OVERHEAD_MILLISECONDS,
      hasWaitingWork: pools.some(pool => pool.waitingMillicores > 0),
    });
    for (const name of plan.evacuate) this.evacuate(listed.get(name), wave);
    return plan.maintain.flatMap(name => {
      const vm = listed.get(name);
      return vm ? [this.maintenanceOf(vm, wave)] : [];
    });
  }

  private maintenanceOf(vm: ListedVm, wave: MaintenanceWave): VmOrderRequest {
    return {
      vm,
      order: {kind: 'maintain', to: String(wave.number)},
      session: this.sessionOn(vm),
      onOutcome: outcome => {
        const isFinished =
          outcome === VmOrderOutcome.Done ||
          outcome === VmOrderOutcome.Impossible;
        if (isFinished) this.progress.noteDone(wave, vm.name);
      },
    };
  }

  private dueVms(
    wave: MaintenanceWave,
    vms: readonly ListedVm[],
    listed: ReadonlyMap<string, ListedVm>,
    pools: readonly PlannedPool[],
  ): DueVm[] {
    const inDemand = new Set(
      pools
        .filter(pool => pool.waitingMillicores > 0)
        .map(pool => pool.service),
    );
    return wave.vms.flatMap(name => {
      if (this.progress.isDone(wave, name)) return [];
      const vm = listed.get(name);
      if (vm) this.missing.notePresent(name);
      // A VM that no longer exists needs no maintenance.
      else if (this.missing.isGone(name, vms))
        this.progress.noteDone(wave, name);
      const isDue = vm?.state === VmState.Up && this.orders.isFree(name);
      return isDue ? [this.dueVm(vm, inDemand.has(vm.pool))] : [];
    });
  }

  /** Returns the number of VMs of a wave that are, or may be, in maintenance. */
  private countInMaintenance(
    wave: MaintenanceWave,
    listed: ReadonlyMap<string, ListedVm>,
  ): number {
    return wave.vms.filter(
      name =>
        this.orders.openOrder(name)?.kind === 'maintain' ||
        listed.get(name)?.state === VmState.Maintenance,
    ).length;
  }

  private dueVm(vm: ListedVm, inDemand: boolean): DueVm {
    const session = this.sessionOn(vm);
    if (session) this.entryMissingSince.delete(vm.workerId);
    const runs = [...(session?.runs.values() ?? [])];
    const longRunning = runs.filter(
      run => run.executableTask.specification.longRunning,
    ).length;
    return {
      name: vm.name,
      idle: session ? runs.length === 0 : this.isCertainlyIdle(vm),
      isEvacuating: session?.cordonReason?.startsWith(WAVE_PREFIX) ?? false,
      shortTasks: runs.length - longRunning,
      longRunningTasks: longRunning,
      inDemand,
    };
  }

  /**
   * Returns whether it is certain that nothing runs on a VM whose worker has no entry. A worker
   * behind a network partition loses its entry but keeps working, and a coordinator whose term
   * began since has no session with it: if the VM were taken for idle, it would be maintained and
   * its tasks would be ended. Seconds after the partition heals the entry is back, or the worker is
   * gone.
   */
  private isCertainlyIdle(vm: ListedVm): boolean {
    if (this.parts.operators.service(vm.pool)?.standby) return true;
    const missingSince = this.entryMissingSince.get(vm.workerId) ?? this.now();
    this.entryMissingSince.set(vm.workerId, missingSince);
    return this.now() - missingSince >= MISSING_ENTRY_IDLE_MILLISECONDS;
  }

  private evacuate(vm: ListedVm | undefined, wave: MaintenanceWave): void {
    const session = vm && this.sessionOn(vm);
    if (!session) return;
    session.cordon(`${WAVE_PREFIX}${wave.number}`);
    for (const run of session.runs.values())
      if (this.mayEvacuate(run)) void session.stopRun(run);
  }

  /**
   * Returns whether a long-running task may be evacuated: no other task of its step is missing, or
   * fewer than the step may miss.
   */
  private mayEvacuate(run: LiveRun): boolean {
    const step = run.executableTask.specification;
    if (!step.longRunning || run.stopRequested) return false;
    const missing = run.execution
      .tasksOfStep(run.executableTask.occurrence, run.executableTask.step)
      .filter(task => task !== run.executableTask)
      .filter(task => !this.isFullyRunning(run.execution, task)).length;
    return missing < Math.max(1, step.mayMiss);
  }

  private isFullyRunning(
    execution: JobExecution,
    task: ExecutableTask,
  ): boolean {
    const session = this.registry.current(task.progress.worker);
    const run = session?.runs.get(taskName(execution.job.id, task));
    return (
      run !== undefined &&
      run.status === RunStatus.Confirmed &&
      !run.stopRequested &&
      run.percent >= FULL_PERCENT &&
      !this.mayBeStopping(run)
    );
  }

  /**
   * Returns whether an earlier coordinator may have stopped the run just before its term ended. The
   * worker lists such a run as running until it has ended; without this check a second task of its
   * step would be evacuated at the same time. Once the worker has seen this term's fencing token it
   * accepts no earlier order, so the longest time that a stop takes is a sufficient wait.
   */
  private mayBeStopping(run: LiveRun): boolean {
    const isOfEarlierTerm = run.startConfirmedAt === undefined;
    const knownMilliseconds = this.now() - run.orderAnsweredAt;
    return (
      isOfEarlierTerm &&
      knownMilliseconds < this.parts.settings.limits.stopMilliseconds
    );
  }

  private sessionOn(vm: ListedVm): WorkerSession | undefined {
    return this.registry.find(vm.workerId);
  }

  private now(): number {
    return this.parts.clock.monotonicMilliseconds();
  }
}
