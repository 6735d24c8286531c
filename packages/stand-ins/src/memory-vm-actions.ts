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

/** The platform's reboots and replacements in memory; an id is done once. */
export class MemoryVmActions implements VmActions {
  /** Milliseconds that a reboot takes. */
  bootMilliseconds = 120_000;
  /** VMs that do not come back from a reboot. */
  readonly neverReturn = new Set<string>();
  /** Whether every call is refused. */
  isUnavailable = false;
  /** Actions done, in order. */
  readonly startedActions: VmActionRequest[] = [];
  private readonly actions = new Map<string, Action>();

  constructor(
    private readonly clock: Clock,
    private readonly list: MemoryVmList,
  ) {}

  async requestAction(request: VmActionRequest): Promise<VmActionState> {
    if (this.isUnavailable) throw new Error('the platform is out');
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
