/** Counts this daemon's in-flight exchanges by VM, across all pools. */
export class VmExchangeCounter {
  private readonly counts = new Map<string, number>();

  begin(vm: string): void {
    this.counts.set(vm, this.countOf(vm) + 1);
  }

  end(vm: string): void {
    const remaining = this.countOf(vm) - 1;
    if (remaining > 0) this.counts.set(vm, remaining);
    else this.counts.delete(vm);
  }

  countOf(vm: string): number {
    return this.counts.get(vm) ?? 0;
  }
}
