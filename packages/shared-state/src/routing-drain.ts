/** Stops routing to VMs for planned work. Registered in the wiring as `routingDrain`. */
export interface RoutingDrain {
  /**
   * Resolves once this daemon has no exchange left on the VM and can start no new one while the
   * folded state contains the VM's drain. Stays pending until then; `signal` is aborted when the
   * drain has ended and the result is no longer needed.
   */
  stopRouting(vm: string, signal: AbortSignal): Promise<void>;
}

/** A daemon's first-hand evidence of failing VMs. Registered in the wiring as `vmHealth`. */
export interface VmHealth {
  /** Returns the ids of VMs that currently fail new work. */
  suspected(): ReadonlySet<string>;
}
