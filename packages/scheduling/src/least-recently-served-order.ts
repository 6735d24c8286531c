/**
 * Order in which services receive orders from a shared limit.
 * Load: two queues request more orders than their coordinator can send. Without
 * rotation, the service that is considered first takes every order that becomes free,
 * and long-running tasks of the other service do not start although there is free
 * capacity.
 */
export class LeastRecentlyServedOrder {
  private readonly lastServed = new Map<string, number>();
  private servedCount = 0;

  /** Returns the services, the least recently served one first. */
  order(services: Iterable<string>): string[] {
    return [...services].sort(
      (left, right) => this.lastServedOf(left) - this.lastServedOf(right),
    );
  }

  /** Records that the service received orders. */
  recordServed(service: string): void {
    this.lastServed.set(service, ++this.servedCount);
  }

  private lastServedOf(service: string): number {
    return this.lastServed.get(service) ?? 0;
  }
}
