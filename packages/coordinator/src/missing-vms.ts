import type {Clock} from '@gentiandoor/kernel';
import type {ListedVm} from './vm-gateway.js';

/** A VM counts as gone once it is missing for this long, in this many lists. */
const GONE_MILLISECONDS = 3_000;
const GONE_LISTS = 5;

/** Lists in a row from which a VM is missing. */
interface Absence {
  readonly since: number;
  latestList: readonly ListedVm[];
  lists: number;
}

/**
 * Tells VMs, or their workers, that are gone from those that a list leaves out. The list is read in
 * pages; a VM that changes its pool in between can be missing from all of them.
 */
export class MissingVms {
  private readonly absences = new Map<string, Absence>();

  constructor(private readonly clock: Clock) {}

  /** Records that `list` contains the VM. */
  notePresent(vm: string): void {
    this.absences.delete(vm);
  }

  /** Records that `list` does not contain the VM; returns whether it is gone for good. */
  isGone(vm: string, list: readonly ListedVm[]): boolean {
    const now = this.clock.monotonicMilliseconds();
    const absence = this.absences.get(vm);
    if (!absence) {
      this.absences.set(vm, {since: now, latestList: list, lists: 1});
      return false;
    }
    if (absence.latestList !== list) absence.lists++;
    absence.latestList = list;
    return (
      absence.lists >= GONE_LISTS && now - absence.since >= GONE_MILLISECONDS
    );
  }
}
