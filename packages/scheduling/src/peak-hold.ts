interface Figure {
  readonly value: number;
  readonly at: number;
}

/**
 * Highest figure of the last moments.
 * Load: demand that is measured over less than a second and falls for a moment within a turn.
 * Without it VMs leave a pool and are fetched back: two moves, and work that waits in between.
 */
export class PeakHold {
  /** Falling values, each with the newest time at which it was reached. */
  private figures: Figure[] = [];

  constructor(private readonly holdMilliseconds: number) {}

  /** Notes the figure of now; returns the highest of the time that is held. */
  note(value: number, now: number): number {
    const from = now - this.holdMilliseconds;
    this.figures = this.figures.filter(
      figure => figure.at > from && figure.value > value,
    );
    this.figures.push({value, at: now});
    return this.figures[0].value;
  }
}
