import type {
  LeaseClient,
  RoutingDrain,
  TaskReport,
  VmActionState,
  VmActions,
  VmHealth,
} from '@gentiandoor/shared-state';

/** Fallback without a router: never reports a drained VM, so that no move relies on a guess. */
export class NoRoutingDrain implements RoutingDrain {
  stopRouting(): Promise<void> {
    return new Promise(() => undefined);
  }
}

/** Fallback without a source of first-hand evidence on VMs: suspects none. */
export class NoVmHealth implements VmHealth {
  suspected(): ReadonlySet<string> {
    return new Set();
  }
}

/** Fallback without a platform plug-in for VM actions: rejects every request. */
export class NoVmActions implements VmActions {
  async requestAction(): Promise<VmActionState> {
    throw new Error('no platform plug-in for VM actions is registered');
  }
}

/**
 * Fallback without a platform plug-in for leases: rejects every call, so that no job is
 * started.
 */
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
  throw new Error('no platform plug-in for leases is registered');
}
