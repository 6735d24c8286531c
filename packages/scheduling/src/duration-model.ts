/** Number of recent runs in the regression. */
const MAXIMUM_SAMPLE_WEIGHT = 200;
/** Minimum number of runs before estimates are corrected. */
const MINIMUM_RUNS = 12;
/** Lower limit of estimates and run times, which enter as logarithms. */
const MINIMUM_MILLISECONDS = 1;

/** What a model has learned, for a successor. */
export interface DurationSnapshot {
  readonly weight: number;
  readonly meanEstimate: number;
  readonly meanActual: number;
  readonly variance: number;
  readonly covariance: number;
  readonly actualVariance: number;
}

/**
 * Learns how estimated run times of a queue's tasks stand to the real ones.
 * Load: callers whose estimates are off by a factor, each queue in its own way. Without it jobs are
 * ordered and pools sized by numbers that say little. A regression of the logarithms keeps what an
 * estimate tells and pulls the rest to the queue's mean.
 */
export class DurationModel {
  private weight = 0;
  private meanEstimate = 0;
  private meanActual = 0;
  private variance = 0;
  private covariance = 0;
  private actualVariance = 0;

  get snapshot(): DurationSnapshot {
    const {weight, meanEstimate, meanActual} = this;
    const {variance, covariance, actualVariance} = this;
    return {
      weight,
      meanEstimate,
      meanActual,
      variance,
      covariance,
      actualVariance,
    };
  }

  /** Goes on from what another one has learned. */
  restore(snapshot: DurationSnapshot): void {
    this.weight = snapshot.weight;
    this.meanEstimate = snapshot.meanEstimate;
    this.meanActual = snapshot.meanActual;
    this.variance = snapshot.variance;
    this.covariance = snapshot.covariance;
    this.actualVariance = snapshot.actualVariance;
  }

  /** Notes a run that ended well. */
  observe(estimatedMilliseconds: number, actualMilliseconds: number): void {
    const estimate = logarithm(estimatedMilliseconds);
    const actual = logarithm(actualMilliseconds);
    this.weight = Math.min(this.weight + 1, MAXIMUM_SAMPLE_WEIGHT);
    const share = 1 / this.weight;
    const beforeEstimate = estimate - this.meanEstimate;
    const beforeActual = actual - this.meanActual;
    this.meanEstimate += share * beforeEstimate;
    this.meanActual += share * beforeActual;
    const afterEstimate = estimate - this.meanEstimate;
    this.variance += share * (beforeEstimate * afterEstimate - this.variance);
    this.covariance += share * (beforeActual * afterEstimate - this.covariance);
    const afterActual = actual - this.meanActual;
    this.actualVariance +=
      share * (beforeActual * afterActual - this.actualVariance);
  }

  /** Run time that half of the tasks with this estimate exceed, in milliseconds. */
  medianMilliseconds(estimatedMilliseconds: number): number {
    if (this.weight < MINIMUM_RUNS) return estimatedMilliseconds;
    const slope = this.slope();
    const distance = logarithm(estimatedMilliseconds) - this.meanEstimate;
    return Math.exp(this.meanActual + slope * distance);
  }

  /** Mean run time of the tasks with this estimate, in milliseconds: what room is needed for. */
  meanMilliseconds(estimatedMilliseconds: number): number {
    const median = this.medianMilliseconds(estimatedMilliseconds);
    if (this.weight < MINIMUM_RUNS) return median;
    // Of figures whose logarithms spread evenly the mean lies above the middle by half their variance.
    const unexplained = Math.max(
      0,
      this.actualVariance - this.slope() * this.covariance,
    );
    return median * Math.exp(unexplained / 2);
  }

  private slope(): number {
    if (this.variance <= 0) return 1;
    return Math.min(1, Math.max(0, this.covariance / this.variance));
  }
}

function logarithm(milliseconds: number): number {
  return Math.log(Math.max(MINIMUM_MILLISECONDS, milliseconds));
}
