import type {
  Clock,
  DaemonIdentity,
  DecisionJournal,
  Metrics,
  RandomSource,
} from '@gentiandoor/kernel';
import {
  RoutableTargets,
  createStandardPool,
  type SlotPool,
  type PoolVm,
  type TeamQuota,
} from '@gentiandoor/decisions';
import {
  ListedState,
  type BundleInForce,
  type PoolEntry,
  type SharedState,
  type VmList,
} from '@gentiandoor/shared-state';
import {RoutingEvents} from './routing-events.js';

/** Services that `PoolTable` depends on. */
export interface PoolTableDependencies {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly metrics: Metrics;
  readonly identity: DaemonIdentity;
  readonly decisionJournal: DecisionJournal;
  readonly sharedState: SharedState;
  readonly vmList: VmList;
}

interface RoutedPool {
  readonly slotPool: SlotPool;
  readonly routableTargets: RoutableTargets;
  /** Inputs of the last selection of targets, which is repeated only when they change. */
  inputs: readonly unknown[];
}

/** Delay before a refresh, so that changes that arrive together are applied together. */
const REFRESH_DELAY_MILLISECONDS = 20;
/** VMs examined before other work gets its turn: well under a millisecond. */
const VMS_PER_SLICE = 500;
/** Interval of refreshes while a pool retains a VM that the list no longer shows. */
const MISSING_VM_REFRESH_MILLISECONDS = 500;

/**
 * Holds the pools that this daemon has had requests for, each with its routable targets. Targets
 * are selected when the log or the VM list changes, never per request.
 */
export class PoolTable {
  private readonly pools = new Map<string, RoutedPool>();
  private vmIdsByPool: ReadonlyMap<string, readonly string[]> | undefined;
  private isRefreshDue = false;
  private lastVmsHash: bigint | undefined;
  private lastBundleInForce: BundleInForce | undefined;

  constructor(
    private readonly dependencies: PoolTableDependencies,
    private readonly quota: TeamQuota,
    private readonly onWaitingStarted: () => void,
  ) {
    dependencies.sharedState.onChange(() => this.refreshIfVmsChanged());
    dependencies.vmList.onChange(() =>
      this.scheduleRefresh(REFRESH_DELAY_MILLISECONDS),
    );
  }

  /**
   * Most records change no VM's owner or drain: acknowledgements, jobs, members, the planner's
   * renewals. Selecting all targets again for each of them took more of a core than all other work.
   */
  private refreshIfVmsChanged(): void {
    const {vms, inForce} = this.dependencies.sharedState.state;
    if (vms.hash === this.lastVmsHash && inForce === this.lastBundleInForce)
      return;
    this.lastVmsHash = vms.hash;
    this.lastBundleInForce = inForce;
    this.vmIdsByPool = undefined;
    this.scheduleRefresh(REFRESH_DELAY_MILLISECONDS);
  }

  /** Returns the pools in use, each with its name. */
  entries(): IterableIterator<[string, SlotPool]> {
    return this.slotPools();
  }

  /** Returns a pool in use, or undefined when no request has needed it. */
  get(name: string): SlotPool | undefined {
    return this.pools.get(name)?.slotPool;
  }

  /** Returns the pool of that name, which is created on first use. */
  getOrCreate(name: string): SlotPool {
    const existing = this.pools.get(name);
    if (existing) return existing.slotPool;
    const pool = this.create(name);
    this.pools.set(name, pool);
    this.refresh(name, pool);
    return pool.slotPool;
  }

  private *slotPools(): IterableIterator<[string, SlotPool]> {
    for (const [name, {slotPool}] of this.pools) yield [name, slotPool];
  }

  private create(name: string): RoutedPool {
    const {clock, random, metrics, identity, decisionJournal} =
      this.dependencies;
    const events = new RoutingEvents(name, clock, metrics, decisionJournal);
    const slotPool = createStandardPool({
      clock,
      random,
      incarnation: identity.incarnation,
      quota: this.quota,
      onWaitingStarted: this.onWaitingStarted,
      onSpill: reason => events.onSpill(reason),
      onEjectionStateChange: change => events.onEjectionStateChange(change),
    });
    return {
      slotPool,
      routableTargets: new RoutableTargets(identity.dataCentre),
      inputs: [],
    };
  }

