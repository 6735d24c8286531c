import type {Clock} from '@gentiandoor/kernel';
import {
  ListedState,
  VmActionState,
  type ListedVm,
  type VmActionRequest,
  type VmActions,
} from '@gentiandoor/shared-state';
import type {MemoryVmList} from './memory-vm-list.js';

interface Action {
  readonly request: VmActionRequest;
  readonly endsAt: number;
  state: VmActionState;
}

/** In-memory reboots and replacements of the platform; each request id is executed once. */
export class MemoryVmActions implements VmActions {
  /** Duration of a reboot. */
  bootMilliseconds = 120_000;
  /** VMs that stay off the list after a reboot. */
  readonly neverReturn = new Set<string>();
  /** Whether every call fails. */
  isUnavailable = false;
  /** Started actions, in order. */
  readonly startedActions: VmActionRequest[] = [];
  private readonly actions = new Map<string, Action>();

  constructor(
    private readonly clock: Clock,
    private readonly list: MemoryVmList,
  ) {}

  async requestAction(request: VmActionRequest): Promise<VmActionState> {
    if (this.isUnavailable) throw new Error('the platform is unavailable');
    const known = this.actions.get(request.id);
    if (known) return known.state;
    const action: Action = {
      request,
      endsAt: this.clock.monotonicMilliseconds() + this.bootMilliseconds,
      state: VmActionState.Running,
    };
    this.actions.set(request.id, action);
    this.startedActions.push(request);
    const vm = this.list.visible().find(({id}) => id === request.vm);
    this.list.remove(request.vm);
    this.clock.schedule(this.bootMilliseconds, () => this.end(action, vm));
    return action.state;
  }

  private end(action: Action, vm: ListedVm | undefined): void {
    const {vm: id} = action.request;
    action.state = VmActionState.Done;
    if (this.neverReturn.has(id)) return;
    if (vm) this.list.put({...vm, state: ListedState.Live});
  }
}
