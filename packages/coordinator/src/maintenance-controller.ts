import type {ExecutableTask, JobExecution} from '@gentiandoor/jobs';
import {planWave, type DueVm, type PlannedPool} from '@gentiandoor/scheduling';
import {RunStatus, taskName, type LiveRun} from './live-run.js';
import {VmOrderOutcome, VmState, type ListedVm} from './vm-gateway.js';
import type {MaintenanceWave} from './operator-records.js';
import type {OperatorView} from './operator-view.js';
import type {VmOrderParts, VmOrderRequest, VmOrders} from './vm-orders.js';
import {WaveProgress, type WaveProgressParts} from './wave-progress.js';
import type {WorkerRegistry} from './worker-registry.js';
import type {WorkerSession} from './worker-session.js';

/** What a wave keeper is built from. */
export interface MaintenanceParts extends VmOrderParts, WaveProgressParts {
  readonly operators: OperatorView;
}

/** Time between a maintenance and the return to service, besides the maintenance itself. */
const MAINTENANCE_OVERHEAD_MILLISECONDS = 1_000;
/** Exceeds the longest lease: no run can be alive on a worker without an entry for this long. */
const MISSING_ENTRY_IDLE_MILLISECONDS = 10_500;
const FULL_PERCENT = 100;
/** Begins the reason why a VM takes no new starts before its maintenance. */
const WAVE_PREFIX = 'wave ';

/** Takes the VMs of waves through their maintenance, and long-running tasks off them before. */
export class MaintenanceController {
  private readonly progress: WaveProgress;
  /** Since when each incarnation on a VM has had no entry. */
  private readonly entryMissingSince = new Map<string, number>();

  constructor(
    private readonly parts: MaintenanceParts,
    private readonly registry: WorkerRegistry,
    private readonly orders: VmOrders,
  ) {
    this.progress = new WaveProgress(parts);
  }

  /** Reads what was kept of earlier steps, once. */
  async load(): Promise<void> {
    await this.progress.load();
  }

  /** Empties VMs of a wave; returns the maintenance orders to give now. */
  planOrders(
    wave: MaintenanceWave,
    vms: readonly ListedVm[],
    pools: readonly PlannedPool[],
  ): VmOrderRequest[] {
    if (!this.progress.isLoaded || this.progress.isCompleted(wave)) return [];
    const listed = new Map(vms.map(vm => [vm.name, vm]));
    const {limits} = this.parts.settings;
    const step = planWave({
      due: this.dueVms(wave, listed, pools),
      inMaintenance: this.countInMaintenance(wave, listed),
      maximumAtOnce: wave.maximumAtOnce,
      remainingMilliseconds: this.progress.leftMilliseconds(wave),
      maintenanceMilliseconds:
        limits.maintenance + MAINTENANCE_OVERHEAD_MILLISECONDS,
      hasWaitingWork: pools.some(pool => pool.waitingMillicores > 0),
    });
    for (const name of step.evacuate) this.evacuate(listed.get(name), wave);
    return step.maintain.flatMap(name => {
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
        const over =
          outcome === VmOrderOutcome.Done ||
          outcome === VmOrderOutcome.Impossible;
        if (over) this.progress.noteDone(wave, vm.name);
      },
    };
  }

  private dueVms(
    wave: MaintenanceWave,
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
      // A VM that is gone needs no maintenance.
      if (!vm) this.progress.noteDone(wave, name);
      const canBe = vm?.state === VmState.Up && this.orders.isFree(name);
      return canBe ? [this.dueVm(vm, inDemand.has(vm.pool))] : [];
    });
  }

  /** VMs of a wave that are in maintenance, or may be. */
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
   * Whether nothing runs on a VM whose worker has no entry. One behind a cut loses its entry and works
   * on, and a coordinator that began its term since knows of no session with it: taken for idle, the VM
   * would be maintained and its tasks ended. An entry is back seconds after the cut, or the worker is gone.
   */
  private isCertainlyIdle(vm: ListedVm): boolean {
    if (this.parts.operators.service(vm.pool)?.standby) return true;
    const from = this.entryMissingSince.get(vm.workerId) ?? this.now();
    this.entryMissingSince.set(vm.workerId, from);
    return this.now() - from >= MISSING_ENTRY_IDLE_MILLISECONDS;
  }

  private evacuate(vm: ListedVm | undefined, wave: MaintenanceWave): void {
    const session = vm && this.sessionOn(vm);
    if (!session) return;
    session.cordon(`${WAVE_PREFIX}${wave.number}`);
    for (const run of session.runs.values())
      if (this.mayEvacuate(run)) void session.stopRun(run);
  }

  /** A long-running task may be taken away while no other of its step is. */
  private mayEvacuate(run: LiveRun): boolean {
    const step = run.executableTask.specification;
    if (!step.longRunning || run.stopRequested) return false;
    const away = run.execution
      .tasksOfStep(run.executableTask.occurrence, run.executableTask.step)
      .filter(task => task !== run.executableTask)
      .filter(task => !this.isFullyRunning(run.execution, task)).length;
    return away < Math.max(1, step.mayMiss);
  }

  private isFullyRunning(
    execution: JobExecution,
    task: ExecutableTask,
  ): boolean {
    const session = this.registry.find(task.progress.worker);
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
   * The coordinator before may have had a run stopped just before its term ended. The worker lists it
   * as at work until it is gone, and a second task of its step would be taken away beside it. Since
   * the worker has seen this term's token no earlier order is taken, so the longest stop bounds it.
   */
  private mayBeStopping(run: LiveRun): boolean {
    const isOfEarlierTerm = run.startConfirmedAt === undefined;
    const seenFor = this.now() - run.orderAnsweredAt;
    return isOfEarlierTerm && seenFor < this.parts.settings.limits.stop;
  }

  private sessionOn(vm: ListedVm): WorkerSession | undefined {
    return this.registry.find(vm.workerId);
  }

  private now(): number {
    return this.parts.clock.monotonicMilliseconds();
  }
}
