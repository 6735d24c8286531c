import {actionId} from '@gentiandoor/fleet';
import {
  VmActionState,
  PlannedWorkStep,
  type FleetState,
  type VmActions,
} from '@gentiandoor/shared-state';

/**
 * Requests from the platform the VM actions that are recorded in the log, and keeps its responses.
 * Only actions that were read back are requested; a planner that takes over requests them again
 * under the same id.
 */
export class VmActionTracker {
  /** States by action id. */
  readonly states = new Map<string, VmActionState>();

  constructor(private readonly vmActions: VmActions) {}

  async refresh(state: FleetState, signal: AbortSignal): Promise<void> {
    const requestedIds = new Set<string>();
    const requests: Array<Promise<void>> = [];
    for (const work of state.work.values()) {
      if (work.step !== PlannedWorkStep.Asked || work.lastAction === undefined)
        continue;
      const id = actionId(work);
      requestedIds.add(id);
      const actionState = this.states.get(id);
      if (
        actionState === VmActionState.Done ||
        actionState === VmActionState.Failed
      )
        continue;
      requests.push(this.request(id, work.vm, work.lastAction, signal));
    }
    for (const id of this.states.keys())
      if (!requestedIds.has(id)) this.states.delete(id);
    await Promise.all(requests);
  }

  private async request(
    id: string,
    vm: string,
    action: Parameters<VmActions['requestAction']>[0]['action'],
    signal: AbortSignal,
  ): Promise<void> {
    try {
      this.states.set(
        id,
        await this.vmActions.requestAction({id, vm, action}, signal),
      );
    } catch {
      // Without a response the state stays unchanged; the next round repeats the request
      // under the same id.
    }
  }
}
