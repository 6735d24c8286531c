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
    const late: QueueRejection<Item>[] = [];
    for (const item of this.items) {
      if (item.deadline <= now)
        late.push({item, reason: QueueRejectionReason.DeadlineExceeded});
    }
    for (const {item} of late) this.remove(item);
    return late;
  }
}

/**
 * First in, first out, with a bound and deadlines: the baseline.
 * Under a standing queue everyone waits nearly to the deadline, and those behind past it.
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

/** A queue that was never empty for this long is standing. */
const STANDING_MILLISECONDS = 100;

/**
 * First in, first out, until the queue stands; then the newest first, and the oldest time out.
 * Weighed against the fair queue: those served wait little, but the others learn only at their
 * deadline that they were never going to be served.
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
    const standing = now - this.nonEmptySince > STANDING_MILLISECONDS;
    const order = standing ? [...this.items].reverse() : this.items;
    for (const item of order) {
      if (item.deadline <= now || !mayRun(item)) continue;
      this.remove(item);
      return item;
    }
    return undefined;
  }
}
