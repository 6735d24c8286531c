import {logTaskFailure, sleep, supervise} from '@gentiandoor/kernel';
import type {StepSpecification} from '@gentiandoor/jobs';
import {
  vmListDelayMilliseconds,
  largestCapacity,
  planPools,
  planningDelayMilliseconds,
  type PlannedPool,
  type PlannedVm,
} from '@gentiandoor/scheduling';
import type {Dispatcher} from './dispatcher.js';
import {FleetCapabilities, couldRun} from './fleet-capabilities.js';
import {IncarnationEnd} from './incarnation-end.js';
import type {JobStreams} from './job-streams.js';
import {MissingVms} from './missing-vms.js';
import {VmOrderOutcome, VmState, type ListedVm} from './vm-gateway.js';
import type {MaintenanceWave, ServicePool} from './operator-records.js';
import type {OperatorView} from './operator-view.js';
import {PoolSizeLog} from './pool-size-log.js';
import type {RecordFormats} from './record-formats.js';
import type {ServiceDemand} from './service-demand.js';
import {VmArrivals} from './vm-arrivals.js';
import {VmOrders, type VmOrderParts, type VmOrderRequest} from './vm-orders.js';
import {MaintenanceController} from './maintenance-controller.js';
import type {VmEvacuation} from './vm-evacuation.js';
import type {WorkerRegistry} from './worker-registry.js';
import type {WorkerSession} from './worker-session.js';

/** Dependencies of a fleet controller. */
export interface FleetParts extends VmOrderParts {
  readonly jobs: JobStreams;
  readonly formats: RecordFormats;
  readonly operators: OperatorView;
}

/** Functions of the coordinator that a fleet controller calls. */
export interface FleetHost {
  ordersAllowed(): boolean;
  /** Called with each list of VMs; `isGone` tells which workers no VM runs any more. */
  vmsListed(isGone: (instance: string) => boolean): void;
  /** Called when the store reports that a later term has written. */
  onFenced(): void;
}

/** Data about submitted jobs that is not older than this counts as current. */
const CURRENT_DATA_AGE_MILLISECONDS = 1_000;
/** Reason for cordoning a VM before it changes its pool. */
const POOL_CHANGE = 'pool change';

/** Since when nothing has run on a VM; a VM that has moved begins a new period. */
interface IdlePeriod {
  readonly workerId: string;
  readonly at: number;
}

/** Moves VMs between pools and through maintenance. */
export class FleetController {
  private readonly orders: VmOrders;
  private readonly impossibleMoves = new Set<string>();
  private readonly idleSince = new Map<string, IdlePeriod>();
  /** Worker incarnation last seen on each VM. */
  private readonly incarnations = new Map<string, string>();
  /** Workers that no listed VM runs. */
  private readonly missing: MissingVms;
  private readonly maintenance: MaintenanceController;
  private readonly poolLog: PoolSizeLog;
  private readonly arrivals: VmArrivals;
  private vms: readonly ListedVm[] = [];
  /** Undefined until the VMs have been listed. */
  private capabilities: FleetCapabilities | undefined;
  private listDueAt = -Infinity;
  private closed = false;

  constructor(
    term: number,
    private readonly parts: FleetParts,
    private readonly registry: WorkerRegistry,
    private readonly dispatcher: Dispatcher,
    private readonly demand: ServiceDemand,
    private readonly host: FleetHost,
    /** Undefined if VMs are only emptied by the ends of their runs. */
    private readonly evacuation?: VmEvacuation,
  ) {
    this.poolLog = new PoolSizeLog(parts.clock, parts.logger);
    this.arrivals = new VmArrivals(parts.clock);
    this.missing = new MissingVms(parts.clock);
    this.orders = new VmOrders(term, parts, () => host.ordersAllowed());
    this.maintenance = new MaintenanceController(
      term,
      parts,
      registry,
      this.orders,
      () => host.onFenced(),
    );
  }

  start(): void {
    void supervise({
      ...this.parts,
      name: 'fleet controller',
      isStopped: () => this.closed,
      run: () => this.run(),
    });
  }

  close(): void {
    this.closed = true;
    this.orders.close();
    this.maintenance.close();
  }

  /** Returns whether at most one VM could run a step, as far as is known. */
  hasSingleVmFor(step: StepSpecification): boolean {
    const isListed = this.vms.length > 0;
    return isListed && this.vms.filter(vm => couldRun(vm, step)).length <= 1;
  }

  /**
   * Returns whether a VM could run a task of `step`, as far as is known; VMs of the pool `except` do
   * not count.
   */
  canRun(step: StepSpecification, except?: string): boolean {
    return this.capabilities?.canRun(step, except) ?? true;
  }

