/** Mean of the last so many figures, older ones counting less and less. */
export class RunningMean {
  private count = 0;
  private mean = 0;

  constructor(private readonly memory: number) {}

  get value(): number {
    return this.mean;
  }

  /** Notes a figure; returns the mean with it. */
  note(figure: number): number {
    this.count = Math.min(this.count + 1, this.memory);
    this.mean += (figure - this.mean) / this.count;
    return this.mean;
  }
}
