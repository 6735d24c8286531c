import {sleep, type Clock} from '@gentiandoor/kernel';

/** The link of one daemon's VM: what goes over it waits for what went before. */
export class SimulatedLink {
  private busyUntil = 0;

  /** `bytesPerMillisecond`: bandwidth; 2 Mbit/s are 250. */
  constructor(
    private readonly clock: Clock,
    private readonly bytesPerMillisecond = Infinity,
  ) {}

  /** Resolves once `bytes` are carried. */
  async carry(bytes: number): Promise<void> {
    await sleep(this.clock, this.reserve(bytes));
  }

  /** Milliseconds until `bytes` are carried, which they are whether somebody waits or not. */
  reserve(bytes: number): number {
    const now = this.clock.monotonicMilliseconds();
    const begins = Math.max(now, this.busyUntil);
    this.busyUntil = begins + bytes / this.bytesPerMillisecond;
    return this.busyUntil - now;
  }
}
