import type {PeerUsage} from './slot-limiter.js';
import type {SelectionRequest, TargetSelector} from './target-selector.js';
import {
  TargetEntry,
  type TargetEntryDependencies,
  type RoutableTarget,
} from './target-entry.js';

/** What a set of targets needs, besides the entries' own parts. */
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

/** How long a sum over the targets is good for. */
const TOTALS_MILLISECONDS = 50;

/** The targets of one pool, near and far. */
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

  /** Replaces the routable targets; called on change only. */
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

  /** Near before far, own slots before borrowed ones, warm targets before cold ones. */
  pick(ask: SelectionRequest): TargetEntry | undefined {
    const {idempotent, tried} = ask;
    const {selector: choice} = this.dependencies;
    for (const entries of [this.sameDataCentre, this.otherDataCentres]) {
      if (entries.length === 0) continue;
      const entry =
        choice.select(entries, {idempotent, tried, mayBorrow: false}) ??
        choice.select(entries, {idempotent, tried}) ??
        choice.select(entries, {idempotent, tried, ignoresWeight: true});
      if (entry) return entry;
    }
    return tried ? this.pick({idempotent}) : undefined;
  }

  /** Whether any target near by can be used. */
  hasUsableInDataCentre(): boolean {
    return this.sameDataCentre.some(entry => entry.acceptsNewWork());
  }

  /** Slots that this daemon may use now, in all targets. */
  capacity(): number {
    return this.currentTotals().capacity;
  }

  /** A sum made before is no longer good. */
  invalidateTotals(): void {
    this.totals = {...this.totals, at: -Infinity};
  }

  /** An exchange ended. */
  onExchangeEnded(entry: TargetEntry): void {
    entry.inFlight--;
    if (entry.inFlight === 0 && this.removedInFlight.get(entry.id) === entry)
      this.removedInFlight.delete(entry.id);
  }

  /** This daemon's use of each target, for its peers. */
  usage(waiting: boolean): Map<string, PeerUsage> {
    const uses = new Map<string, PeerUsage>();
    for (const {id, inFlight, target} of this.entries.values()) {
      // Far targets not in use are left out: room kept there for this daemon would be room that
      // the daemons next to them miss.
      if (target.isSameDataCentre || inFlight > 0 || waiting)
        uses.set(id, {inFlight, waiting});
    }
    return uses;
  }

  private currentTotals(): Totals {
    const now = this.dependencies.now();
    if (now - this.totals.at < TOTALS_MILLISECONDS) return this.totals;
    let capacity = 0;
    let open = 0;
    let slow = 0;
    for (const entry of this.entries.values()) {
      if (!entry.acceptsNewWork()) continue;
      open++;
      capacity += entry.limit();
      if (entry.isSlow()) slow++;
    }
    // A fault that slows all targets shows in their estimates before it shows in the mean: without
    // this bound nothing would be sent to any of them until the estimates fade.
    const mayAvoidSlow = slow <= open / 2;
    this.totals = {at: now, capacity, mayAvoidSlow};
    return this.totals;
  }

  private addOrUpdate(target: RoutableTarget, isFirst: boolean): void {
    const known = this.entries.get(target.id);
    if (known) {
      known.target = target;
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
   * A target that comes back while exchanges of before still run there keeps their count. Counted
   * from none, it would get its slots twice over with each turn of a flapping list.
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
