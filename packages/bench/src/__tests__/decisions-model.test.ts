import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {Scenario} from '../scenario.js';
import {failEverything, slowTarget} from '../scenarios/decisions-faults.js';
import {oneSided} from '../scenarios/decisions-saturation.js';
import {
  burst,
  heavyCallers,
  longAmongShort,
  quotas,
} from '../scenarios/decisions-sharing.js';

const CONTEXT = {seed: 1, scale: 0.3};

// Each scenario simulates a load pattern with the daemon's decisions and the naive baseline, on a
// virtual clock with a fixed seed, and checks the responses that callers get.
describe('decisions in the deployment model', () => {
  const scenarios: readonly Scenario[] = [
    burst,
    heavyCallers,
    quotas,
    longAmongShort,
    slowTarget,
    failEverything,
    oneSided,
  ];
  for (const scenario of scenarios) {
    it(`${scenario.name} passes its checks`, async () => {
      const {checks} = await scenario.run(CONTEXT);
      const broken = checks.filter(({passed}) => !passed);
      assert.deepEqual(broken, []);
    });
  }
});
