import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {MODEL_CHECKS} from '../model-checks.js';

describe('the specification of the core protocol', () => {
  for (const subject of MODEL_CHECKS) {
    const result = subject.explore();

    describe(result.specification, () => {
      it(`holds every invariant in all ${result.states} states`, () => {
        assert.deepEqual(result.violations, []);
      });

      for (const mutation of subject.mutations) {
        it(`does not hold without ${mutation.removedSafeguard}`, () => {
          const broken = subject
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
