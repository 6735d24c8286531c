import {
  NO_WAITING_LOAD,
  type ServiceLoad,
  type WaitingLoad,
} from './service-load.js';

/**
 * The waiting load of all services, as far as their pools are to be enlarged for it.
 * Load: the excess jobs of one organisation fill its queues. Without it, their pool takes
 * VMs from another pool that needs them for entitled work.
 */
export class ServiceLoads {
  private readonly loads = new Map<string, WaitingLoad>();

  /**
   * `hasJobs` returns whether a service has jobs: the end of the last one does not lead to
   * a round of placement, so its load may be obsolete.
   */
  constructor(private readonly hasJobs: (service: string) => boolean) {}

  /** Returns the load after the last round of placement of a service. */
  waitingLoadOf(service: string): WaitingLoad {
    return this.loads.get(service) ?? NO_WAITING_LOAD;
  }

  /** Records the load after a round of placement. */
  set(service: string, load: WaitingLoad): void {
    this.loads.set(service, load);
  }

  /**
   * Returns the load to which the pool of a service is adapted: without excess work while
   * entitled work waits for any service.
   */
  loadOf(service: string): ServiceLoad {
    const {entitled, all} = this.waitingLoadOf(service);
    return entitled.excessMillicores > 0 && this.isEntitledWorkWaiting()
      ? entitled
      : all;
  }

  private isEntitledWorkWaiting(): boolean {
    for (const [service, {entitled}] of this.loads)
      if (entitled.waitingMillicores > 0 && this.hasJobs(service)) return true;
    return false;
  }
}
