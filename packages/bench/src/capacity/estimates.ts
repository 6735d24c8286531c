import type {MeasuredSlopes} from './all-measurements.js';
import type {MeasuredLine} from './measured-line.js';
import {Unit} from './measurement.js';
import {extrapolate} from './slope.js';

const KILO = 1000;
const MEGA = 1e6;
const FIGURES = 3;

/** A value worked out, with its arithmetic. */
export interface Estimate {
  readonly value: number;
  readonly text: string;
}

/** A number with few figures and separators. */
export function figure(value: number): string {
  const rounded =
    Math.abs(value) >= KILO
      ? Math.round(value)
      : Number(value.toPrecision(FIGURES));
  return rounded.toLocaleString('en-GB', {maximumSignificantDigits: 15});
}

/** A value in the unit that reads best. */
export function quantity(value: number, unit: Unit): string {
  if (unit === Unit.CoreShare) return `${figure(value * 100)}% of a core`;
  const isBytes = unit === Unit.Bytes || unit === Unit.BytesPerSecond;
  if (!isBytes) return `${figure(value)} ${unit}`;
  const suffix = unit === Unit.Bytes ? '' : '/s';
  if (Math.abs(value) >= MEGA) return `${figure(value / MEGA)} MB${suffix}`;
  if (Math.abs(value) >= KILO) return `${figure(value / KILO)} KB${suffix}`;
  return `${figure(value)} ${isBytes ? 'bytes' : ''}${suffix}`;
}

/** Works out values from measured slopes and keeps the arithmetic. */
export class Estimates {
  constructor(private readonly slopes: MeasuredSlopes) {}

  /**
   * Intercept and slope of a line at `size`. A line that falls has not been seen to grow: drawn
   * on it would promise nothing at all, so its largest measured value stands.
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

  /** A line that grows worse than linearly: along the exponent between the two measured sizes around `size`, or the last two. */
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

  /** Value for one unit of size. */
  perUnit(line: MeasuredLine): number {
    return this.measured(line).slope.perUnit;
  }

  /** Value at size 0. */
  intercept(line: MeasuredLine): number {
    return Math.max(0, this.measured(line).slope.intercept);
  }

  private measured(line: MeasuredLine) {
    const measured = this.slopes.get(line);
    if (!measured) throw new Error(`nothing was measured for ${line}`);
    return measured;
  }
}