  /**
   * Plans pools more often than it lists VMs: the list takes bandwidth, while callers in a burst
   * wait for the plan.
   */
  private async run(): Promise<void> {
    await this.orders.load();
    while (!this.closed) {
      if (this.now() >= this.listDueAt) await this.refreshVmList();
      await this.maintenance.load();
      const startedAt = this.now();
      const requests = this.canPlan ? this.plan() : [];
      const delayMilliseconds = planningDelayMilliseconds(
        this.now() - startedAt,
      );
      // Not awaited: while the store responds slowly, waiting work would wait for it twice. Orders
      // in progress are not planned again.
      void this.orders.issue(requests);
      await sleep(this.parts.clock, delayMilliseconds);
    }
  }

  private get canPlan(): boolean {
    return this.vms.length > 0 && this.host.ordersAllowed();
  }

  private async refreshVmList(): Promise<void> {
    const startedAt = this.now();
    const vms = await this.parts.vmGateway.list();
    this.listDueAt =
      this.now() + vmListDelayMilliseconds(this.now() - startedAt);
    if (this.closed || !vms || vms.length === 0) return;
    this.vms = vms;
    this.capabilities = new FleetCapabilities(vms);
    this.orders.noteListed(startedAt);
    this.endLostIncarnations(startedAt);
  }

  /**
   * Ends incarnations whose VM runs another incarnation or none, so that their tasks need not wait
   * for the lease to expire. A worker whose VM one list leaves out may run on behind a partition.
   */
  private endLostIncarnations(listedFrom: number): void {
    const alive = new Set(this.vms.map(vm => vm.workerId));
    for (const vm of this.vms) {
      const previousWorkerId = this.incarnations.get(vm.name);
      if (
        previousWorkerId &&
        previousWorkerId !== vm.workerId &&
        !alive.has(previousWorkerId)
      )
        this.registry
          .find(previousWorkerId)
          ?.endIncarnation(incarnationEndOf(vm));
      this.incarnations.set(vm.name, vm.workerId);
    }
    const isGone = (instance: string) => this.isGone(instance, alive);
    for (const session of [...this.registry.all()]) {
      const {silentFrom} = session;
      const isSilent = silentFrom !== undefined && silentFrom <= listedFrom;
      if (isGone(session.entry.instance) && isSilent)
        session.endIncarnation(IncarnationEnd.NoVm);
    }
    this.host.vmsListed(isGone);
  }

  private isGone(instance: string, alive: ReadonlySet<string>): boolean {
    if (!alive.has(instance)) return this.missing.isGone(instance, this.vms);
    this.missing.notePresent(instance);
    return false;
  }

  private noteIdle(): void {
    const at = this.now();
    for (const {name, workerId} of this.vms) {
      const session = this.registry.find(workerId);
      if (session && session.runs.size > 0) this.idleSince.delete(name);
      else if (this.idleSince.get(name)?.workerId !== workerId)
        this.idleSince.set(name, {workerId, at});
    }
  }

  /** Decides which VMs to move or maintain now. */
  private plan(): VmOrderRequest[] {
    this.noteIdle();
    const pools = this.plannedPools();
    for (const {service, incomingVms, vmMillicores} of pools)
      this.dispatcher.setIncomingMillicores(
        service,
        incomingVms * vmMillicores,
      );
    this.poolLog.note(pools, this.parts.jobs.submissionAgeMilliseconds);
    const requests: VmOrderRequest[] = [];
    for (const wave of this.parts.operators.waves.values())
      requests.push(...this.planWave(wave, pools));
    const maintainedVmNames = new Set(requests.map(request => request.vm.name));
    for (const request of this.planMoves(pools))
      if (!maintainedVmNames.has(request.vm.name)) requests.push(request);
    return requests;
  }

  /** Plans a wave, whose failure leaves the other waves and the pools alone. */
  private planWave(
    wave: MaintenanceWave,
    pools: readonly PlannedPool[],
  ): VmOrderRequest[] {
    try {
      return this.maintenance.planOrders(wave, this.vms, pools);
    } catch (error) {
      const fields = {wave: wave.number};
      logTaskFailure(this.parts.logger, 'plan of a wave', fields, error);
      return [];
    }
  }

  private planMoves(pools: readonly PlannedPool[]): VmOrderRequest[] {
    const plan = planPools(pools);
    this.cordonForMoves(
      new Set(plan.cordon),
      new Set(plan.moves.map(({vm}) => vm)),
    );
    return plan.moves.flatMap(move => {
      const vm = this.vms.find(listed => listed.name === move.vm);
      const isImpossible = this.impossibleMoves.has(`${move.vm}>${move.to}`);
      return vm && !isImpossible ? [this.moveOf(vm, move.to)] : [];
    });
  }

  private moveOf(vm: ListedVm, pool: string): VmOrderRequest {
    return {
      vm,
      order: {kind: 'move', to: pool},
      session: this.sessionOn(vm),
      onOutcome: outcome => {
        if (outcome === VmOrderOutcome.Impossible)
          this.impossibleMoves.add(`${vm.name}>${pool}`);
      },
    };
  }

