import {isDeepStrictEqual} from 'node:util';
import type {ListedVm} from '@gentiandoor/shared-state';

/** What changed in the list since a version, or all of it. */
export interface VmListResponse {
  readonly version: number;
  /** True when `vms` is the whole list. */
  readonly whole: boolean;
  readonly vms: readonly ListedVm[];
  readonly removed: readonly string[];
}

const CHANGES_KEPT = 10_000;

/** Numbers the changes of the list, so that a reader that knows a version gets only what is newer. */
export class VmListHistory {
  private version = 0;
  private readonly known = new Map<string, ListedVm>();
  /** Version of the last change of each VM, oldest first; removed ones included. */
  private readonly changedAt = new Map<string, number>();
  private oldestVersion = 0;

  /** The answer for a reader that knows `since`; undefined asks for the whole list. */
  answer(
    visible: readonly ListedVm[],
    since: number | undefined,
  ): VmListResponse {
    this.note(visible);
    const {version} = this;
    if (since === undefined || since < this.oldestVersion || since > version) {
      return {version, whole: true, vms: visible, removed: []};
    }
    const changed = [...this.changedAt]
      .filter(([, at]) => at > since)
      .map(([id]) => id);
    const vms = changed.flatMap(id => this.known.get(id) ?? []);
    const removed = changed.filter(id => !this.known.has(id));
    return {version, whole: false, vms, removed};
  }

  private note(visible: readonly ListedVm[]): void {
    const seen = new Set<string>();
    for (const vm of visible) {
      seen.add(vm.id);
      if (isDeepStrictEqual(this.known.get(vm.id), vm)) continue;
      this.known.set(vm.id, vm);
      this.change(vm.id);
    }
    for (const id of this.known.keys()) {
      if (seen.has(id)) continue;
      this.known.delete(id);
      this.change(id);
    }
  }

  private change(id: string): void {
    this.changedAt.delete(id);
    this.changedAt.set(id, ++this.version);
    if (this.changedAt.size <= CHANGES_KEPT) return;
    const [oldest] = this.changedAt;
    this.changedAt.delete(oldest[0]);
    this.oldestVersion = oldest[1];
  }
}
