interface Sample {
  readonly value: number;
  readonly at: number;
}

/**
 * Highest figure of the last moments.
 * Load: demand that is measured over less than a second and falls for a moment within a turn.
 * Without it VMs leave a pool and are fetched back: two moves, and work that waits in between.
 */
export class SlidingMaximum {
  /** Falling values, each with the newest time at which it was reached. */
  private samples: Sample[] = [];

  constructor(private readonly windowMilliseconds: number) {}

  /** Notes the figure of now; returns the highest of the time that is held. */
  observe(value: number, now: number): number {
    const from = now - this.windowMilliseconds;
    this.samples = this.samples.filter(
      figure => figure.at > from && figure.value > value,
    );
    this.samples.push({value, at: now});
    return this.samples[0].value;
  }
}
