import {FailureDomain, type Bundle, type ServiceEntry} from './bundle.js';
import {PlannedWorkKind, isOutOfService} from './planning-state.js';
import type {FleetState} from './fleet-state.js';

/** Counters of one pool, updated whenever one of its VMs changes. */
export interface PoolCapacity {
  /** VMs that the pool owns. */
  readonly vms: Set<string>;
  owned: number;
  /** VMs that are owned, up and in service. */
  available: number;
  /** VMs that are out of service for planned work, repairs not counted. */
  planned: number;
  readonly availableByRack: Map<string, number>;
  readonly availableByDataCentre: Map<string, number>;
}

/** Rack and data centre of a VM. */
export interface VmLocation {
  readonly rack: string;
  readonly dataCentre: string;
}

const UNKNOWN_LOCATION: VmLocation = {rack: '', dataCentre: ''};

/**
 * Maintains the counters for the budget checks. Without them each check would iterate over a
 * pool, and a planning round over 31,000 VMs would iterate over the fleet for each candidate.
 * The counters are derived from the folded state alone, so they are not part of its hash.
 */
export class CapacityIndex {
  readonly pools = new Map<string, PoolCapacity>();
  /** Services that have fewer available VMs than their budget requires. */
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

  /** Returns the number of VMs that the bundle lists in a data centre. */
  dataCentreSize(name: string): number {
    return this.dataCentreSizes.get(name) ?? 0;
  }

  /** Returns the number of failure domains of one kind in the bundle. */
  failureDomainCount(domain: FailureDomain): number {
    if (domain === FailureDomain.DataCentre) return this.dataCentreSizes.size;
    if (domain === FailureDomain.Rack)
      return Object.keys(this.bundle?.racks ?? {}).length;
    return this.locations.size;
  }

  pool(name: string): PoolCapacity {
    const existing = this.pools.get(name);
    if (existing) return existing;
    const created: PoolCapacity = {
      vms: new Set(),
      owned: 0,
      available: 0,
      planned: 0,
      availableByRack: new Map(),
      availableByDataCentre: new Map(),
    };
    this.pools.set(name, created);
    return created;
  }

  /** Returns the names of the services that a pool runs. */
  services(pool: string): readonly string[] {
    return this.serviceNamesByPool.get(pool) ?? [];
  }

  service(name: string): ServiceEntry | undefined {
    return this.bundle?.services[name];
  }

  /** Whether the VM counts as available for the budgets of its pool. */
  isAvailable(vm: string): boolean {
    const {vms, conditions, work} = this.state;
    return vms.has(vm) && !conditions.has(vm) && !isOutOfService(work.get(vm));
  }

  /** Runs `change`, which changes the state of one VM, and updates the counters. */
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

  /** Whether the counters match the current state. */
  isCurrent(): boolean {
    const currentFingerprint = stateFingerprint(this.state);
    return currentFingerprint.every(
      (part, position) => part === this.indexedFingerprint[position],
    );
  }

  private indexBundle(): void {
    if (!this.bundle) return;
    for (const [rack, entry] of Object.entries(this.bundle.racks)) {
      const location = {rack, dataCentre: entry.dataCentre};
      for (const vm of entry.vms) this.locations.set(vm, location);
      addToCount(this.dataCentreSizes, entry.dataCentre, entry.vms.length);
    }
    for (const [name, service] of Object.entries(this.bundle.services)) {
      const names = this.serviceNamesByPool.get(service.pool) ?? [];
      names.push(name);
      this.serviceNamesByPool.set(service.pool, names);
    }
  }

  private countVm(vm: string, delta: number): void {
    const record = this.state.vms.get(vm);
    if (!record) return;
    const pool = this.pool(record.pool);
    const work = this.state.work.get(vm);
    pool.owned += delta;
    if (delta > 0) pool.vms.add(vm);
    else pool.vms.delete(vm);
    if (isOutOfService(work) && work?.kind !== PlannedWorkKind.Repair)
      pool.planned += delta;
    if (!this.isAvailable(vm)) return;
    const {rack, dataCentre} = this.locationOf(vm);
    pool.available += delta;
    addToCount(pool.availableByRack, rack, delta);
    addToCount(pool.availableByDataCentre, dataCentre, delta);
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

/** Returns how many VMs the largest failure of a domain takes out once `removedVm` is gone. */
export function largestFailureDomainLoss(
  pool: PoolCapacity,
  domain: FailureDomain,
  removedVm?: VmLocation,
): number {
  switch (domain) {
    case FailureDomain.None:
      return 0;
    case FailureDomain.Vm:
      return pool.available - (removedVm ? 1 : 0) > 0 ? 1 : 0;
    case FailureDomain.Rack:
      return largest(pool.availableByRack, removedVm?.rack);
    case FailureDomain.DataCentre:
      return largest(pool.availableByDataCentre, removedVm?.dataCentre);
  }
}

function largest(
  counts: ReadonlyMap<string, number>,
  excludedName?: string,
): number {
  let maximum = 0;
  for (const [name, count] of counts)
    maximum = Math.max(maximum, name === excludedName ? count - 1 : count);
  return maximum;
}

function addToCount(
  counts: Map<string, number>,
  name: string,
  delta: number,
): void {
  const next = (counts.get(name) ?? 0) + delta;
  if (next === 0) counts.delete(name);
  else counts.set(name, next);
}

/**
 * Identifies the state that the counters were computed from. A new bundle in force or a
 * restored snapshot changes the state without `update`, and the counters are rebuilt then.
 */
function stateFingerprint(state: FleetState): readonly unknown[] {
  const {vms, work, conditions, inForce} = state;
  return [inForce, vms.hash, work.hash, conditions.hash];
}

const INDEXES = new WeakMap<FleetState, CapacityIndex>();

/** Returns the cached counters of a state; rebuilds them if they are out of date. */
export function capacityIndexOf(state: FleetState): CapacityIndex {
  const cached = INDEXES.get(state);
  if (cached?.isCurrent()) return cached;
  const index = new CapacityIndex(state);
  INDEXES.set(state, index);
  return index;
}
