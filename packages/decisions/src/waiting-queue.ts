/** A place in a queue. */
export interface Waiter {
  /** Monotonic milliseconds after which the waiter is turned away. */
  readonly deadline: number;
}

/** Answer of `enter`. */
export enum EnterResult {
  Waiting = 'waiting',
  Full = 'full',
}

/** Requests that wait for a slot. */
export interface WaitingQueue<Item extends Waiter> {
  readonly length: number;
  enter(item: Item): EnterResult;
  /** The next item to run; undefined when none waits. */
  next(now: number): Item | undefined;
  /** Takes out an item whose caller gave up; false when it is no longer waiting. */
  leave(item: Item): boolean;
  /** Takes out all items whose deadline has passed. */
  expire(now: number): Item[];
}

/** First in, first out, with a bound: the baseline of the other queues. */
export class FirstInFirstOutQueue<
  Item extends Waiter,
> implements WaitingQueue<Item> {
  private readonly items = new Set<Item>();

  constructor(private readonly limit: number) {}

  get length(): number {
    return this.items.size;
  }

  enter(item: Item): EnterResult {
    if (this.items.size >= this.limit) return EnterResult.Full;
    this.items.add(item);
    return EnterResult.Waiting;
  }

  next(now: number): Item | undefined {
    for (const item of this.items) {
      if (item.deadline <= now) continue;
      this.items.delete(item);
      return item;
    }
    return undefined;
  }

  leave(item: Item): boolean {
    return this.items.delete(item);
  }

  expire(now: number): Item[] {
    const late = [...this.items].filter(item => item.deadline <= now);
    for (const item of late) this.items.delete(item);
    return late;
  }
}
