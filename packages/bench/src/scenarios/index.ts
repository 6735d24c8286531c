import type {Scenario} from '../scenario.js';
import {FLEET_SCENARIOS} from './fleet.js';
import {DECISION_SCENARIOS} from './decisions.js';

/** All scenarios; each area adds its own list. */
export const ALL_SCENARIOS: readonly Scenario[] = [
  ...FLEET_SCENARIOS,
  ...DECISION_SCENARIOS,
];
