import type {
  LeaseClient,
  RoutingDrain,
  TaskReport,
  VmActionState,
  VmActions,
  VmHealth,
} from '@gentiandoor/shared-state';

/** Stands in where no router is wired: acknowledges nothing, so that no move rests on a guess. */
export class NoRoutingDrain implements RoutingDrain {
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
  async requestAction(): Promise<VmActionState> {
    throw new Error('no platform edge for VM actions is set up');
  }
}

/** Stands in where no platform edge for leases is wired: no job is started. */
export class NoLeaseClient implements LeaseClient {
  start(): Promise<TaskReport> {
    return rejectLeaseCall();
  }

  renew(): Promise<TaskReport> {
    return rejectLeaseCall();
  }

  stop(): Promise<TaskReport> {
    return rejectLeaseCall();
  }

  checkpoint(): Promise<TaskReport> {
    return rejectLeaseCall();
  }

  throttle(): Promise<TaskReport> {
    return rejectLeaseCall();
  }

  report(): Promise<readonly TaskReport[]> {
    return rejectLeaseCall();
  }
}

async function rejectLeaseCall(): Promise<never> {
  throw new Error('no platform edge for leases is set up');
}
