/** A measured value at one size. */
export interface Point {
  readonly size: number;
  readonly value: number;
}

/** A line fitted to measured points. */
export interface Slope {
  /** Value at size 0. */
  readonly intercept: number;
  /** Increase of the value per unit of size. */
  readonly perUnit: number;
  /** Maximum distance of a point from the line, as a share of the largest value. */
  readonly error: number;
  /** Growth exponent between the smallest and the largest size; 1 is linear. */
  readonly exponent: number;
  /** Growth exponent between the two largest sizes; a constant part hides growth in `exponent`. */
  readonly endExponent: number;
}

/** Growth above this exponent is reported as worse than linear. */
export const LINEAR_EXPONENT = 1.15;

/** Fits a least-squares line to at least two points of different sizes. */
export function fitSlope(points: readonly Point[]): Slope {
  const count = points.length;
  const meanSize = points.reduce((sum, point) => sum + point.size, 0) / count;
  const meanValue = points.reduce((sum, point) => sum + point.value, 0) / count;
  let covariance = 0;
  let variance = 0;
  for (const {size, value} of points) {
    covariance += (size - meanSize) * (value - meanValue);
    variance += (size - meanSize) ** 2;
  }
  const perUnit = covariance / variance;
  const intercept = meanValue - perUnit * meanSize;
  const largest = Math.max(...points.map(point => Math.abs(point.value)));
  const worst = Math.max(
    ...points.map(({size, value}) =>
      Math.abs(value - intercept - perUnit * size),
    ),
  );
  return {
    intercept,
    perUnit,
    error: largest === 0 ? 0 : worst / largest,
    exponent: growthExponent(points),
    endExponent: growthExponent(largestTwo(points)),
  };
}

/** Returns the value of the line at `size`. */
export function extrapolate(slope: Slope, size: number): number {
  return slope.intercept + slope.perUnit * size;
}

function largestTwo(points: readonly Point[]): Point[] {
  return [...points].sort((left, right) => left.size - right.size).slice(-2);
}

function growthExponent(points: readonly Point[]): number {
  const sorted = [...points].sort((left, right) => left.size - right.size);
  const first = sorted[0];
  const last = sorted[sorted.length - 1];
  if (first.value <= 0 || last.value <= 0) return 0;
  return Math.log(last.value / first.value) / Math.log(last.size / first.size);
}