  private scheduleRefresh(milliseconds: number): void {
    if (this.isRefreshDue || this.pools.size === 0) return;
    this.isRefreshDue = true;
    this.dependencies.clock.schedule(milliseconds, () => {
      this.isRefreshDue = false;
      this.refreshSlice(this.pools.entries());
    });
  }

  /**
   * Refreshes pools in slices: a single pass over 31,000 VMs would block every request in flight
   * until it ends. A change that arrives during a pass starts another one after it.
   */
  private refreshSlice(
    remaining: IterableIterator<[string, RoutedPool]>,
  ): void {
    let examinedVms = 0;
    for (let next = remaining.next(); !next.done; next = remaining.next()) {
      const [name, pool] = next.value;
      examinedVms += this.refresh(name, pool);
      if (examinedVms < VMS_PER_SLICE) continue;
      this.dependencies.clock.schedule(0, () => this.refreshSlice(remaining));
      return;
    }
  }

  /** Selects a pool's targets again if its inputs changed. Returns how many VMs it examined. */
  private refresh(name: string, pool: RoutedPool): number {
    const {clock, sharedState} = this.dependencies;
    const {slotPool, routableTargets} = pool;
    const entry = sharedState.state.inForce?.bundle.pools[name];
    const ids = entry ? this.vmIdsOf(name) : [];
    const inputs = this.inputsOf(ids, entry);
    // Most changes concern other pools: this pool's records are then the same objects as before.
    if (!routableTargets.retainsMissing && hasSameItems(inputs, pool.inputs))
      return ids.length;
    pool.inputs = inputs;
    const poolVms = this.poolVmsOf(ids, slotPool);
    const now = clock.monotonicMilliseconds();
    slotPool.setTargets(
      routableTargets.select(poolVms, targetLimitsOf(entry), now),
    );
    if (routableTargets.retainsMissing)
      this.scheduleRefresh(MISSING_VM_REFRESH_MILLISECONDS);
    return ids.length;
  }

  private vmIdsOf(name: string): readonly string[] {
    this.vmIdsByPool ??= groupVmIdsByPool(this.dependencies.sharedState);
    return this.vmIdsByPool.get(name) ?? [];
  }

  private inputsOf(
    ids: readonly string[],
    entry: PoolEntry | undefined,
  ): unknown[] {
    const {sharedState, vmList} = this.dependencies;
    const listed = vmList.current();
    const inputs: unknown[] = [entry?.slots, entry?.connections];
    for (const id of ids)
      inputs.push(sharedState.state.vms.get(id), listed.get(id));
    return inputs;
  }

  private poolVmsOf(ids: readonly string[], slotPool: SlotPool): PoolVm[] {
    const {sharedState, vmList} = this.dependencies;
    const listed = vmList.current();
    return ids.map(id => {
      const vm = listed.get(id);
      return {
        id,
        isDraining: sharedState.state.vms.get(id)?.drainReason !== undefined,
        listed: vm && {
          address: vm.address,
          dataCentre: vm.dataCentre,
          rack: vm.rack,
          isLeaving: vm.state === ListedState.Leaving,
        },
        lastAnswerAt: slotPool.lastAnswerAt(id),
      };
    });
  }
}

function hasSameItems(
  left: readonly unknown[],
  right: readonly unknown[],
): boolean {
  if (left.length !== right.length) return false;
  return left.every((item, index) => item === right[index]);
}

function targetLimitsOf(entry: PoolEntry | undefined) {
  return {slots: entry?.slots ?? 0, connections: entry?.connections ?? 0};
}

/** Groups the ids of all VMs by the pool that owns them. */
function groupVmIdsByPool({state}: SharedState): Map<string, string[]> {
  const vmIdsByPool = new Map<string, string[]>();
  for (const {id, pool} of state.vms.values()) {
    const ids = vmIdsByPool.get(pool) ?? [];
    ids.push(id);
    vmIdsByPool.set(pool, ids);
  }
  return vmIdsByPool;
}
