import type {Scenario} from '../scenario.js';
import {FLEET_DAY} from './fleet-day.js';
import {FLEET_JOBS} from './fleet-jobs.js';
import {FLEET_LENDING} from './fleet-lending.js';
import {FLEET_SCALE} from './fleet-scale.js';
import {FLEET_WAVE} from './fleet-wave.js';

/** Scenarios of fleet planning. */
export const FLEET_SCENARIOS: readonly Scenario[] = [
  FLEET_DAY,
  FLEET_LENDING,
  FLEET_SCALE,
  FLEET_WAVE,
  FLEET_JOBS,
];
