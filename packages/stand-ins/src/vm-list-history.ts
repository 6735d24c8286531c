import {isDeepStrictEqual} from 'node:util';
import type {ListedVm} from '@gentiandoor/shared-state';

/** The changes of the VM list since a version, or the whole list. */
export interface VmListResponse {
  readonly version: number;
  /** True when `vms` is the whole list. */
  readonly whole: boolean;
  readonly vms: readonly ListedVm[];
  readonly removed: readonly string[];
}

const MAXIMUM_CHANGES = 10_000;

/** Numbers the changes of the VM list, so that a reader receives only changes after its version. */
export class VmListHistory {
  private version = 0;
  private readonly current = new Map<string, ListedVm>();
  /** Version of the last change of each VM, including removed ones; oldest first. */
  private readonly changedAt = new Map<string, number>();
  private oldestVersion = 0;

  /**
   * Returns the changes after version `since`, or the whole list when `since` is undefined or
   * unknown.
   */
  changesSince(
    visible: readonly ListedVm[],
    since: number | undefined,
  ): VmListResponse {
    this.update(visible);
    const {version} = this;
    if (since === undefined || since < this.oldestVersion || since > version) {
      return {version, whole: true, vms: visible, removed: []};
    }
    const changed = [...this.changedAt]
      .filter(([, at]) => at > since)
      .map(([id]) => id);
    const vms = changed.flatMap(id => this.current.get(id) ?? []);
    const removed = changed.filter(id => !this.current.has(id));
    return {version, whole: false, vms, removed};
  }

  private update(visible: readonly ListedVm[]): void {
    const seen = new Set<string>();
    for (const vm of visible) {
      seen.add(vm.id);
      if (isDeepStrictEqual(this.current.get(vm.id), vm)) continue;
      this.current.set(vm.id, vm);
      this.recordChange(vm.id);
    }
    for (const id of this.current.keys()) {
      if (seen.has(id)) continue;
      this.current.delete(id);
      this.recordChange(id);
    }
  }

  private recordChange(id: string): void {
    this.changedAt.delete(id);
    this.changedAt.set(id, ++this.version);
    if (this.changedAt.size <= MAXIMUM_CHANGES) return;
    const [oldest] = this.changedAt;
    this.changedAt.delete(oldest[0]);
    this.oldestVersion = oldest[1];
  }
}
