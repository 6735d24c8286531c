import type {Scenario} from '../scenario.js';
import {oneSided, saturation} from './decisions-saturation.js';

/** Measurements of the decisions under load, on a model with a virtual clock. */
export const DECISION_SCENARIOS: readonly Scenario[] = [saturation, oneSided];
