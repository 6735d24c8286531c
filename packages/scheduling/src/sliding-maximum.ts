interface Sample {
  readonly value: number;
  readonly at: number;
}

/**
 * Maximum of the samples within a sliding time window.
 * Load: demand that is measured over less than a second and drops briefly within a
 * burst. Without it, VMs leave a pool and are moved back, which costs two moves while
 * work waits.
 */
export class SlidingMaximum {
  /**
   * Samples with strictly decreasing values, each with the latest time at which its
   * value was reached.
   */
  private samples: Sample[] = [];

  constructor(private readonly windowMilliseconds: number) {}

  /** Records the current value and returns the maximum within the window. */
  observe(value: number, now: number): number {
    const from = now - this.windowMilliseconds;
    this.samples = this.samples.filter(
      sample => sample.at > from && sample.value > value,
    );
    this.samples.push({value, at: now});
    return this.samples[0].value;
  }
}
