/** What the router does for planned stops. Registered in the wiring as `routingDrain`. */
export interface RoutingDrain {
  /**
   * Resolves when this daemon has no exchange left on the VM and can start no new one while
   * the VM's drain stands in the folded state. Stays pending until then; `signal` aborts when
   * the drain has ended and nobody waits any more.
   */
  stopRouting(vm: string, signal: AbortSignal): Promise<void>;
}

/** First-hand evidence of a daemon against VMs. Registered in the wiring as `vmHealth`. */
export interface VmHealth {
  /** VMs that fail new work now. */
  suspected(): ReadonlySet<string>;
}
