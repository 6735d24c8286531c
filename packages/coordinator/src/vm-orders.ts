import {
  LogEvent,
  MetricName,
  sleep,
  type Clock,
  type Logger,
  type Metrics,
} from '@gentiandoor/kernel';
import type {KeyedRecord} from '@gentiandoor/jobs';
import type {EntrySettings} from './entry-settings.js';
import {IncarnationEnd} from './incarnation-end.js';
import {VmOrderOutcome, type ListedVm, type VmGateway} from './vm-gateway.js';
import {
  AppendOutcome,
  LogStream,
  ReadOutcome,
  type RecordLog,
} from './record-log.js';
import type {WorkerSession} from './worker-session.js';

/** What orders about VMs are given through. */
export interface VmOrderParts {
  readonly settings: EntrySettings;
  readonly log: RecordLog;
  readonly vmGateway: VmGateway;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** An order about a VM. */
export interface VmOrder {
  readonly kind: 'move' | 'maintain';
  /** Pool, or number of the wave. */
  readonly to: string;
}

/** An order with what it is about. */
export interface VmOrderRequest {
  readonly vm: ListedVm;
  readonly order: VmOrder;
  readonly session: WorkerSession | undefined;
  /** Called once its fate is known. */
  readonly onOutcome: (outcome: VmOrderOutcome) => void;
}

/** Retry interval of an unanswered order; orders are idempotent. */
const RESEND_INTERVAL_MILLISECONDS = 500;
/** A list requested this long after an order's answer reflects the order. */
const LIST_LAG_MILLISECONDS = 300;
const RETRY_MILLISECONDS = 100;

/** Begins the key of the record of a VM's last order. */
const ORDER_KEY_PREFIX = 'order/';

/** Whether a record of the fleet is that of a VM's last order. */
export function isVmOrderKey(key: string): boolean {
  return key.startsWith(ORDER_KEY_PREFIX);
}

/** The last order about a VM, as the store keeps it. */
interface StoredOrder {
  readonly holder: string;
  /** Of the holder. A daemon that is restarted begins a new one. */
  readonly term: number;
  /** Steady time at its holder: only the distance between two orders of one term says something. */
  readonly at: number;
}

/**
 * Orders about VMs that are not over. The last ones are stored before they are sent: two holders
 * must not order about one VM in quick turns, and only VMs of the last orders have to wait for
 * that when the coordinator changes.
 */
export class VmOrders {
  private readonly open = new Map<string, VmOrder>();
  /** When the fate of an open order was known. */
  private readonly settledAt = new Map<string, number>();
  private readonly fencedVms = new Set<string>();
  private readonly blockedUntil = new Map<string, number>();
  private closed = false;

  constructor(
    private readonly term: number,
    private readonly parts: VmOrderParts,
    private readonly ordersAllowed: () => boolean,
  ) {}

  close(): void {
    this.closed = true;
  }

  /** Learns which VMs the holder before has ordered about. */
  async load(): Promise<void> {
    while (!this.closed) {
      const result = await this.parts.log.newestByKey(LogStream.Fleet);
      if (result.outcome === ReadOutcome.Read) {
        this.blockPredecessorOrders(
          result.records.filter(record => isVmOrderKey(record.key)),
        );
        return;
      }
      await sleep(this.parts.clock, RETRY_MILLISECONDS);
    }
  }

  /** Whether an order about the VM may be given now. */
  isFree(vm: string): boolean {
    if (this.open.has(vm) || this.fencedVms.has(vm)) return false;
    const until = this.blockedUntil.get(vm);
    return (
      until === undefined || this.parts.clock.monotonicMilliseconds() >= until
    );
  }

  /** The order about a VM that is not over. */
  openOrder(vm: string): VmOrder | undefined {
    return this.open.get(vm);
  }

  /** Orders that are not over. */
  all(): Iterable<[string, VmOrder]> {
    return this.open;
  }

  /**
   * The VMs were listed, as they were at `listedFrom` or later. An order is over once a list shows what
   * it did: planned with by an older one, a VM that has just moved would be moved again.
   */
  noteListed(listedFrom: number): void {
    for (const [vm, settledAt] of this.settledAt) {
      if (listedFrom < settledAt + LIST_LAG_MILLISECONDS) continue;
      this.settledAt.delete(vm);
      this.open.delete(vm);
    }
  }

