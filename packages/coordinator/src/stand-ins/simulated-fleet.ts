import {
  VmOrderOutcome,
  VmState,
  type ListedVm,
  type VmGateway,
  type OrderHolder,
} from '../index.js';
import {sleep, type Clock} from '@gentiandoor/kernel';

/** An order about a VM that was carried out. */
export interface FleetOrder {
  readonly vm: string;
  readonly kind: 'move' | 'maintain';
  readonly to: string;
  readonly at: number;
  readonly holder: OrderHolder;
}

const ANSWER_MILLISECONDS = 3;

/** Simulates the VMs of a test, and records the orders that were carried out. */
export class SimulatedFleet implements VmGateway {
  readonly vms = new Map<string, ListedVm>();
  readonly orders: FleetOrder[] = [];
  /** Called when a VM leaves its worker; returns the id of the new incarnation. */
  onOrder: (order: FleetOrder) => string = () => '';

  constructor(
    private readonly clock: Clock,
    private readonly moveMilliseconds = 1_500,
    private readonly maintenanceMilliseconds = 2_000,
  ) {}

  add(vm: ListedVm): void {
    this.vms.set(vm.name, vm);
  }

  async list(): Promise<readonly ListedVm[]> {
    await sleep(this.clock, ANSWER_MILLISECONDS);
    return [...this.vms.values()];
  }

  async move(
    vm: string,
    pool: string,
    holder: OrderHolder,
  ): Promise<VmOrderOutcome> {
    await sleep(this.clock, ANSWER_MILLISECONDS);
    return this.carryOut({vm, kind: 'move', to: pool, at: this.now(), holder});
  }

  async maintain(
    vm: string,
    wave: number,
    holder: OrderHolder,
  ): Promise<VmOrderOutcome> {
    await sleep(this.clock, ANSWER_MILLISECONDS);
    return this.carryOut({
      vm,
      kind: 'maintain',
      to: String(wave),
      at: this.now(),
      holder,
    });
  }

  private carryOut(order: FleetOrder): VmOrderOutcome {
    const vm = this.vms.get(order.vm);
    if (!vm) return VmOrderOutcome.Impossible;
    if (vm.state !== VmState.Up) return VmOrderOutcome.Busy;
    this.orders.push(order);
    const workerId = this.onOrder(order);
    const isMove = order.kind === 'move';
    this.vms.set(order.vm, {
      ...vm,
      pool: isMove ? order.to : vm.pool,
      state: isMove ? VmState.Moving : VmState.Maintenance,
      workerId: '',
    });
    const durationMilliseconds = isMove
      ? this.moveMilliseconds
      : this.maintenanceMilliseconds;
    this.clock.schedule(durationMilliseconds, () => {
      const now = this.vms.get(order.vm);
      if (now) this.vms.set(order.vm, {...now, state: VmState.Up, workerId});
    });
    return VmOrderOutcome.Done;
  }

  private now(): number {
    return this.clock.monotonicMilliseconds();
  }
}
