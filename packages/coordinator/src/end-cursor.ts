/** Calls back when all ends read so far are stored. */
export type AfterStored = (then: () => void) => void;

/**
 * How far the numbered ends of one worker are read, stored and acknowledged. The worker forgets what
 * is acknowledged, so an end must be stored before.
 */
export class EndCursor {
  private newestRead = 0;
  private newestStored = 0;
  private newestAcknowledged = 0;

  constructor(
    private readonly afterStored: AfterStored,
    private readonly changed: () => void,
  ) {}

  /** Number of the newest end that may be acknowledged. */
  get stored(): number {
    return this.newestStored;
  }

  /** Whether the worker still keeps ends that were read. */
  get hasUnacknowledged(): boolean {
    return this.newestAcknowledged < this.newestRead;
  }

  /** Notes that an end was read; false when it had been before. */
  markRead(number: number): boolean {
    if (number <= this.newestRead) return false;
    this.newestRead = number;
    return true;
  }

  /** Lets what was read be acknowledged once it is stored. */
  acknowledgeWhenStored(): void {
    const read = this.newestRead;
    if (read <= this.newestStored) return;
    this.afterStored(() => {
      this.newestStored = Math.max(this.newestStored, read);
      this.changed();
    });
  }

  /** Notes that the worker was told of the ends up to `number`. */
  noteAcknowledged(number: number): void {
    this.newestAcknowledged = number;
  }
}
