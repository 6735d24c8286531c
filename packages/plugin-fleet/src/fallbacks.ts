import type {
  LeaseClient,
  RoutingDrain,
  TaskReport,
  VmActionState,
  VmActions,
  VmHealth,
} from '@gentiandoor/shared-state';

/** Stands in where no router is wired: acknowledges nothing, so that no move rests on a guess. */
export class UnansweredRoutingDrain implements RoutingDrain {
  stopRouting(): Promise<void> {
    return new Promise(() => undefined);
  }
}

/** Stands in where nothing gives first-hand evidence. */
export class NoVmHealth implements VmHealth {
  suspected(): ReadonlySet<string> {
    return new Set();
  }
}

/** Stands in where no platform edge for actions is wired. */
export class NoVmActions implements VmActions {
  async ask(): Promise<VmActionState> {
    throw new Error('no platform edge for VM actions is set up');
  }
}

/** Stands in where no platform edge for leases is wired: no job is started. */
export class NoLeases implements LeaseClient {
  start(): Promise<TaskReport> {
    return refuse();
  }

  renew(): Promise<TaskReport> {
    return refuse();
  }

  stop(): Promise<TaskReport> {
    return refuse();
  }

  checkpoint(): Promise<TaskReport> {
    return refuse();
  }

  throttle(): Promise<TaskReport> {
    return refuse();
  }

  report(): Promise<readonly TaskReport[]> {
    return refuse();
  }
}

async function refuse(): Promise<never> {
  throw new Error('no platform edge for leases is set up');
}
