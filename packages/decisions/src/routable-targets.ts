import type {RoutableTarget} from './target-entry.js';

/** What the platform's list says of a VM. */
export interface VmListing {
  readonly address: string;
  readonly dataCentre: string;
  readonly rack: string;
  readonly isLeaving: boolean;
}

/** What is known of one VM that the log gives to the pool. */
export interface PoolVm {
  readonly id: string;
  /** A drain record is in force. */
  readonly isDraining: boolean;
  /** Undefined when the list does not show the VM. */
  readonly listed: VmListing | undefined;
  /** Monotonic milliseconds of this daemon's last whole answer from it. */
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

/** A VM missing from the list this long is gone, whatever it answers: within the 3 s for leaving. */
const MISSING_GRACE_MILLISECONDS = 2000;
/** The same when more than half of the pool went missing at one time. */
const MASS_MISSING_GRACE_MILLISECONDS = 60_000;
/** An answer this recent shows that a VM serves. */
const RECENT_ANSWER_MILLISECONDS = 10_000;
const MASS_MISSING_SHARE = 0.5;

/**
 * Which VMs of a pool may get work, and which of them are near.
 * The log decides who owns a VM and whether it drains; a leaving mark in the list is believed at
 * once. Missing from the list is no such mark: the list lags and flaps, and what answers this
 * daemon serves. Such a VM stays for two seconds, and for a minute when more than half of the pool
 * went missing together, which is a fault of the list far sooner than of so many VMs; the ejection
 * takes out those that are really gone. A frozen list changes nothing here.
 */
export class RoutableTargets {
  private readonly lastSeen = new Map<string, LastSeen>();

  constructor(private readonly dataCentre: string) {}

  /** The routable targets now. */
  select(
    pool: readonly PoolVm[],
    limits: TargetLimits,
    now: number,
  ): RoutableTarget[] {
    this.updateLastSeen(pool, now);
    const missing = pool.filter(facts => this.isMissing(facts)).length;
    const isMany = missing > pool.length * MASS_MISSING_SHARE;
    const patience = isMany
      ? MASS_MISSING_GRACE_MILLISECONDS
      : MISSING_GRACE_MILLISECONDS;
    return pool.flatMap(facts => {
      if (facts.isDraining || facts.listed?.isLeaving) return [];
      const listed = facts.listed ?? this.retained(facts, patience, now);
      return listed ? [this.routable(facts.id, listed, limits)] : [];
    });
  }

  /** True while a missing VM is kept: `select` must be asked again as time goes on. */
  get retainsMissing(): boolean {
    return this.retainedCount > 0;
  }

  private retainedCount = 0;

  private updateLastSeen(pool: readonly PoolVm[], now: number): void {
    this.retainedCount = 0;
    const ids = new Set(pool.map(facts => facts.id));
    for (const id of this.lastSeen.keys()) {
      if (!ids.has(id)) this.lastSeen.delete(id);
    }
    for (const {id, listed} of pool) {
      if (listed) this.lastSeen.set(id, {listing: listed, at: now});
    }
  }

  private isMissing(facts: PoolVm): boolean {
    return facts.listed === undefined && this.lastSeen.has(facts.id);
  }

  private retained(
    {id, lastAnswerAt}: PoolVm,
    patience: number,
    now: number,
  ): VmListing | undefined {
    const seen = this.lastSeen.get(id);
    if (!seen || seen.listing.isLeaving) return undefined;
    const answered =
      lastAnswerAt !== undefined &&
      now - lastAnswerAt < RECENT_ANSWER_MILLISECONDS;
    if (!answered || now - seen.at >= patience) return undefined;
    this.retainedCount++;
    return seen.listing;
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
      isSameDataCentre: isSameDataCentre,
      slots,
      connections,
    };
  }
}
