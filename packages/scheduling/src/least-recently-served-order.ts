/**
 * Order in which services get orders that are to be shared.
 * Load: two queues ask for more orders than their coordinator gives. Without turns the service that
 * is looked at first takes every order that becomes free, and a task of the other one that is to last
 * does not run beside free room.
 */
export class LeastRecentlyServedOrder {
  private readonly lastServed = new Map<string, number>();
  private turns = 0;

  /** The services, the one first that has been without a turn for longest. */
  order(services: Iterable<string>): string[] {
    return [...services].sort(
      (left, right) => this.lastServedOf(left) - this.lastServedOf(right),
    );
  }

  /** The service was given orders. */
  recordServed(service: string): void {
    this.lastServed.set(service, ++this.turns);
  }

  private lastServedOf(service: string): number {
    return this.lastServed.get(service) ?? 0;
  }
}
