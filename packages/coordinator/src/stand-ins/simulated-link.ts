import {sleep, type Clock} from '@gentiandoor/kernel';

/** The link of one daemon's VM: what goes over it waits for what went before. */
export class SimulatedLink {
  private busyUntil = 0;
  /** Bytes that were carried, by what they were for. */
  readonly carried = new Map<string, number>();

  /** `bytesPerMillisecond`: bandwidth; 2 Mbit/s are 250. */
  constructor(
    private readonly clock: Clock,
    private readonly bytesPerMillisecond = Infinity,
  ) {}

  /** Resolves once `bytes` are carried. */
  async carry(purpose: string, bytes: number): Promise<void> {
    await sleep(this.clock, this.reserve(purpose, bytes));
  }

  /** Milliseconds until `bytes` are carried, which they are whether somebody waits or not. */
  reserve(purpose: string, bytes: number): number {
    this.carried.set(purpose, (this.carried.get(purpose) ?? 0) + bytes);
    const now = this.clock.monotonicMilliseconds();
    const begins = Math.max(now, this.busyUntil);
    this.busyUntil = begins + bytes / this.bytesPerMillisecond;
    return this.busyUntil - now;
  }
}
