import type {JobSize, PoolEntry} from '@gentiandoor/shared-state';

interface FreeResources {
  processors: number;
  memoryGigabytes: number;
  accelerators: number;
  slots: number;
}

/**
 * Free capacity of the VMs of a pool during one planning round. Selects the fullest VM that still
 * fits, so that large jobs find whole VMs and drains find empty ones. VMs are kept in buckets by
 * free slots, so that a selection examines a few VMs instead of the whole pool.
 */
export class FreeCapacity {
  private readonly free = new Map<string, FreeResources>();
  private readonly buckets: Array<Set<string>>;

  constructor(private readonly entry: PoolEntry) {
    this.buckets = Array.from({length: entry.slots + 1}, () => new Set());
  }

  add(vm: string): void {
    const {processors, memoryGigabytes, accelerators, slots} = this.entry;
    this.free.set(vm, {processors, memoryGigabytes, accelerators, slots});
    this.buckets[slots].add(vm);
  }

  deduct(vm: string, size: JobSize): void {
    const free = this.free.get(vm);
    if (!free) return;
    this.buckets[Math.max(0, free.slots)].delete(vm);
    free.processors -= size.processors;
    free.memoryGigabytes -= size.memoryGigabytes;
    free.accelerators -= size.accelerators;
    free.slots -= size.slots;
    this.buckets[Math.max(0, free.slots)].add(vm);
  }

  /** Reserves capacity for a job on the fullest VM that fits; returns undefined if none fits. */
  allocate(size: JobSize, excluded: ReadonlySet<string>): string | undefined {
    for (let slots = size.slots; slots < this.buckets.length; slots++) {
      for (const vm of this.buckets[slots]) {
        if (excluded.has(vm) || !this.fits(vm, size)) continue;
        this.deduct(vm, size);
        return vm;
      }
    }
    return undefined;
  }

  private fits(vm: string, size: JobSize): boolean {
    const free = this.free.get(vm);
    return (
      free !== undefined &&
      free.slots >= size.slots &&
      free.processors >= size.processors &&
      free.memoryGigabytes >= size.memoryGigabytes &&
      free.accelerators >= size.accelerators
    );
  }
}
