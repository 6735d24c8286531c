/** Returns whether a component is ready for the load balancer to send requests to this daemon. */
export type ReadinessCheck = () => boolean;

/** Checks that must pass before the load balancer sends requests; each plug-in adds its own. */
export class Readiness {
  private readonly checks = new Map<string, ReadinessCheck>();

  add(name: string, check: ReadinessCheck): void {
    this.checks.set(name, check);
  }

  /** Returns the names of the components that are not ready. */
  unreadyParts(): string[] {
    return [...this.checks]
      .filter(([, check]) => !check())
      .map(([name]) => name);
  }
}
