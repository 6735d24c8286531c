import {
  LogEvent,
  MetricName,
  type Clock,
  type Logger,
  type Metrics,
} from '@gentiandoor/kernel';
import {
  planPools,
  planWave,
  type DueVm,
  type PlannedPool,
} from '@gentiandoor/scheduling';
import type {Dispatcher} from './dispatcher.js';
import type {EntrySettings} from './entry-settings.js';
import {RunStatus, type LiveRun} from './live-run.js';
import {
  VmOrderOutcome,
  VmState,
  type ListedVm,
  type MachineGateway,
} from './machine-gateway.js';
import type {MaintenanceWave} from './operator-records.js';
import type {OperatorView} from './operator-view.js';
import type {RecordFormats} from './record-formats.js';
import type {RecordLog} from './record-log.js';
import {WaveProgress} from './wave-progress.js';
import type {WorkerRegistry} from './worker-registry.js';
import type {WorkerSession} from './worker-session.js';

/** What a fleet keeper is built from. */
export interface FleetParts {
  readonly settings: EntrySettings;
  readonly log: RecordLog;
  readonly formats: RecordFormats;
  readonly machines: MachineGateway;
  readonly operators: OperatorView;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Short against a move, so that a pool gets VMs within the first part of a burst; each round lists the VMs once. */
const ROUND_MILLISECONDS = 250;
/** Time between a maintenance and the return to service, besides the maintenance itself. */
const MAINTENANCE_OVERHEAD_MILLISECONDS = 1_000;
/** An order that got no answer is repeated after this: the platform takes it twice. */
const REPEAT_MILLISECONDS = 500;
const FULL_PERCENT = 100;

/** An order about a VM that is not over. */
interface VmOrder {
  readonly kind: 'move' | 'maintain';
  /** Pool, or number of the wave. */
  readonly to: string;
}

/** Moves VMs between pools and through maintenance. */
export class FleetKeeper {
  private readonly orders = new Map<string, VmOrder>();
  private readonly barred = new Set<string>();
  private readonly impossibleMoves = new Set<string>();
  private readonly idleFrom = new Map<string, number>();
  private readonly waves: WaveProgress;
  private vms: readonly ListedVm[] = [];
  private closed = false;

  constructor(
    private readonly term: number,
    private readonly parts: FleetParts,
    private readonly registry: WorkerRegistry,
    private readonly dispatcher: Dispatcher,
    private readonly ordersAllowed: () => boolean,
  ) {
    this.waves = new WaveProgress(parts);
  }

  start(): void {
    void this.run();
  }

  close(): void {
    this.closed = true;
  }

  private async run(): Promise<void> {
    const {clock, settings} = this.parts;
    // Another holder may have given orders about the same VMs a moment ago.
    const mayOrderAt =
      clock.monotonicMilliseconds() +
      (this.term > 1 ? settings.limits.holderChange : 0);
    while (!this.closed) {
      const listedFrom = clock.monotonicMilliseconds();
      const vms = await this.parts.machines.list();
      if (this.closed) return;
      if (vms) {
        this.vms = vms;
        this.endLostLives(listedFrom);
        this.noteIdle();
        await this.waves.load();
        const now = clock.monotonicMilliseconds();
        if (this.ordersAllowed() && now >= mayOrderAt) this.round();
      }
      await this.pause(ROUND_MILLISECONDS);
    }
  }

  /** A silent worker whose VM carries another life, or none, is over: its tasks need not wait for the lease. */
  private endLostLives(listedFrom: number): void {
    if (this.vms.length === 0) return;
    const alive = new Set(this.vms.map(vm => vm.workerId));
    for (const session of [...this.registry.all()]) {
      const {silentFrom} = session;
      if (silentFrom === undefined || silentFrom > listedFrom) continue;
      if (!alive.has(session.id)) session.endLife('its VM runs it no longer');
    }
  }

  private noteIdle(): void {
    const now = this.parts.clock.monotonicMilliseconds();
    for (const vm of this.vms) {
      const session = this.registry.find(vm.workerId);
      if (session && session.runs.size > 0) this.idleFrom.delete(vm.name);
      else if (!this.idleFrom.has(vm.name)) this.idleFrom.set(vm.name, now);
    }
  }

