import {actionId} from '@gentiandoor/fleet';
import {
  VmActionState,
  PlannedWorkStep,
  type FleetState,
  type VmActions,
} from '@gentiandoor/shared-state';

/**
 * Asks the platform for what the log says was asked, and keeps its answers. Only what was
 * read back is asked for; a planner that takes over asks again under the same id.
 */
export class VmActionTracker {
  /** Answers by action id. */
  readonly states = new Map<string, VmActionState>();

  constructor(private readonly vmActions: VmActions) {}

  async refresh(state: FleetState, signal: AbortSignal): Promise<void> {
    const wanted = new Set<string>();
    const calls: Array<Promise<void>> = [];
    for (const work of state.work.values()) {
      if (work.step !== PlannedWorkStep.Asked || work.lastAction === undefined)
        continue;
      const id = actionId(work);
      wanted.add(id);
      const known = this.states.get(id);
      if (known === VmActionState.Done || known === VmActionState.Failed)
        continue;
      calls.push(this.request(id, work.vm, work.lastAction, signal));
    }
    for (const id of this.states.keys())
      if (!wanted.has(id)) this.states.delete(id);
    await Promise.all(calls);
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
      // No answer is no news: it is asked again in the next round, under the same id.
    }
  }
}
