/** Number of recent runs in the regression. */
const MAXIMUM_SAMPLE_WEIGHT = 200;
/** Minimum number of runs before estimates are corrected. */
const MINIMUM_RUNS = 12;
/** Lower limit of estimates and run times, which enter as logarithms. */
const MINIMUM_MILLISECONDS = 1;

/** Learned state of a model, from which a successor continues. */
export interface DurationSnapshot {
  readonly weight: number;
  readonly meanEstimate: number;
  readonly meanActual: number;
  readonly variance: number;
  readonly covariance: number;
  readonly actualVariance: number;
}

/**
 * Learns how the estimated run times of a queue's tasks relate to the actual ones.
 * Load: callers whose estimates are off by a factor that differs between queues.
 * Without it, jobs are ordered and pools are sized by estimates that say little. A
 * linear regression of the logarithms keeps the information that an estimate carries
 * and shrinks the rest towards the queue's mean.
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

  /** Continues from the learned state of another model. */
  restore(snapshot: DurationSnapshot): void {
    this.weight = snapshot.weight;
    this.meanEstimate = snapshot.meanEstimate;
    this.meanActual = snapshot.meanActual;
    this.variance = snapshot.variance;
    this.covariance = snapshot.covariance;
    this.actualVariance = snapshot.actualVariance;
  }

  /** Records the estimated and the actual run time of a successful run. */
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

  /** Returns the median run time of tasks with this estimate, in milliseconds. */
  medianMilliseconds(estimatedMilliseconds: number): number {
    if (this.weight < MINIMUM_RUNS) return estimatedMilliseconds;
    const slope = this.slope();
    const distance = logarithm(estimatedMilliseconds) - this.meanEstimate;
    return Math.exp(this.meanActual + slope * distance);
  }

  /**
   * Returns the mean run time of tasks with this estimate, in milliseconds. Used to
   * determine the capacity that the tasks need.
   */
  meanMilliseconds(estimatedMilliseconds: number): number {
    const median = this.medianMilliseconds(estimatedMilliseconds);
    if (this.weight < MINIMUM_RUNS) return median;
    // The mean of a log-normal distribution is its median times exp(variance / 2).
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
