import type {PeerUsage} from './slot-limiter.js';
import type {SelectionRequest, TargetSelector} from './target-selector.js';
import {
  TargetEntry,
  type TargetEntryDependencies,
  type RoutableTarget,
} from './target-entry.js';

/** Dependencies of a target set, including those of its entries. */
export interface TargetSetDependencies extends Omit<
  TargetEntryDependencies,
  'mayAvoidSlow'
> {
  readonly selector: TargetSelector;
}

interface Totals {
  readonly at: number;
  readonly capacity: number;
  readonly mayAvoidSlow: boolean;
}

/** How long totals over the targets are cached. */
const TOTALS_MILLISECONDS = 50;

/** The targets of one pool, in this data centre and in others. */
export class TargetSet {
  private readonly entries = new Map<string, TargetEntry>();
  /** No longer routable, with exchanges still in flight. */
  private readonly removedInFlight = new Map<string, TargetEntry>();
  private sameDataCentre: TargetEntry[] = [];
  private otherDataCentres: TargetEntry[] = [];
  private totals: Totals = {at: -Infinity, capacity: 0, mayAvoidSlow: false};

  constructor(private readonly dependencies: TargetSetDependencies) {}

  get(target: string): TargetEntry | undefined {
    return this.entries.get(target);
  }

  all(): IterableIterator<TargetEntry> {
    return this.entries.values();
  }

  /** Replaces the routable targets; called only when they change. */
  set(targets: readonly RoutableTarget[]): void {
    const isFirst = this.entries.size === 0;
    const wanted = new Map(targets.map(target => [target.id, target]));
    for (const entry of this.entries.values()) {
      if (wanted.get(entry.id)?.address !== entry.target.address)
        this.remove(entry);
    }
    for (const target of targets) this.addOrUpdate(target, isFirst);
    const all = [...this.entries.values()];
    this.sameDataCentre = all.filter(entry => entry.target.isSameDataCentre);
    this.otherDataCentres = all.filter(entry => !entry.target.isSameDataCentre);
    this.dependencies.ejection.setTargets(targets);
  }

  /**
   * Selects a target: the same data centre before others, own slots before borrowed ones, targets
   * at full weight before ones still ramping up.
   */
  pick(request: SelectionRequest): TargetEntry | undefined {
    const {idempotent, tried} = request;
    const {selector} = this.dependencies;
    for (const entries of [this.sameDataCentre, this.otherDataCentres]) {
      if (entries.length === 0) continue;
      const entry =
        selector.select(entries, {idempotent, tried, mayBorrow: false}) ??
        selector.select(entries, {idempotent, tried}) ??
        selector.select(entries, {idempotent, tried, ignoresWeight: true});
      if (entry) return entry;
    }
    return tried ? this.pick({idempotent}) : undefined;
  }

  /** Whether any target in this data centre is usable. */
  hasUsableInDataCentre(): boolean {
    return this.sameDataCentre.some(entry => entry.acceptsNewWork());
  }

  /** Returns the slots that this daemon may use now, over all targets. */
  capacity(): number {
    return this.currentTotals().capacity;
  }

  /** Discards the cached totals. */
  invalidateTotals(): void {
    this.totals = {...this.totals, at: -Infinity};
  }

  /** Updates the counts after an exchange ended. */
  onExchangeEnded(entry: TargetEntry): void {
    entry.inFlight--;
    if (entry.inFlight === 0 && this.removedInFlight.get(entry.id) === entry)
      this.removedInFlight.delete(entry.id);
  }

  /** Returns this daemon's usage of each target, for its peers. */
  usage(waiting: boolean): Map<string, PeerUsage> {
    const usage = new Map<string, PeerUsage>();
    for (const {id, inFlight, target} of this.entries.values()) {
      // Unused targets in other data centres are left out: slots reserved there for this daemon
      // would be missing for the daemons next to them.
      if (target.isSameDataCentre || inFlight > 0 || waiting)
        usage.set(id, {inFlight, waiting});
    }
    return usage;
  }

  private currentTotals(): Totals {
    const now = this.dependencies.now();
    if (now - this.totals.at < TOTALS_MILLISECONDS) return this.totals;
    let capacity = 0;
    let accepting = 0;
    let slow = 0;
    for (const entry of this.entries.values()) {
      if (!entry.acceptsNewWork()) continue;
      accepting++;
      capacity += entry.limit();
      if (entry.isSlow()) slow++;
    }
    // A fault that slows all targets shows in their estimates before it shows in the mean: without
    // this limit nothing would be sent to any of them until the estimates decay.
    const mayAvoidSlow = slow <= accepting / 2;
    this.totals = {at: now, capacity, mayAvoidSlow};
    return this.totals;
  }

  private addOrUpdate(target: RoutableTarget, isFirst: boolean): void {
    const existing = this.entries.get(target.id);
    if (existing) {
      existing.target = target;
      return;
    }
    this.entries.set(
      target.id,
      this.takeReturning(target) ?? this.create(target),
    );
    if (!isFirst)
      this.dependencies.ramp.onAdded(target.id, this.dependencies.now());
  }

  /**
   * Restores a target that returns while earlier exchanges are still in flight there, with their
   * count. If the count restarted at zero, the target would get its slots twice each time a
   * flapping list returns it.
   */
  private takeReturning(target: RoutableTarget): TargetEntry | undefined {
    const entry = this.removedInFlight.get(target.id);
    if (entry?.target.address !== target.address) return undefined;
    this.removedInFlight.delete(target.id);
    entry.onReturned(target);
    return entry;
  }

  private create(target: RoutableTarget): TargetEntry {
    return new TargetEntry(target, {
      ...this.dependencies,
      mayAvoidSlow: () => this.currentTotals().mayAvoidSlow,
    });
  }

  private remove(entry: TargetEntry): void {
    entry.onRemoved();
    this.entries.delete(entry.id);
    if (entry.inFlight > 0) this.removedInFlight.set(entry.id, entry);
    this.dependencies.ramp.onRemoved(entry.id, this.dependencies.now());
  }
}
