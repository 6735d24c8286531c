import type {PeerUse} from './slot-share.js';
import type {ChoiceAsk, TargetChoice} from './target-choice.js';
import {
  TargetEntry,
  type EntryParts,
  type RoutableTarget,
} from './target-entry.js';

/** What a set of targets needs, besides the entries' own parts. */
export interface TargetSetParts extends Omit<EntryParts, 'mayAvoidSlow'> {
  readonly choice: TargetChoice;
}

interface Sums {
  readonly at: number;
  readonly capacity: number;
  readonly mayAvoidSlow: boolean;
}

/** How long a sum over the targets is good for. */
const SUMS_MILLISECONDS = 50;

/** The targets of one pool, near and far. */
export class TargetSet {
  private readonly entries = new Map<string, TargetEntry>();
  /** No longer routable, with exchanges still in flight. */
  private readonly ending = new Map<string, TargetEntry>();
  private near: TargetEntry[] = [];
  private far: TargetEntry[] = [];
  private sums: Sums = {at: -Infinity, capacity: 0, mayAvoidSlow: false};

  constructor(private readonly parts: TargetSetParts) {}

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
    for (const target of targets) this.put(target, isFirst);
    const all = [...this.entries.values()];
    this.near = all.filter(entry => entry.target.isNear);
    this.far = all.filter(entry => !entry.target.isNear);
    this.parts.ejection.setTargets(targets);
  }

  /** Near before far, own slots before borrowed ones, warm targets before cold ones. */
  pick(ask: ChoiceAsk): TargetEntry | undefined {
    const {idempotent, tried} = ask;
    const {choice} = this.parts;
    for (const entries of [this.near, this.far]) {
      if (entries.length === 0) continue;
      const entry =
        choice.choose(entries, {idempotent, tried, mayBorrow: false}) ??
        choice.choose(entries, {idempotent, tried}) ??
        choice.choose(entries, {idempotent, tried, mayBeCold: true});
      if (entry) return entry;
    }
    return tried ? this.pick({idempotent}) : undefined;
  }

  /** Whether any target near by can be used. */
  hasNear(): boolean {
    return this.near.some(entry => entry.isOpen());
  }

  /** Slots that this daemon may use now, in all targets. */
  capacity(): number {
    return this.sumUp().capacity;
  }

  /** A sum made before is no longer good. */
  onChanged(): void {
    this.sums = {...this.sums, at: -Infinity};
  }

  /** An exchange ended. */
  onEnded(entry: TargetEntry): void {
    entry.inFlight--;
    if (entry.inFlight === 0 && this.ending.get(entry.id) === entry)
      this.ending.delete(entry.id);
  }

  /** This daemon's use of each target, for its peers. */
  uses(waiting: boolean): Map<string, PeerUse> {
    const uses = new Map<string, PeerUse>();
    for (const {id, inFlight, target} of this.entries.values()) {
      // Far targets not in use are left out: room kept there for this daemon would be room that
      // the daemons next to them miss.
      if (target.isNear || inFlight > 0 || waiting)
        uses.set(id, {inFlight, waiting});
    }
    return uses;
  }

  private sumUp(): Sums {
    const now = this.parts.now();
    if (now - this.sums.at < SUMS_MILLISECONDS) return this.sums;
    let capacity = 0;
    let open = 0;
    let slow = 0;
    for (const entry of this.entries.values()) {
      if (!entry.isOpen()) continue;
      open++;
      capacity += entry.limit();
      if (entry.isSlow()) slow++;
    }
    // A fault that slows all targets shows in their estimates before it shows in the mean: without
    // this bound nothing would be sent to any of them until the estimates fade.
    const mayAvoidSlow = slow <= open / 2;
    this.sums = {at: now, capacity, mayAvoidSlow};
    return this.sums;
  }

  private put(target: RoutableTarget, isFirst: boolean): void {
    const known = this.entries.get(target.id);
    if (known) {
      known.target = target;
      return;
    }
    this.entries.set(target.id, this.returning(target) ?? this.create(target));
    if (!isFirst) this.parts.ramp.onIn(target.id, this.parts.now());
  }

  /**
   * A target that comes back while exchanges of before still run there keeps their count. Counted
   * from none, it would get its slots twice over with each turn of a flapping list.
   */
  private returning(target: RoutableTarget): TargetEntry | undefined {
    const entry = this.ending.get(target.id);
    if (entry?.target.address !== target.address) return undefined;
    this.ending.delete(target.id);
    entry.onReturned(target);
    return entry;
  }

  private create(target: RoutableTarget): TargetEntry {
    return new TargetEntry(target, {
      ...this.parts,
      mayAvoidSlow: () => this.sumUp().mayAvoidSlow,
    });
  }

  private remove(entry: TargetEntry): void {
    entry.onGone();
    this.entries.delete(entry.id);
    if (entry.inFlight > 0) this.ending.set(entry.id, entry);
    this.parts.ramp.onOut(entry.id, this.parts.now());
  }
}
