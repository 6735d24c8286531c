/** Calls `then` once all ends read so far are stored. */
export type AfterStored = (then: () => void) => void;

/**
 * Tracks how far the numbered run ends of one worker are read, stored and acknowledged. The worker
 * forgets acknowledged ends, so an end must be stored before it is acknowledged.
 */
export class EndCursor {
  private newestRead = 0;
  private newestStored = 0;
  private newestAcknowledged = 0;

  constructor(
    private readonly afterStored: AfterStored,
    private readonly changed: () => void,
  ) {}

  /** Number of the latest end that may be acknowledged. */
  get stored(): number {
    return this.newestStored;
  }

  /** Whether the worker still keeps ends that were already read. */
  get hasUnacknowledged(): boolean {
    return this.newestAcknowledged < this.newestRead;
  }

  /** Marks an end as read; returns false if it was already read before. */
  markRead(number: number): boolean {
    if (number <= this.newestRead) return false;
    this.newestRead = number;
    return true;
  }

  /** Allows all ends read so far to be acknowledged once they are stored. */
  acknowledgeWhenStored(): void {
    const read = this.newestRead;
    if (read <= this.newestStored) return;
    this.afterStored(() => {
      this.newestStored = Math.max(this.newestStored, read);
      this.changed();
    });
  }

  /** Records that the ends up to `number` were acknowledged to the worker. */
  noteAcknowledged(number: number): void {
    this.newestAcknowledged = number;
  }
}
