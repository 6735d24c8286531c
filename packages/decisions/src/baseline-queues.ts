import {
  QueueRejectionReason,
  type QueueRejection,
  type QueuedRequest,
  type RequestQueue,
} from './request-queue.js';

abstract class BoundedQueue<
  Item extends QueuedRequest,
> implements RequestQueue<Item> {
  protected readonly items = new Set<Item>();
  private readonly lengths = new Map<string, number>();

  get length(): number {
    return this.items.size;
  }

  lengthOf(service: string): number {
    return this.lengths.get(service) ?? 0;
  }

  enqueue(item: Item, now: number): readonly QueueRejection<Item>[] {
    if (this.lengthOf(item.service) >= item.queueLimit)
      return [{item, reason: QueueRejectionReason.Full}];
    if (item.deadline <= now)
      return [{item, reason: QueueRejectionReason.DeadlineExceeded}];
    this.items.add(item);
    this.lengths.set(item.service, this.lengthOf(item.service) + 1);
    return [];
  }

  abstract dequeue(
    now: number,
    mayRun: (item: Item) => boolean,
  ): Item | undefined;

  remove(item: Item): boolean {
    if (!this.items.delete(item)) return false;
    this.lengths.set(item.service, this.lengthOf(item.service) - 1);
    return true;
  }

  removeExpired(now: number): readonly QueueRejection<Item>[] {
    const expired: QueueRejection<Item>[] = [];
    for (const item of this.items) {
      if (item.deadline <= now)
        expired.push({item, reason: QueueRejectionReason.DeadlineExceeded});
    }
    for (const {item} of expired) this.remove(item);
    return expired;
  }
}

/**
 * Serves requests first in, first out, with a length limit and deadlines: the baseline. With a
 * standing queue every request waits almost until its deadline, and those at the back past it.
 */
export class FirstInFirstOutQueue<
  Item extends QueuedRequest,
> extends BoundedQueue<Item> {
  dequeue(now: number, mayRun: (item: Item) => boolean): Item | undefined {
    for (const item of this.items) {
      if (item.deadline <= now || !mayRun(item)) continue;
      this.remove(item);
      return item;
    }
    return undefined;
  }
}

/** A queue that has not been empty for this long is standing. */
const STANDING_MILLISECONDS = 100;

/**
 * Serves requests first in, first out until the queue is standing, then newest first, so that the
 * oldest time out. Compared with the fair queue: requests that are served wait briefly, but the
 * others learn only at their deadline that they would never be served.
 */
export class AdaptiveLastInFirstOutQueue<
  Item extends QueuedRequest,
> extends BoundedQueue<Item> {
  private nonEmptySince = 0;

  override enqueue(item: Item, now: number): readonly QueueRejection<Item>[] {
    if (this.length === 0) this.nonEmptySince = now;
    return super.enqueue(item, now);
  }

  dequeue(now: number, mayRun: (item: Item) => boolean): Item | undefined {
    const isStanding = now - this.nonEmptySince > STANDING_MILLISECONDS;
    const order = isStanding ? [...this.items].reverse() : this.items;
    for (const item of order) {
      if (item.deadline <= now || !mayRun(item)) continue;
      this.remove(item);
      return item;
    }
    return undefined;
  }
}
