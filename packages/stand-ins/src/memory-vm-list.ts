import type {Clock} from '@gentiandoor/kernel';
import {ListedState, type ListedVm} from '@gentiandoor/shared-state';

interface Change {
  readonly visibleAt: number;
  readonly vm: ListedVm | undefined;
  readonly id: string;
}

/** In-memory VM list of the platform; changes become visible after a lag. */
export class MemoryVmList {
  /** Delay until a change becomes visible. */
  lagMilliseconds = 0;
  /** While true, no further change becomes visible. */
  isFrozen = false;
  private readonly shown = new Map<string, ListedVm>();
  private pending: Change[] = [];

  constructor(private readonly clock: Clock) {}

  /** Adds or replaces a VM. */
  put(vm: ListedVm): void {
    this.change(vm.id, vm);
  }

  /** Marks a VM as leaving. */
  markLeaving(id: string): void {
    const vm = this.latest(id);
    if (vm) this.change(id, {...vm, state: ListedState.Leaving});
  }

  remove(id: string): void {
    this.change(id, undefined);
  }

  /** Returns the VMs that a reader sees now. */
  visible(): ListedVm[] {
    if (this.isFrozen) return [...this.shown.values()];
    const now = this.clock.monotonicMilliseconds();
    const due = this.pending.filter(change => change.visibleAt <= now);
    this.pending = this.pending.filter(change => change.visibleAt > now);
    for (const change of due) this.apply(change);
    return [...this.shown.values()];
  }

  private change(id: string, vm: ListedVm | undefined): void {
    const visibleAt = this.clock.monotonicMilliseconds() + this.lagMilliseconds;
    this.pending.push({id, vm, visibleAt});
  }

  private apply(change: Change): void {
    if (change.vm) this.shown.set(change.id, change.vm);
    else this.shown.delete(change.id);
  }

  private latest(id: string): ListedVm | undefined {
    const last = this.pending.filter(change => change.id === id).at(-1);
    return last ? last.vm : this.shown.get(id);
  }
}
