import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {SUBJECTS} from '../subjects.js';

describe('the specification of the core protocol', () => {
  for (const subject of SUBJECTS) {
    const result = subject.check();

    describe(result.specification, () => {
      it(`holds every invariant in all ${result.states} states`, () => {
        assert.deepEqual(result.violations, []);
      });

      for (const mutation of subject.mutations) {
        it(`does not hold without ${mutation.without}`, () => {
          const broken = subject
            .mutate(mutation)
            .violations.map(({invariant}) => invariant);
          assert.ok(broken.includes(mutation.breaks), broken.join('; '));
        });
      }
    });
  }
});
