import type {RoutableTarget} from './target-entry.js';

/** A VM's entry in the platform's list. */
export interface VmListing {
  readonly address: string;
  readonly dataCentre: string;
  readonly rack: string;
  readonly isLeaving: boolean;
}

/** What is known about one VM that the log assigns to the pool. */
export interface PoolVm {
  readonly id: string;
  /** Whether a drain record is in force. */
  readonly isDraining: boolean;
  /** Undefined if the list does not contain the VM. */
  readonly listed: VmListing | undefined;
  /** Monotonic milliseconds of the last complete response that this daemon got from it. */
  readonly lastAnswerAt: number | undefined;
}

/** Limits of the pool's targets, from the bundle. */
export interface TargetLimits {
  readonly slots: number;
  readonly connections: number;
}

interface LastSeen {
  readonly listing: VmListing;
  readonly at: number;
}

/**
 * A VM missing from the list for this long is considered gone, even if it responds; it is within
 * the 3 s allowed for leaving.
 */
const MISSING_GRACE_MILLISECONDS = 2000;
/** The grace period if more than half of the pool is missing at one time. */
const MASS_MISSING_GRACE_MILLISECONDS = 60_000;
/** A response this recent shows that a VM is serving. */
const RECENT_ANSWER_MILLISECONDS = 10_000;
const MASS_MISSING_SHARE = 0.5;

/**
 * Selects the VMs of a pool that may receive work, and marks those in this data centre.
 * The log decides which pool owns a VM and whether it drains; a leaving mark in the list takes
 * effect at once. Absence from the list is no such mark: the list lags and flaps, and a VM that
 * responds to this daemon is serving. Such a VM is kept for two seconds, or for a minute if more
 * than half of the pool went missing together, which is far more likely a fault of the list than of
 * so many VMs; ejection removes those that are really gone. A stale list that no longer changes has
 * no effect here.
 */
export class RoutableTargets {
  private readonly lastSeen = new Map<string, LastSeen>();

  constructor(private readonly dataCentre: string) {}

  /** Returns the targets that are routable now. */
  select(
    pool: readonly PoolVm[],
    limits: TargetLimits,
    now: number,
  ): RoutableTarget[] {
    this.updateLastSeen(pool, now);
    const missing = pool.filter(vm => this.isMissing(vm)).length;
    const isMassMissing = missing > pool.length * MASS_MISSING_SHARE;
    const graceMilliseconds = isMassMissing
      ? MASS_MISSING_GRACE_MILLISECONDS
      : MISSING_GRACE_MILLISECONDS;
    return pool.flatMap(vm => {
      if (vm.isDraining || vm.listed?.isLeaving) return [];
      const listed = vm.listed ?? this.retained(vm, graceMilliseconds, now);
      return listed ? [this.routable(vm.id, listed, limits)] : [];
    });
  }

  /** True while a missing VM is kept; `select` must then be called again as time passes. */
  get retainsMissing(): boolean {
    return this.retainedCount > 0;
  }

  private retainedCount = 0;

  private updateLastSeen(pool: readonly PoolVm[], now: number): void {
    this.retainedCount = 0;
    const ids = new Set(pool.map(vm => vm.id));
    for (const id of this.lastSeen.keys()) {
      if (!ids.has(id)) this.lastSeen.delete(id);
    }
    for (const {id, listed} of pool) {
      if (listed) this.lastSeen.set(id, {listing: listed, at: now});
    }
  }

  private isMissing(vm: PoolVm): boolean {
    return vm.listed === undefined && this.lastSeen.has(vm.id);
  }

  private retained(
    {id, lastAnswerAt}: PoolVm,
    graceMilliseconds: number,
    now: number,
  ): VmListing | undefined {
    const lastSeen = this.lastSeen.get(id);
    if (!lastSeen || lastSeen.listing.isLeaving) return undefined;
    const hasAnsweredRecently =
      lastAnswerAt !== undefined &&
      now - lastAnswerAt < RECENT_ANSWER_MILLISECONDS;
    if (!hasAnsweredRecently || now - lastSeen.at >= graceMilliseconds)
      return undefined;
    this.retainedCount++;
    return lastSeen.listing;
  }

  private routable(
    id: string,
    {address, rack, dataCentre}: VmListing,
    {slots, connections}: TargetLimits,
  ): RoutableTarget {
    const isSameDataCentre = dataCentre === this.dataCentre;
    return {
      id,
      address,
      rack,
      isSameDataCentre,
      slots,
      connections,
    };
  }
}
