import type {Clock} from '@gentiandoor/kernel';

/** A worker that has not responded for this long after its VM came up is not waited for. */
const MAXIMUM_ARRIVAL_MILLISECONDS = 5_000;

/** Tells VMs whose workers are about to take work from those whose workers do not turn up. */
export class VmArrivals {
  /** Since when each worker has been arriving. */
  private readonly since = new Map<string, number>();

  constructor(private readonly clock: Clock) {}

  /** Returns whether a worker that `isArriving` is still expected to take work soon. */
  isExpected(workerId: string, isArriving: boolean): boolean {
    if (!isArriving) {
      this.since.delete(workerId);
      return false;
    }
    const now = this.clock.monotonicMilliseconds();
    const since = this.since.get(workerId) ?? now;
    this.since.set(workerId, since);
    return now - since < MAXIMUM_ARRIVAL_MILLISECONDS;
  }
}
