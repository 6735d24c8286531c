import {sleep, type Clock} from '@gentiandoor/kernel';
import type {
  RoutingDrain,
  SharedState,
  VmHealth,
} from '@gentiandoor/shared-state';
import type {ServiceRouter} from './service-router.js';

const POLL_MILLISECONDS = 20;

/** Services that `RouterDrain` depends on. */
export interface RouterDrainDependencies {
  readonly clock: Clock;
  readonly sharedState: SharedState;
  readonly serviceRouter: Pick<ServiceRouter, 'isRouting' | 'ejectedVms'>;
}

/**
 * Reports when this daemon has stopped routing to a VM. A move or reboot that started earlier
 * would cut exchanges, or let two pools use one VM. Three conditions must hold together: the VM is
 * draining in the folded state, no pool of the router has it among its targets, and no exchange
 * with it is in flight.
 */
export class RouterDrain implements RoutingDrain, VmHealth {
  constructor(private readonly dependencies: RouterDrainDependencies) {}

  async stopRouting(vm: string, signal: AbortSignal): Promise<void> {
    while (!this.hasStoppedRouting(vm)) {
      if (signal.aborted) throw new Error(`the drain of ${vm} has ended`);
      await sleep(this.dependencies.clock, POLL_MILLISECONDS, signal);
    }
  }

  suspected(): ReadonlySet<string> {
    return new Set(this.dependencies.serviceRouter.ejectedVms());
  }

  private hasStoppedRouting(vm: string): boolean {
    const {sharedState, serviceRouter} = this.dependencies;
    const isDrained = sharedState.state.vms.get(vm)?.drainReason !== undefined;
    return isDrained && !serviceRouter.isRouting(vm);
  }
}