  private round(): void {
    for (const wave of this.parts.operators.waves.values()) this.stepWave(wave);
    this.stepPools();
  }

  private stepPools(): void {
    for (const move of planPools(this.plannedPools())) {
      const barred = this.impossibleMoves.has(`${move.vm}>${move.to}`);
      if (barred || this.orders.has(move.vm)) continue;
      const vm = this.vms.find(listed => listed.name === move.vm);
      if (vm) void this.order(vm, {kind: 'move', to: move.to});
    }
  }

  private plannedPools(): PlannedPool[] {
    const now = this.parts.clock.monotonicMilliseconds();
    const services = this.parts.operators.configuration?.services ?? [];
    return services.map(service => ({
      service: service.name,
      standby: service.standby,
      ...this.waitingIn(service.name, now),
      arriving: this.arrivingAt(service.name),
      vms: this.vms
        .filter(
          vm => vm.pool === service.name && this.isMovable(vm, service.standby),
        )
        .map(vm => ({
          name: vm.name,
          millicores: vm.room.processorMillicores,
          idleMilliseconds: now - (this.idleFrom.get(vm.name) ?? now),
        })),
    }));
  }

  private waitingIn(
    service: string,
    now: number,
  ): Pick<PlannedPool, 'waitingMillicores' | 'waitingMilliseconds'> {
    const {waitingMillicores, waitingSince} = this.dispatcher.loadOf(service);
    return {
      waitingMillicores,
      waitingMilliseconds:
        waitingSince === undefined ? 0 : Math.max(1, now - waitingSince),
    };
  }

  private arrivingAt(service: string): number {
    const ordered = [...this.orders.values()].filter(
      order => order.kind === 'move' && order.to === service,
    );
    const moving = this.vms.filter(
      vm =>
        vm.pool === service &&
        (vm.state === VmState.Moving || this.isComing(vm)) &&
        !this.orders.has(vm.name),
    );
    return ordered.length + moving.length;
  }

  /** Up, and its new worker has not been looked at yet. */
  private isComing(vm: ListedVm): boolean {
    if (vm.state !== VmState.Up) return false;
    const session = this.registry.find(vm.workerId);
    return !session || session.isStarting;
  }

  private isMovable(vm: ListedVm, standby: boolean): boolean {
    if (vm.state !== VmState.Up || this.orders.has(vm.name)) return false;
    if (this.barred.has(vm.name)) return false;
    const session = this.registry.find(vm.workerId);
    if (!session) return standby;
    return (
      session.runs.size === 0 &&
      session.silentFrom === undefined &&
      !session.isDraining &&
      !session.isReserved
    );
  }

  private stepWave(wave: MaintenanceWave): void {
    if (!this.waves.isLoaded || this.waves.isCompleted(wave)) return;
    const listed = new Map(this.vms.map(vm => [vm.name, vm]));
    const open = wave.vms.filter(name => !this.waves.isDone(wave, name));
    const due = open.flatMap(name => {
      const vm = listed.get(name);
      if (!vm) this.waves.noteDone(wave, name);
      return vm && this.canBeMaintained(vm) ? [this.dueVm(vm)] : [];
    });
    const {limits} = this.parts.settings;
    const step = planWave({
      due,
      away: this.awayOf(wave, listed),
      maximumAtOnce: wave.maximumAtOnce,
      leftMilliseconds: this.waves.leftMilliseconds(wave),
      maintenanceMilliseconds:
        limits.maintenance + MAINTENANCE_OVERHEAD_MILLISECONDS,
    });
    for (const name of step.maintain) {
      const vm = listed.get(name);
      if (vm) void this.order(vm, {kind: 'maintain', to: String(wave.number)});
    }
    for (const name of step.empty) {
      const vm = listed.get(name);
      if (vm) this.empty(vm, wave);
    }
  }

  private canBeMaintained(vm: ListedVm): boolean {
    return (
      vm.state === VmState.Up &&
      !this.orders.has(vm.name) &&
      !this.barred.has(vm.name)
    );
  }

  /** VMs of a wave that are in maintenance, or may be. */
  private awayOf(
    wave: MaintenanceWave,
    listed: ReadonlyMap<string, ListedVm>,
  ): number {
    return wave.vms.filter(name => {
      const order = this.orders.get(name);
      if (order?.kind === 'maintain') return true;
      return listed.get(name)?.state === VmState.Maintenance;
    }).length;
  }

