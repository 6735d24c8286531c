import type {Scenario} from '../scenario.js';
import {OVERHEAD} from './request-path-overhead.js';

/** Measured scenarios of the request path's edges. */
export const REQUEST_PATH_SCENARIOS: readonly Scenario[] = [OVERHEAD];
