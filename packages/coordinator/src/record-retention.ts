import type {Clock} from '@gentiandoor/kernel';

const SWEEP_INTERVAL_MILLISECONDS = 10_000;
/**
 * Records are kept this many times as long as a job's final state must be available: a repeated
 * submission may arrive late and must still be recognised.
 */
const RETENTION_FACTOR = 2;

/** Drops records, each named by a string, some time after they are no longer needed. */
export class RecordRetention {
  private readonly endedAt = new Map<string, number>();
  private closed = false;

  /**
   * `stateKeptMilliseconds` is how long a job's final state must remain available; `drop` deletes
   * a record and resolves to whether it is certainly deleted; if not, it is tried again.
   */
  constructor(
    private readonly clock: Clock,
    private readonly stateKeptMilliseconds: number,
    private readonly drop: (name: string) => Promise<boolean>,
  ) {}

  start(): void {
    this.clock.schedule(SWEEP_INTERVAL_MILLISECONDS, () => {
      if (this.closed) return;
      this.dropExpired();
      this.start();
    });
  }

  close(): void {
    this.closed = true;
  }

  /** Starts the retention time of a record; from now on it is kept only for late repetitions. */
  noteEnded(name: string): void {
    this.endedAt.set(name, this.clock.monotonicMilliseconds());
  }

  private dropExpired(): void {
    const cutoff =
      this.clock.monotonicMilliseconds() -
      RETENTION_FACTOR * this.stateKeptMilliseconds;
    for (const [name, endedAt] of this.endedAt) {
      if (endedAt > cutoff) continue;
      this.endedAt.delete(name);
      void this.dropOne(name, endedAt);
    }
  }

  private async dropOne(name: string, endedAt: number): Promise<void> {
    const isDropped = await this.drop(name);
    if (!isDropped && !this.endedAt.has(name)) this.endedAt.set(name, endedAt);
  }
}
