import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {MODEL_CHECKS} from '../model-checks.js';

describe('specifications of the core protocols', () => {
  for (const modelCheck of MODEL_CHECKS) {
    const result = modelCheck.explore();

    describe(result.specification, () => {
      it(`holds every invariant in all ${result.states} states`, () => {
        assert.deepEqual(result.violations, []);
      });

      for (const mutation of modelCheck.mutations) {
        it(`does not hold without ${mutation.removedSafeguard}`, () => {
          const broken = modelCheck
            .exploreMutation(mutation)
            .violations.map(({invariant}) => invariant);
          assert.ok(
            broken.includes(mutation.brokenInvariant),
            broken.join('; '),
          );
        });
      }
    });
  }
});
