import {sleep, type Clock} from '@gentiandoor/kernel';

/** Simulates the link of one daemon's VM: each transfer waits for the earlier ones. */
export class SimulatedLink {
  private busyUntil = 0;

  /** `bytesPerMillisecond` is the bandwidth; 2 Mbit/s are 250. */
  constructor(
    private readonly clock: Clock,
    private readonly bytesPerMillisecond = Infinity,
  ) {}

  /** Resolves once `bytes` are transferred. */
  async carry(bytes: number): Promise<void> {
    await sleep(this.clock, this.reserve(bytes));
  }

  /**
   * Returns the milliseconds until `bytes` are transferred, which they are whether or not
   * a caller waits.
   */
  reserve(bytes: number): number {
    const now = this.clock.monotonicMilliseconds();
    const startsAt = Math.max(now, this.busyUntil);
    this.busyUntil = startsAt + bytes / this.bytesPerMillisecond;
    return this.busyUntil - now;
  }
}
