/**
 * Order in which services get orders that are to be shared.
 * Load: two queues ask for more orders than their coordinator gives. Without turns the service that
 * is looked at first takes every order that becomes free, and a task of the other one that is to last
 * does not run beside free room.
 */
export class ServiceTurns {
  private readonly lastTurn = new Map<string, number>();
  private turns = 0;

  /** The services, the one first that has been without a turn for longest. */
  order(services: Iterable<string>): string[] {
    return [...services].sort(
      (left, right) => this.lastTurnOf(left) - this.lastTurnOf(right),
    );
  }

  /** The service was given orders. */
  noteTurn(service: string): void {
    this.lastTurn.set(service, ++this.turns);
  }

  private lastTurnOf(service: string): number {
    return this.lastTurn.get(service) ?? 0;
  }
}