  private dueVm(vm: ListedVm): DueVm {
    const session = this.registry.find(vm.workerId);
    const runs = [...(session?.runs.values() ?? [])];
    const lasting = runs.filter(
      run => run.taskOfJob.specification.longRunning,
    ).length;
    return {
      name: vm.name,
      idle: runs.length === 0,
      shortTasks: runs.length - lasting,
      lastingTasks: lasting,
    };
  }

  private empty(vm: ListedVm, wave: MaintenanceWave): void {
    const session = this.registry.find(vm.workerId);
    if (!session) return;
    session.reserve(`wave ${wave.number}`);
    for (const run of session.runs.values())
      if (this.mayEvacuate(run)) void session.stop(run);
  }

  /** A task that lasts may be taken away while no other of its step is. */
  private mayEvacuate(run: LiveRun): boolean {
    const step = run.taskOfJob.specification;
    if (!step.longRunning || run.stopAsked) return false;
    const others = run.execution
      .tasksOfStep(run.taskOfJob.occurrence, run.taskOfJob.step)
      .filter(task => task !== run.taskOfJob);
    const away = others.filter(task => !this.isAtWork(run, task.key)).length;
    return away < Math.max(1, step.mayMiss);
  }

  private isAtWork(run: LiveRun, taskKey: string): boolean {
    const task = run.execution.task(taskKey);
    const session = task && this.registry.find(task.progress.worker);
    const other = session?.runs.get(`${run.execution.job.id}.${taskKey}`);
    return (
      other !== undefined &&
      other.status === RunStatus.Confirmed &&
      !other.stopAsked &&
      other.percent >= FULL_PERCENT
    );
  }

  /** Gives an order until its fate is known. */
  private async order(vm: ListedVm, order: VmOrder): Promise<void> {
    this.orders.set(vm.name, order);
    const session = this.registry.find(vm.workerId);
    session?.reserve(order.kind);
    let outcome = VmOrderOutcome.Unknown;
    while (!this.closed && outcome === VmOrderOutcome.Unknown) {
      if (this.ordersAllowed()) outcome = await this.send(vm.name, order);
      if (outcome === VmOrderOutcome.Unknown)
        await this.pause(REPEAT_MILLISECONDS);
    }
    if (this.closed) return;
    this.settle(vm, order, outcome, session);
    // The list must show the new state before the VM is planned with again.
    await this.pause(ROUND_MILLISECONDS);
    this.orders.delete(vm.name);
  }

  private send(vm: string, order: VmOrder): Promise<VmOrderOutcome> {
    const holder = {
      name: this.parts.settings.node,
      fencingToken: this.term,
    };
    return order.kind === 'move'
      ? this.parts.machines.move(vm, order.to, holder)
      : this.parts.machines.maintain(vm, Number(order.to), holder);
  }

  private settle(
    vm: ListedVm,
    order: VmOrder,
    outcome: VmOrderOutcome,
    session: WorkerSession | undefined,
  ): void {
    const {logger, metrics, operators} = this.parts;
    logger.info(LogEvent.VmOrdered, {
      vm: vm.name,
      from: vm.pool,
      order: order.kind,
      to: order.to,
      outcome,
    });
    metrics.increment(MetricName.VmOrders, {order: order.kind, outcome});
    const wave =
      order.kind === 'maintain'
        ? operators.waves.get(Number(order.to))
        : undefined;
    const over =
      outcome === VmOrderOutcome.Done || outcome === VmOrderOutcome.Impossible;
    if (wave && over) this.waves.noteDone(wave, vm.name);
    if (outcome === VmOrderOutcome.Done) {
      session?.endLife(order.kind);
      return;
    }
    if (outcome === VmOrderOutcome.Fenced) this.barred.add(vm.name);
    if (outcome === VmOrderOutcome.Impossible && order.kind === 'move')
      this.impossibleMoves.add(`${vm.name}>${order.to}`);
    session?.reserve(undefined);
  }

  private pause(milliseconds: number): Promise<void> {
    return new Promise(resolve => {
      this.parts.clock.schedule(milliseconds, resolve);
    });
  }
}
