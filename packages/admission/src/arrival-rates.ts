import {
  SIZE_CLASSES,
  emptyHistogram,
  sizeClassOf,
  type SizeHistogram,
} from './size-histogram.js';

/** Time constant of the rates: two reports and a little, so that a burst shows within a second. */
const AVERAGING_MILLISECONDS = 700;
const MILLISECONDS_PER_SECOND = 1_000;

/** Recent rate at which accepted jobs bring work, by the size of the job. */
export class ArrivalRates {
  private readonly millicores = emptyHistogram();
  private jobs = 0;
  private updatedAt = 0;

  /** Records a job that was submitted at `at`, in any order. */
  note(millicoreMilliseconds: number, at: number): void {
    if (at > this.updatedAt) this.decayTo(at);
    const weight = decay(this.updatedAt - at);
    this.millicores[sizeClassOf(millicoreMilliseconds)] +=
      (weight * millicoreMilliseconds) / AVERAGING_MILLISECONDS;
    this.jobs += weight;
  }

  /** Returns the jobs that arrive per second at `now`. */
  jobsPerSecond(now: number): number {
    if (now > this.updatedAt) this.decayTo(now);
    return (MILLISECONDS_PER_SECOND * this.jobs) / AVERAGING_MILLISECONDS;
  }

  /** Returns the millicores that arriving jobs need at `now`. */
  histogram(now: number): SizeHistogram {
    if (now > this.updatedAt) this.decayTo(now);
    return [...this.millicores];
  }

  private decayTo(now: number): void {
    const factor = decay(now - this.updatedAt);
    for (let index = 0; index < SIZE_CLASSES; index++)
      this.millicores[index] *= factor;
    this.jobs *= factor;
    this.updatedAt = now;
  }
}

function decay(milliseconds: number): number {
  return Math.exp(-milliseconds / AVERAGING_MILLISECONDS);
}
