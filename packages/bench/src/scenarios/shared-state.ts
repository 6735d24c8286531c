import type {Scenario} from '../scenario.js';
import {controlCost} from './shared-state-control-cost.js';
import {fold} from './shared-state-fold.js';
import {rollOutLarge} from './shared-state-roll-out-large.js';
import {rollOut} from './shared-state-roll-out.js';
import {snapshot} from './shared-state-snapshot.js';

/** Scenarios of the shared state over the log. */
export const SHARED_STATE_SCENARIOS: readonly Scenario[] = [
  rollOut,
  rollOutLarge,
  controlCost,
  fold,
  snapshot,
];
