import type {Scenario} from '../scenario.js';
import {DECISION_SCENARIOS} from './decisions.js';

/** All scenarios; each area adds its own list. */
export const ALL_SCENARIOS: readonly Scenario[] = [...DECISION_SCENARIOS];
