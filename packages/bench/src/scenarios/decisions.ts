import type {Scenario} from '../scenario.js';
import {routerCost} from './decisions-cost.js';
import {partition, spill} from './decisions-data-centres.js';
import {
  failEverything,
  flappingList,
  mixedSpeeds,
  rackLoss,
  sharedFault,
  slowTarget,
} from './decisions-faults.js';
import {oneSided, saturation, targetBacklog} from './decisions-saturation.js';
import {
  burst,
  heavyCallers,
  longAmongShort,
  quotas,
} from './decisions-sharing.js';

/** Scenarios of the decisions under load, simulated on a virtual clock. */
export const DECISION_SCENARIOS: readonly Scenario[] = [
  saturation,
  oneSided,
  targetBacklog,
  burst,
  heavyCallers,
  quotas,
  longAmongShort,
  slowTarget,
  failEverything,
  rackLoss,
  sharedFault,
  flappingList,
  mixedSpeeds,
  spill,
  partition,
  routerCost,
];
