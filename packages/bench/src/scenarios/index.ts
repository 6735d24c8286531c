import type {Scenario} from '../scenario.js';

/** All scenarios; each area adds its own list. */
export const ALL_SCENARIOS: readonly Scenario[] = [];