  /** Stores the orders, then gives them. */
  async issue(requests: readonly VmOrderRequest[]): Promise<void> {
    if (requests.length === 0) return;
    for (const {vm, order, session} of requests) {
      this.open.set(vm.name, order);
      session?.cordon(order.kind);
    }
    if (!(await this.store(requests))) return;
    for (const request of requests) void this.issueOne(request);
  }

  /** One record for each VM: one of all late orders grows with the fleet and goes out with each order. */
  private blockPredecessorOrders(records: readonly KeyedRecord[]): void {
    const {clock, settings} = this.parts;
    const now = clock.monotonicMilliseconds();
    const orders = records.flatMap(record => {
      const order = this.readOrder(record);
      const isOther = order && order.holder !== settings.node;
      return isOther ? [{vm: vmIn(record.key), ...order}] : [];
    });
    const newest = new Map<number, number>();
    for (const {term, at} of orders)
      newest.set(term, Math.max(at, newest.get(term) ?? at));
    for (const {vm, term, at} of orders) {
      // A term's newest order may have been given just now, an older one was given that much before.
      const before = (newest.get(term) ?? at) - at;
      const left = settings.limits.holderChange - before;
      if (left > 0) this.blockedUntil.set(vm, now + left);
    }
  }

  private readOrder(record: KeyedRecord): StoredOrder | undefined {
    try {
      const order = JSON.parse(String(record.value)) as Partial<StoredOrder>;
      const {holder, term, at} = order;
      if (typeof holder !== 'string') throw new TypeError('no holder');
      if (typeof term !== 'number') throw new TypeError('no term');
      if (typeof at !== 'number') throw new TypeError('no time');
      return {holder, term, at};
    } catch (error) {
      this.parts.logger.warn(LogEvent.RecordUnreadable, {
        stream: LogStream.Fleet,
        key: record.key,
        error: String(error),
      });
      return undefined;
    }
  }

  private async store(requests: readonly VmOrderRequest[]): Promise<boolean> {
    const {clock, settings, log} = this.parts;
    const order: StoredOrder = {
      holder: settings.node,
      term: this.term,
      at: clock.monotonicMilliseconds(),
    };
    const value = Buffer.from(JSON.stringify(order));
    const records = requests.map(({vm}) => ({
      key: ORDER_KEY_PREFIX + vm.name,
      value,
    }));
    while (!this.closed) {
      const result = await log.append(LogStream.Fleet, records);
      if (result.outcome === AppendOutcome.Appended) return true;
      await sleep(clock, RETRY_MILLISECONDS);
    }
    return false;
  }

  private async issueOne(request: VmOrderRequest): Promise<void> {
    const {vm, order} = request;
    let outcome = VmOrderOutcome.Unknown;
    while (!this.closed && outcome === VmOrderOutcome.Unknown) {
      if (this.ordersAllowed()) outcome = await this.send(vm.name, order);
      if (outcome === VmOrderOutcome.Unknown)
        await sleep(this.parts.clock, RESEND_INTERVAL_MILLISECONDS);
    }
    if (this.closed) return;
    this.settle(request, outcome);
    this.settledAt.set(vm.name, this.parts.clock.monotonicMilliseconds());
  }

  private send(vm: string, order: VmOrder): Promise<VmOrderOutcome> {
    const {vmGateway: machines, settings} = this.parts;
    const holder = {name: settings.node, fencingToken: this.term};
    return order.kind === 'move'
      ? machines.move(vm, order.to, holder)
      : machines.maintain(vm, Number(order.to), holder);
  }

  private settle(request: VmOrderRequest, outcome: VmOrderOutcome): void {
    const {vm, order, session} = request;
    this.parts.logger.info(LogEvent.VmOrdered, {
      vm: vm.name,
      from: vm.pool,
      order: order.kind,
      to: order.to,
      outcome,
    });
    this.parts.metrics.increment(MetricName.VmOrders, {
      order: order.kind,
      outcome,
    });
    if (outcome === VmOrderOutcome.Fenced) this.fencedVms.add(vm.name);
    if (outcome === VmOrderOutcome.Done)
      session?.endIncarnation(INCARNATION_END_BY_ORDER[order.kind]);
    else session?.cordon(undefined);
    request.onOutcome(outcome);
  }
}

/** How an order that was carried out ends the VM's worker. */
const INCARNATION_END_BY_ORDER: Readonly<
  Record<VmOrder['kind'], IncarnationEnd>
> = {
  move: IncarnationEnd.Moved,
  maintain: IncarnationEnd.Maintained,
};

function vmIn(key: string): string {
  return key.slice(ORDER_KEY_PREFIX.length);
}
