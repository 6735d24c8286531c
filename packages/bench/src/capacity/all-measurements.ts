import {CLAIMS_MEASUREMENTS} from './claims-measurements.js';
import {LIST_MEASUREMENTS} from './list-measurements.js';
import type {MeasuredLine} from './measured-line.js';
import {measurePoints, type Measurement} from './measurement.js';
import {MEMBER_MEASUREMENTS} from './member-measurements.js';
import {PEER_MEASUREMENTS} from './peer-measurements.js';
import {PLANNER_MEASUREMENTS} from './planner-measurements.js';
import {RECORD_MEASUREMENTS} from './record-measurements.js';
import {ROUTER_MEASUREMENTS} from './router-measurements.js';
import {fitSlope, type Point, type Slope} from './slope.js';
import {SNAPSHOT_MEASUREMENTS} from './snapshot-measurements.js';
import {STATE_MEASUREMENTS} from './state-measurements.js';
import {WIRE_MEASUREMENTS} from './wire-measurements.js';

/** All measurements by size, in the order of the capacity page. */
export const ALL_MEASUREMENTS: readonly Measurement[] = [
  ...STATE_MEASUREMENTS,
  ...LIST_MEASUREMENTS,
  ...RECORD_MEASUREMENTS,
  ...SNAPSHOT_MEASUREMENTS,
  ...PLANNER_MEASUREMENTS,
  ...ROUTER_MEASUREMENTS,
  ...CLAIMS_MEASUREMENTS,
  ...PEER_MEASUREMENTS,
  ...MEMBER_MEASUREMENTS,
  ...WIRE_MEASUREMENTS,
];

/** A measurement with its points and the line fitted to them. */
export interface MeasuredSlope {
  readonly measurement: Measurement;
  readonly points: readonly Point[];
  readonly slope: Slope;
}

/** Measured slopes by name. */
export type MeasuredSlopes = ReadonlyMap<MeasuredLine, MeasuredSlope>;

/** Runs all measurements; calls `onLine` with each result. */
export async function measureAll(
  onLine: (measured: MeasuredSlope) => void,
): Promise<MeasuredSlopes> {
  const slopes = new Map<MeasuredLine, MeasuredSlope>();
  for (const measurement of ALL_MEASUREMENTS) {
    const points = await measurePoints(measurement);
    const measured = {measurement, points, slope: fitSlope(points)};
    slopes.set(measurement.name, measured);
    onLine(measured);
  }
  return slopes;
}
