import type {Clock, Timer} from '@gentiandoor/kernel';

class Event {
  isCancelled = false;

  constructor(
    readonly due: number,
    readonly order: number,
    readonly action: () => void,
  ) {}

  isBefore(other: Event): boolean {
    if (this.due !== other.due) return this.due < other.due;
    return this.order < other.order;
  }
}

/** A virtual clock for millions of events, kept in a binary heap; ties run in scheduling order. */
export class EventClock implements Clock {
  private now = 0;
  private order = 0;
  private readonly heap: Event[] = [];

  monotonicMilliseconds(): number {
    return this.now;
  }

  wallMilliseconds(): number {
    return this.now;
  }

  schedule(delayMilliseconds: number, action: () => void): Timer {
    const due = this.now + Math.max(0, delayMilliseconds);
    const event = new Event(due, this.order++, action);
    this.push(event);
    return {cancel: () => (event.isCancelled = true)};
  }

  /** Runs all events due up to `end` and sets the time to `end`. */
  runUntil(end: number): void {
    while (this.heap.length > 0 && this.heap[0].due <= end) {
      const event = this.pop();
      if (event.isCancelled) continue;
      this.now = event.due;
      event.action();
    }
    this.now = end;
  }

  private push(event: Event): void {
    const {heap} = this;
    let index = heap.push(event) - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!event.isBefore(heap[parent])) break;
      heap[index] = heap[parent];
      index = parent;
    }
    heap[index] = event;
  }

  private pop(): Event {
    const {heap} = this;
    const first = heap[0];
    const last = heap.pop() as Event;
    if (heap.length > 0) this.sink(last);
    return first;
  }

  private sink(event: Event): void {
    const {heap} = this;
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      if (child >= heap.length) break;
      if (child + 1 < heap.length && heap[child + 1].isBefore(heap[child]))
        child++;
      if (!heap[child].isBefore(event)) break;
      heap[index] = heap[child];
      index = child;
    }
    heap[index] = event;
  }
}
