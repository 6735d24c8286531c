/** Whether a part is ready for the balancer to send requests to this daemon. */
export type ReadinessCheck = () => boolean;

/** What must be ready before the balancer sends requests; plug-ins add their checks. */
export class Readiness {
  private readonly checks = new Map<string, ReadinessCheck>();

  add(name: string, check: ReadinessCheck): void {
    this.checks.set(name, check);
  }

  /** Names of the parts that are not ready. */
  unreadyParts(): string[] {
    return [...this.checks]
      .filter(([, check]) => !check())
      .map(([name]) => name);
  }
}
