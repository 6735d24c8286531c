import {sleep, type Clock} from '@gentiandoor/kernel';
import type {
  VmActionRequest,
  VmActionState,
  VmActions,
} from '@gentiandoor/shared-state';
import type {MemoryVmActions} from './memory-vm-actions.js';
import type {TargetServer} from './target-server.js';

/**
 * VM actions whose reboot closes the target's server and all of its connections at once, as a
 * real reboot does. A stop that was not graceful shows as truncated responses.
 */
export class TargetRebootingVmActions implements VmActions {
  private readonly seen = new Set<string>();

  constructor(
    private readonly clock: Clock,
    private readonly actions: MemoryVmActions,
    private readonly targets: ReadonlyMap<string, TargetServer>,
  ) {}

  async requestAction(request: VmActionRequest): Promise<VmActionState> {
    const state = await this.actions.requestAction(request);
    if (!this.seen.has(request.id)) {
      this.seen.add(request.id);
      void this.reboot(request.vm);
    }
    return state;
  }

  private async reboot(vm: string): Promise<void> {
    const target = this.targets.get(vm);
    if (!target) return;
    const {address} = target;
    await target.stop();
    // A real VM is also up shortly before the list shows it again.
    await sleep(this.clock, this.actions.bootMilliseconds / 2);
    if (!this.actions.neverReturn.has(vm)) await target.start(address);
  }
}
