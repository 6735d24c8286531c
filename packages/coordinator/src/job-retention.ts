import type {Clock} from '@gentiandoor/kernel';

const SWEEP_INTERVAL_MILLISECONDS = 10_000;
/** A repeated submission may arrive late and must still be recognised. */
const RETENTION_FACTOR = 2;

/** Lets ended jobs be dropped once nobody may ask for their state any more. */
export class JobRetention {
  private readonly endedAt = new Map<string, number>();
  private closed = false;

  /** `stateKeptMilliseconds`: how long a final state may be asked for; `drop`: forgets a job. */
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
    const oldest =
      this.clock.monotonicMilliseconds() -
      RETENTION_FACTOR * this.stateKeptMilliseconds;
    for (const [jobId, endedAt] of this.endedAt) {
      if (endedAt > oldest) continue;
      this.endedAt.delete(jobId);
      this.drop(jobId);
    }
  }
}
