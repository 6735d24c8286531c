/** State of a running mean, from which a successor continues. */
export interface MeanSnapshot {
  readonly count: number;
  readonly mean: number;
}

/**
 * Mean of recent samples: an average of all of them up to `maximumWeight` samples,
 * after which older samples count less and less.
 */
export class RunningMean {
  private count = 0;
  private mean = 0;

  constructor(private readonly maximumWeight: number) {}

  get value(): number {
    return this.mean;
  }

  get snapshot(): MeanSnapshot {
    return {count: this.count, mean: this.mean};
  }

  /** Continues from the state of another running mean. */
  restore({count, mean}: MeanSnapshot): void {
    this.count = Math.min(count, this.maximumWeight);
    this.mean = mean;
  }

  /** Records a sample and returns the updated mean. */
  observe(sample: number): number {
    this.count = Math.min(this.count + 1, this.maximumWeight);
    this.mean += (sample - this.mean) / this.count;
    return this.mean;
  }
}
