import type {Scenario} from '../scenario.js';
import {ROLLING_DRAIN} from './request-path-drain.js';
import {OVERHEAD} from './request-path-overhead.js';
import {ROLLING_RESTART} from './request-path-restart.js';
import {SILENT_CONNECTIONS} from './request-path-silence.js';

/** Scenarios of the request path. */
export const REQUEST_PATH_SCENARIOS: readonly Scenario[] = [
  OVERHEAD,
  SILENT_CONNECTIONS,
  ROLLING_RESTART,
  ROLLING_DRAIN,
];
