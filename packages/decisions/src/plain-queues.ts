import {
  TurnAway,
  type TurnedAway,
  type Waiter,
  type WaitingQueue,
} from './waiting-queue.js';

abstract class PlainQueue<Item extends Waiter> implements WaitingQueue<Item> {
  protected readonly items = new Set<Item>();
  private readonly lengths = new Map<string, number>();

  get length(): number {
    return this.items.size;
  }

  lengthOf(service: string): number {
    return this.lengths.get(service) ?? 0;
  }

  enter(item: Item, now: number): readonly TurnedAway<Item>[] {
    if (this.lengthOf(item.service) >= item.queueLimit)
      return [{item, reason: TurnAway.Full}];
    if (item.deadline <= now) return [{item, reason: TurnAway.Late}];
    this.items.add(item);
    this.lengths.set(item.service, this.lengthOf(item.service) + 1);
    return [];
  }

  abstract next(now: number, mayRun: (item: Item) => boolean): Item | undefined;

  leave(item: Item): boolean {
    if (!this.items.delete(item)) return false;
    this.lengths.set(item.service, this.lengthOf(item.service) - 1);
    return true;
  }

  expire(now: number): readonly TurnedAway<Item>[] {
    const late: TurnedAway<Item>[] = [];
    for (const item of this.items) {
      if (item.deadline <= now) late.push({item, reason: TurnAway.Late});
    }
    for (const {item} of late) this.leave(item);
    return late;
  }
}

/**
 * First in, first out, with a bound and deadlines: the baseline.
 * Under a standing queue everyone waits nearly to the deadline, and those behind past it.
 */
export class FirstInFirstOutQueue<
  Item extends Waiter,
> extends PlainQueue<Item> {
  next(now: number, mayRun: (item: Item) => boolean): Item | undefined {
    for (const item of this.items) {
      if (item.deadline <= now || !mayRun(item)) continue;
      this.leave(item);
      return item;
    }
    return undefined;
  }
}

/** A queue that was never empty for this long is standing. */
const STANDING_MILLISECONDS = 100;

/**
 * First in, first out, until the queue stands; then the newest first, and the oldest time out.
 * Weighed against the fair queue: those served wait little, but the others learn only at their
 * deadline that they were never going to be served.
 */
export class NewestFirstWhenStandingQueue<
  Item extends Waiter,
> extends PlainQueue<Item> {
  private emptyAt = 0;

  override enter(item: Item, now: number): readonly TurnedAway<Item>[] {
    if (this.length === 0) this.emptyAt = now;
    return super.enter(item, now);
  }

  next(now: number, mayRun: (item: Item) => boolean): Item | undefined {
    const standing = now - this.emptyAt > STANDING_MILLISECONDS;
    const order = standing ? [...this.items].reverse() : this.items;
    for (const item of order) {
      if (item.deadline <= now || !mayRun(item)) continue;
      this.leave(item);
      return item;
    }
    return undefined;
  }
}
