import {FailureDomain, type Bundle, type ServiceEntry} from './bundle.js';
import {PlannedWorkKind, isOutOfService} from './planning-state.js';
import type {FleetState} from './fleet-state.js';

/** Counts of one pool, kept as its VMs change. */
export interface PoolCapacity {
  /** VMs that the pool owns. */
  readonly vms: Set<string>;
  owned: number;
  /** Owned, up and in service. */
  available: number;
  /** Out of service by plan. */
  planned: number;
  readonly availableByRack: Map<string, number>;
  readonly availableByDataCentre: Map<string, number>;
}

/** Where a VM stands. */
export interface VmLocation {
  readonly rack: string;
  readonly dataCentre: string;
}

const UNKNOWN_LOCATION: VmLocation = {rack: '', dataCentre: ''};

/**
 * Counters behind every budget check. Without them a check would walk a pool, and a
 * planning round over 31,000 VMs would walk the fleet for each candidate. Derived from
 * the folded state alone, so it is no part of the state's hash.
 */
export class CapacityIndex {
  readonly pools = new Map<string, PoolCapacity>();
  /** Services whose `availableVms` is not met now. */
  readonly brokenServices = new Set<string>();
  private readonly locations = new Map<string, VmLocation>();
  private readonly dataCentreSizes = new Map<string, number>();
  private readonly serviceNamesByPool = new Map<string, string[]>();
  private readonly bundle: Bundle | undefined;
  private indexedFingerprint: readonly unknown[];

  constructor(private readonly state: FleetState) {
    this.bundle = state.inForce?.bundle;
    this.indexBundle();
    for (const vm of state.vms.keys()) this.countVm(vm, 1);
    for (const pool of this.serviceNamesByPool.keys())
      this.updateBrokenServices(pool);
    this.indexedFingerprint = stateFingerprint(state);
  }

  locationOf(vm: string): VmLocation {
    return this.locations.get(vm) ?? UNKNOWN_LOCATION;
  }

  /** VMs that the bundle places in a data centre. */
  dataCentreSize(name: string): number {
    return this.dataCentreSizes.get(name) ?? 0;
  }

  /** Domains of a kind that the bundle has. */
  failureDomainCount(domain: FailureDomain): number {
    if (domain === FailureDomain.DataCentre) return this.dataCentreSizes.size;
    if (domain === FailureDomain.Rack)
      return Object.keys(this.bundle?.racks ?? {}).length;
    return this.locations.size;
  }

  pool(name: string): PoolCapacity {
    const known = this.pools.get(name);
    if (known) return known;
    const fresh: PoolCapacity = {
      vms: new Set(),
      owned: 0,
      available: 0,
      planned: 0,
      availableByRack: new Map(),
      availableByDataCentre: new Map(),
    };
    this.pools.set(name, fresh);
    return fresh;
  }

  /** Services that a pool carries. */
  services(pool: string): readonly string[] {
    return this.serviceNamesByPool.get(pool) ?? [];
  }

  service(name: string): ServiceEntry | undefined {
    return this.bundle?.services[name];
  }

  /** Whether the VM counts towards its pool's budgets. */
  isAvailable(vm: string): boolean {
    const {vms, conditions, work} = this.state;
    return vms.has(vm) && !conditions.has(vm) && !isOutOfService(work.get(vm));
  }

  /** Runs `change` on one VM and keeps the counters right. */
  update(vm: string, change: () => void): void {
    const before = this.state.vms.get(vm)?.pool;
    this.countVm(vm, -1);
    change();
    this.countVm(vm, 1);
    const after = this.state.vms.get(vm)?.pool;
    if (before !== undefined) this.updateBrokenServices(before);
    if (after !== undefined && after !== before)
      this.updateBrokenServices(after);
    this.indexedFingerprint = stateFingerprint(this.state);
  }

  /** Whether the counters belong to what the state holds now. */
  isCurrent(): boolean {
    const seen = stateFingerprint(this.state);
    return seen.every(
      (part, position) => part === this.indexedFingerprint[position],
    );
  }

  private indexBundle(): void {
    if (!this.bundle) return;
    for (const [rack, entry] of Object.entries(this.bundle.racks)) {
      const place = {rack, dataCentre: entry.dataCentre};
      for (const vm of entry.vms) this.locations.set(vm, place);
      addToCount(this.dataCentreSizes, entry.dataCentre, entry.vms.length);
    }
    for (const [name, service] of Object.entries(this.bundle.services)) {
      const names = this.serviceNamesByPool.get(service.pool) ?? [];
      names.push(name);
      this.serviceNamesByPool.set(service.pool, names);
    }
  }

  private countVm(vm: string, by: number): void {
    const record = this.state.vms.get(vm);
    if (!record) return;
    const pool = this.pool(record.pool);
    const work = this.state.work.get(vm);
    pool.owned += by;
    if (by > 0) pool.vms.add(vm);
    else pool.vms.delete(vm);
    if (isOutOfService(work) && work?.kind !== PlannedWorkKind.Repair)
      pool.planned += by;
    if (!this.isAvailable(vm)) return;
    const {rack, dataCentre} = this.locationOf(vm);
    pool.available += by;
    addToCount(pool.availableByRack, rack, by);
    addToCount(pool.availableByDataCentre, dataCentre, by);
  }

  private updateBrokenServices(pool: string): void {
    const {available} = this.pool(pool);
    for (const name of this.services(pool)) {
      const needed = this.service(name)?.budget.availableVms ?? 0;
      if (available < needed) this.brokenServices.add(name);
      else this.brokenServices.delete(name);
    }
  }
}

/** VMs that the largest failure of a domain takes, where `without` is already gone. */
export function largestFailureDomainLoss(
  pool: PoolCapacity,
  domain: FailureDomain,
  without?: VmLocation,
): number {
  switch (domain) {
    case FailureDomain.None:
      return 0;
    case FailureDomain.Vm:
      return pool.available - (without ? 1 : 0) > 0 ? 1 : 0;
    case FailureDomain.Rack:
      return largest(pool.availableByRack, without?.rack);
    case FailureDomain.DataCentre:
      return largest(pool.availableByDataCentre, without?.dataCentre);
  }
}

function largest(counts: ReadonlyMap<string, number>, less?: string): number {
  let most = 0;
  for (const [name, count] of counts)
    most = Math.max(most, name === less ? count - 1 : count);
  return most;
}

function addToCount(
  counts: Map<string, number>,
  name: string,
  by: number,
): void {
  const next = (counts.get(name) ?? 0) + by;
  if (next === 0) counts.delete(name);
  else counts.set(name, next);
}

/**
 * What the counters rest on: a bundle in force, or a snapshot read into the state, changes
 * it behind their back, and they are worked out anew.
 */
function stateFingerprint(state: FleetState): readonly unknown[] {
  const {vms, work, conditions, inForce} = state;
  return [inForce, vms.hash, work.hash, conditions.hash];
}

const INDEXES = new WeakMap<FleetState, CapacityIndex>();

/** The counters of a state. */
export function capacityIndexOf(state: FleetState): CapacityIndex {
  const cached = INDEXES.get(state);
  if (cached?.isCurrent()) return cached;
  const index = new CapacityIndex(state);
  INDEXES.set(state, index);
  return index;
}
