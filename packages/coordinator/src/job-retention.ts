import type {Clock} from '@gentiandoor/kernel';

const SWEEP_INTERVAL_MILLISECONDS = 10_000;
/**
 * Ended jobs are kept this many times as long as their state must be available: a repeated
 * submission may arrive late and must still be recognised.
 */
const RETENTION_FACTOR = 2;

/** Drops ended jobs some time after their final state no longer has to be available. */
export class JobRetention {
  private readonly endedAt = new Map<string, number>();
  private closed = false;

  /**
   * `stateKeptMilliseconds` is how long a final state must remain available; `drop` deletes a job.
   */
  constructor(
    private readonly clock: Clock,
    private readonly stateKeptMilliseconds: number,
    private readonly drop: (jobId: string) => void,
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

  noteEnded(jobId: string): void {
    this.endedAt.set(jobId, this.clock.monotonicMilliseconds());
  }

  private dropExpired(): void {
    const cutoff =
      this.clock.monotonicMilliseconds() -
      RETENTION_FACTOR * this.stateKeptMilliseconds;
    for (const [jobId, endedAt] of this.endedAt) {
      if (endedAt > cutoff) continue;
      this.endedAt.delete(jobId);
      this.drop(jobId);
    }
  }
}
