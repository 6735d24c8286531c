import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {PLAIN_STEP, type StepSpecification} from '@gentiandoor/jobs';
import {PlacementMisses} from '../index.js';

const MANY = 20;

function step(overrides: Partial<StepSpecification>): StepSpecification {
  return {...PLAIN_STEP, ...overrides};
}

function missed(
  count: number,
  overrides: Partial<StepSpecification>,
): PlacementMisses {
  const misses = new PlacementMisses();
  for (let index = 0; index < count; index++) misses.note(step(overrides));
  return misses;
}

// Without a limit each round of a full pool tries thousands of tasks on each worker.
describe('PlacementMisses', () => {
  const size = {processorMillicores: 2_000, memoryMegabytes: 1_000};

  it('rules nothing out after few misses', () => {
    assert.equal(missed(2, size).ruleOut(step(size)), false);
  });

  describe('after many misses', () => {
    const misses = missed(MANY, size);

    it('rules out a step that requests as much or more', () => {
      assert.ok(misses.ruleOut(step(size)));
      assert.ok(misses.ruleOut(step({...size, accelerators: 1})));
    });

    it('tries a step that requests less of anything', () => {
      for (const less of [{processorMillicores: 1}, {memoryMegabytes: 1}])
        assert.equal(misses.ruleOut(step({...size, ...less})), false);
    });

    it('tries a step that lasts', () => {
      assert.equal(misses.ruleOut(step({...size, longRunning: true})), false);
    });

    it('rules the smaller step out once that has missed as well', () => {
      const more = missed(MANY, size);
      more.note(step({...size, processorMillicores: 500}));
      assert.ok(more.ruleOut(step({...size, processorMillicores: 600})));
    });
  });

  it('concludes from a label nothing about steps without it', () => {
    const misses = missed(MANY, {...size, requiredLabel: 'rare'});
    assert.equal(misses.ruleOut(step(size)), false);
    assert.ok(misses.ruleOut(step({...size, requiredLabel: 'rare'})));
  });
});
