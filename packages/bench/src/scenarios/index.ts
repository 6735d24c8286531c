import type {Scenario} from '../scenario.js';
import {DECISION_SCENARIOS} from './decisions.js';
import {REQUEST_PATH_SCENARIOS} from './request-path.js';

/** All scenarios; each area adds its own list. */
export const ALL_SCENARIOS: readonly Scenario[] = [
  ...DECISION_SCENARIOS,
  ...REQUEST_PATH_SCENARIOS,
];
