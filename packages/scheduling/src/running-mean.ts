/** What a running mean has seen, for a successor. */
export interface MeanSnapshot {
  readonly count: number;
  readonly mean: number;
}

/** Mean of the last so many figures, older ones counting less and less. */
export class RunningMean {
  private count = 0;
  private mean = 0;

  constructor(private readonly memory: number) {}

  get value(): number {
    return this.mean;
  }

  get snapshot(): MeanSnapshot {
    return {count: this.count, mean: this.mean};
  }

  /** Goes on from what another one has seen. */
  restore({count, mean}: MeanSnapshot): void {
    this.count = Math.min(count, this.memory);
    this.mean = mean;
  }

  /** Notes a figure; returns the mean with it. */
  observe(figure: number): number {
    this.count = Math.min(this.count + 1, this.memory);
    this.mean += (figure - this.mean) / this.count;
    return this.mean;
  }
}
