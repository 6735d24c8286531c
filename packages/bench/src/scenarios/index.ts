import type {Scenario} from '../scenario.js';
import {FLEET_SCENARIOS} from './fleet.js';
import {DECISION_SCENARIOS} from './decisions.js';
import {ONCE_ONLY_SCENARIOS} from './once-only.js';
import {REQUEST_PATH_SCENARIOS} from './request-path.js';
import {SHARED_STATE_SCENARIOS} from './shared-state.js';

/** All scenarios, combined from the lists of each area. */
export const ALL_SCENARIOS: readonly Scenario[] = [
  ...DECISION_SCENARIOS,
  ...REQUEST_PATH_SCENARIOS,
  ...SHARED_STATE_SCENARIOS,
  ...FLEET_SCENARIOS,
  ...ONCE_ONLY_SCENARIOS,
];