  /**
   * Cordons VMs that are to move, and uncordons those that no longer need to, unless they move now.
   */
  private cordonForMoves(
    names: ReadonlySet<string>,
    moving: ReadonlySet<string>,
  ): void {
    for (const vm of this.vms) {
      const session = this.sessionOn(vm);
      if (!session) continue;
      if (names.has(vm.name)) {
        if (session.cordonReason === undefined) session.cordon(POOL_CHANGE);
        this.evacuation?.evacuate(session);
      } else if (session.cordonReason === POOL_CHANGE && !moving.has(vm.name))
        session.cordon(undefined);
    }
  }

  private plannedPools(): PlannedPool[] {
    const services = this.parts.operators.configuration?.services ?? [];
    return services.map(service => this.plannedPool(service));
  }

  private plannedPool({name, standby}: ServicePool): PlannedPool {
    const now = this.now();
    const demandAt = this.demandTime();
    const load = this.dispatcher.loadOf(name);
    const members = this.vms.filter(vm => vm.pool === name);
    const sessions = this.registry
      .ofService(name)
      .filter(
        session =>
          session.acceptsStarts || session.cordonReason === POOL_CHANGE,
      );
    return {
      service: name,
      standby,
      usedMillicores: sessions.reduce(
        (sum, session) => sum + session.weightedMillicores,
        0,
      ),
      waitingMillicores: load.waitingMillicores,
      waitingMilliseconds:
        load.waitingSince === undefined
          ? 0
          : Math.max(1, now - load.waitingSince),
      spreadConstraintVms: load.spreadVms,
      offeredLoadMillicores: this.demand.offeredLoadMillicores(name, demandAt),
      currentLoadMillicores: this.demand.currentLoadMillicores(name, demandAt),
      standardErrorMillicores: this.demand.standardErrorMillicores(
        name,
        demandAt,
      ),
      incomingVms: this.countIncomingVms(name, members),
      usableVms: sessions.length,
      vms: members
        .filter(vm => this.isMovable(vm, standby))
        .map(vm => this.plannedVm(vm, now)),
      vmMillicores:
        largestCapacity(
          (members.length > 0 ? members : this.vms).map(vm => vm.capacity),
        )?.processorMillicores ?? 0,
    };
  }

  /**
   * Returns the time at which the arriving load is estimated. While submissions can't be read, it
   * stands still: otherwise nothing would seem to arrive, and the pools would be emptied.
   */
  private demandTime(): number {
    const age = this.parts.jobs.meanSubmissionAgeMilliseconds;
    return this.now() - Math.max(0, age - CURRENT_DATA_AGE_MILLISECONDS);
  }

  private plannedVm(vm: ListedVm, now: number): PlannedVm {
    const session = this.sessionOn(vm);
    const busy = session !== undefined && session.runs.size > 0;
    return {
      name: vm.name,
      millicores: vm.capacity.processorMillicores,
      idleMilliseconds: busy
        ? undefined
        : now - (this.idleSince.get(vm.name)?.at ?? now),
      isCordoned: session?.cordonReason === POOL_CHANGE,
      usedMillicores: session?.weightedMillicores ?? 0,
    };
  }

  private countIncomingVms(
    service: string,
    members: readonly ListedVm[],
  ): number {
    let count = 0;
    for (const [, order] of this.orders.all())
      if (order.kind === 'move' && order.to === service) count++;
    for (const vm of members)
      if (!this.orders.openOrder(vm.name) && this.isIncoming(vm)) count++;
    return count;
  }

  /**
   * Returns whether a VM is being moved or maintained, or is up with a worker that has not been
   * polled yet and is expected to be soon.
   */
  private isIncoming(vm: ListedVm): boolean {
    if (vm.state === VmState.Moving || vm.state === VmState.Maintenance)
      return true;
    if (vm.state !== VmState.Up) return false;
    const session = this.sessionOn(vm);
    const isArriving = !session || session.isStarting;
    return this.arrivals.isExpected(vm.workerId, isArriving);
  }

  /**
   * Returns whether a VM may be moved: up, not draining, not cordoned for a wave, and without
   * long-running tasks.
   */
  private isMovable(vm: ListedVm, standby: boolean): boolean {
    if (vm.state !== VmState.Up || !this.orders.isFree(vm.name)) return false;
    const session = this.sessionOn(vm);
    if (!session) return standby;
    if (session.isDraining || session.hasLongRunningTask) return false;
    const isCordonedForWave =
      session.cordonReason !== undefined &&
      session.cordonReason !== POOL_CHANGE;
    if (isCordonedForWave) return false;
    return standby || session.silentFrom === undefined;
  }

  private sessionOn(vm: ListedVm): WorkerSession | undefined {
    return this.registry.find(vm.workerId);
  }

  private now(): number {
    return this.parts.clock.monotonicMilliseconds();
  }
}

/** Returns why the incarnation ended that `vm` no longer runs. */
function incarnationEndOf({state}: ListedVm): IncarnationEnd {
  const isMovingOrInMaintenance =
    state === VmState.Moving || state === VmState.Maintenance;
  return isMovingOrInMaintenance
    ? IncarnationEnd.VmMovingOrInMaintenance
    : IncarnationEnd.LeftVm;
}
