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

/** Dependencies of VM orders. */
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
  /** Name of the pool, or number of the wave. */
  readonly to: string;
}

/** An order with its VM and the session of the VM's worker. */
export interface VmOrderRequest {
  readonly vm: ListedVm;
  readonly order: VmOrder;
  readonly session: WorkerSession | undefined;
  /** Called once the outcome of the order is known. */
  readonly onOutcome: (outcome: VmOrderOutcome) => void;
}

/** Retry interval of an unanswered order; orders are idempotent. */
const RESEND_INTERVAL_MILLISECONDS = 500;
/** A list requested this long after an order's answer reflects the order. */
const LIST_LAG_MILLISECONDS = 300;
const RETRY_MILLISECONDS = 100;

/** Key prefix of the record of a VM's last order. */
const ORDER_KEY_PREFIX = 'order/';

/**
 * Returns whether a key of the fleet stream belongs to the record of a VM's last order.
 */
export function isVmOrderKey(key: string): boolean {
  return key.startsWith(ORDER_KEY_PREFIX);
}

/** The last order about a VM, as stored. */
interface StoredOrder {
  readonly holder: string;
  /** Term of the holder. A restarted daemon begins a new one. */
  readonly term: number;
  /**
   * Monotonic time of the holder: only the difference between two orders of one term is
   * meaningful.
   */
  readonly at: number;
}

/**
 * Tracks orders about VMs that are in progress. The last order about each VM is stored
 * before it is sent: two holders must not give orders about one VM in quick succession,
 * and when the coordinator changes, only VMs with recent orders have to wait.
 */
export class VmOrders {
  private readonly open = new Map<string, VmOrder>();
  /** Time at which the outcome of an order in progress became known. */
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

  /** Loads which VMs the previous holder has given orders about. */
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

  /** Returns whether an order about the VM may be given now. */
  isFree(vm: string): boolean {
    if (this.open.has(vm) || this.fencedVms.has(vm)) return false;
    const until = this.blockedUntil.get(vm);
    return (
      until === undefined || this.parts.clock.monotonicMilliseconds() >= until
    );
  }

  /** Returns the order about a VM that is in progress, if any. */
  openOrder(vm: string): VmOrder | undefined {
    return this.open.get(vm);
  }

  /** Returns all orders in progress. */
  all(): Iterable<[string, VmOrder]> {
    return this.open;
  }

  /**
   * Handles a list of the VMs that reflects their state at `listedFrom` or later. An
   * order remains in progress until a list shows its effect: with an older list, a VM
   * that has just moved would be moved again.
   */
  noteListed(listedFrom: number): void {
    for (const [vm, settledAt] of this.settledAt) {
      if (listedFrom < settledAt + LIST_LAG_MILLISECONDS) continue;
      this.settledAt.delete(vm);
      this.open.delete(vm);
    }
  }

  /** Stores the orders, then sends them. */
  async issue(requests: readonly VmOrderRequest[]): Promise<void> {
    if (requests.length === 0) return;
    for (const {vm, order, session} of requests) {
      this.open.set(vm.name, order);
      session?.cordon(order.kind);
    }
    if (!(await this.store(requests))) return;
    for (const request of requests) void this.issueOne(request);
  }

  /**
   * Blocks VMs about which an earlier holder may have given an order recently. Each VM
   * has its own record: a single record of all recent orders would grow with the fleet
   * and be written with each order.
   */
  private blockPredecessorOrders(records: readonly KeyedRecord[]): void {
    const {clock, settings} = this.parts;
    const now = clock.monotonicMilliseconds();
    const orders = records.flatMap(record => {
      const order = this.readOrder(record);
      const isOther = order && order.holder !== settings.node;
      return isOther ? [{vm: vmOfKey(record.key), ...order}] : [];
    });
    const newest = new Map<number, number>();
    for (const {term, at} of orders)
      newest.set(term, Math.max(at, newest.get(term) ?? at));
    for (const {vm, term, at} of orders) {
      // A term's newest order may have been given just now; an older one was given
      // earlier by the difference of their times.
      const ageMilliseconds = (newest.get(term) ?? at) - at;
      const remaining =
        settings.limits.holderChangeMilliseconds - ageMilliseconds;
      if (remaining > 0) this.blockedUntil.set(vm, now + remaining);
    }
  }

  private readOrder(record: KeyedRecord): StoredOrder | undefined {
    try {
      const order = JSON.parse(String(record.value)) as Partial<StoredOrder>;
      const {holder, term, at} = order;
      if (typeof holder !== 'string')
        throw new TypeError('holder is missing or not a string');
      if (!isReadableNumber(term))
        throw new TypeError('term is missing or not a number');
      if (!isReadableNumber(at))
        throw new TypeError('at is missing or not a number');
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
    const {vmGateway, settings} = this.parts;
    const holder = {name: settings.node, fencingToken: this.term};
    return order.kind === 'move'
      ? vmGateway.move(vm, order.to, holder)
      : vmGateway.maintain(vm, Number(order.to), holder);
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

/** How an order that was carried out ends the incarnation of the VM's worker. */
const INCARNATION_END_BY_ORDER: Readonly<
  Record<VmOrder['kind'], IncarnationEnd>
> = {
  move: IncarnationEnd.Moved,
  maintain: IncarnationEnd.Maintained,
};

function isReadableNumber(value: unknown): value is number {
  return (
    typeof value === 'number' && Math.abs(value) <= Number.MAX_SAFE_INTEGER
  );
}

function vmOfKey(key: string): string {
  return key.slice(ORDER_KEY_PREFIX.length);
}
