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

/** What the table needs. */
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
  /** What its targets were worked out from last. */
  inputs: readonly unknown[];
}

/** Changes that come together are taken in together. */
const REFRESH_DELAY_MILLISECONDS = 20;
/** VMs looked at before other work gets its turn: well under a millisecond. */
const VMS_PER_SLICE = 500;
/** How often a pool is looked at again while it keeps a VM that the list no longer shows. */
const MISSING_VM_REFRESH_MILLISECONDS = 500;

/**
 * The pools that this daemon has had requests for, each with its routable targets. Targets are
 * worked out when log or list change, never for a request.
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
   * renewals. Working all targets out for each of them took more of a core than all else.
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

  /** Pools in use by name. */
  entries(): IterableIterator<[string, SlotPool]> {
    return this.slotPools();
  }

  /** A pool in use; undefined when no request has asked for it. */
  get(name: string): SlotPool | undefined {
    return this.pools.get(name)?.slotPool;
  }

  /** The pool of that name, made on first use. */
  getOrCreate(name: string): SlotPool {
    const known = this.pools.get(name);
    if (known) return known.slotPool;
    const pool = this.create(name);
    this.pools.set(name, pool);
    this.refresh(name, pool);
    return pool.slotPool;
  }

  private *slotPools(): IterableIterator<[string, SlotPool]> {
    for (const [name, {slotPool: slots}] of this.pools) yield [name, slots];
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
      slotPool: slotPool,
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
   * A pass over 31,000 VMs in one go would hold up every request in flight for its whole time, so
   * that it is done in slices. A change that comes during a pass starts another one behind it.
   */
  private refreshSlice(rest: IterableIterator<[string, RoutedPool]>): void {
    let looked = 0;
    for (let next = rest.next(); !next.done; next = rest.next()) {
      const [name, pool] = next.value;
      looked += this.refresh(name, pool);
      if (looked < VMS_PER_SLICE) continue;
      this.dependencies.clock.schedule(0, () => this.refreshSlice(rest));
      return;
    }
  }

  /** Returns how many VMs it looked at. */
  private refresh(name: string, pool: RoutedPool): number {
    const {clock, sharedState} = this.dependencies;
    const {slotPool: slots, routableTargets: routable} = pool;
    const entry = sharedState.state.inForce?.bundle.pools[name];
    const ids = entry ? this.vmIdsOf(name) : [];
    const inputs = this.inputsOf(ids, entry);
    // Most changes are about other pools: their records are the same objects as before.
    if (!routable.retainsMissing && hasSameItems(inputs, pool.inputs))
      return ids.length;
    pool.inputs = inputs;
    const facts = this.poolVmsOf(ids, slots);
    const now = clock.monotonicMilliseconds();
    slots.setTargets(routable.select(facts, targetLimitsOf(entry), now));
    if (routable.retainsMissing)
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

  private poolVmsOf(ids: readonly string[], slots: SlotPool): PoolVm[] {
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
        lastAnswerAt: slots.lastAnswerAt(id),
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

/** VMs by the pool that owns them. */
function groupVmIdsByPool({state}: SharedState): Map<string, string[]> {
  const owners = new Map<string, string[]>();
  for (const {id, pool} of state.vms.values()) {
    const ids = owners.get(pool) ?? [];
    ids.push(id);
    owners.set(pool, ids);
  }
  return owners;
}
