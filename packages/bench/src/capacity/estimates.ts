import type {MeasuredSlopes} from './all-measurements.js';
import type {MeasuredLine} from './measured-line.js';
import {Unit} from './measurement.js';
import {extrapolate} from './slope.js';

const KILO = 1000;
const MEGA = 1e6;
const SIGNIFICANT_DIGITS = 3;

/** An estimated value with the calculation that led to it. */
export interface Estimate {
  readonly value: number;
  readonly text: string;
}

/**
 * Formats a number with three significant digits below 1000 and as a whole number from there on.
 */
export function figure(value: number): string {
  const rounded =
    Math.abs(value) >= KILO
      ? Math.round(value)
      : Number(value.toPrecision(SIGNIFICANT_DIGITS));
  return rounded.toLocaleString('en-GB', {maximumSignificantDigits: 15});
}

/** Formats a value with the most readable unit. */
export function quantity(value: number, unit: Unit): string {
  if (unit === Unit.CoreShare) return `${figure(value * 100)}% of a core`;
  const isBytes = unit === Unit.Bytes || unit === Unit.BytesPerSecond;
  if (!isBytes) return `${figure(value)} ${unit}`;
  const suffix = unit === Unit.Bytes ? '' : '/s';
  if (Math.abs(value) >= MEGA) return `${figure(value / MEGA)} MB${suffix}`;
  if (Math.abs(value) >= KILO) return `${figure(value / KILO)} KB${suffix}`;
  return `${figure(value)} ${isBytes ? 'bytes' : ''}${suffix}`;
}

/** Estimates values from measured slopes. */
export class Estimates {
  constructor(private readonly slopes: MeasuredSlopes) {}

  /**
   * Returns the value of a line extrapolated to `size`. For a falling line no growth was measured
   * and extrapolation would yield values near zero, so the largest measured value is used.
   */
  at(line: MeasuredLine, size: number): Estimate {
    const {slope, measurement, points} = this.measured(line);
    if (slope.perUnit < 0) {
      const value = Math.max(...points.map(point => point.value));
      const text = `largest measured ${quantity(value, measurement.unit)}, no growth seen`;
      return {value, text};
    }
    const value = Math.max(0, extrapolate(slope, size));
    const intercept = quantity(slope.intercept, measurement.unit);
    const perUnit = quantity(slope.perUnit, measurement.unit);
    return {value, text: `${intercept} + ${perUnit} x ${figure(size)}`};
  }

  /**
   * Extrapolates a line that grows faster than linearly, by the exponent between the two measured
   * sizes around `size` or between the last two.
   */
  byExponent(line: MeasuredLine, size: number): number {
    const {points} = this.measured(line);
    const above = points.findIndex(point => point.size >= size);
    const upper = above < 0 ? points.length - 1 : Math.max(1, above);
    const from = points[upper - 1];
    const to = points[upper];
    const exponent =
      Math.log(to.value / from.value) / Math.log(to.size / from.size);
    return to.value * (size / to.size) ** exponent;
  }

  /** Returns the slope of a line per unit of size. */
  perUnit(line: MeasuredLine): number {
    return this.measured(line).slope.perUnit;
  }

  /** Returns the value of a line at size 0, at least 0. */
  intercept(line: MeasuredLine): number {
    return Math.max(0, this.measured(line).slope.intercept);
  }

  private measured(line: MeasuredLine) {
    const measured = this.slopes.get(line);
    if (!measured) throw new Error(`no measurement found for ${line}`);
    return measured;
  }
}
