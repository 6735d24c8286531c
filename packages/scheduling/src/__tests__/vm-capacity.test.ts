import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {largestCapacity} from '../vm-capacity.js';

function capacity(processorMillicores: number) {
  return {processorMillicores, memoryMegabytes: 1_000};
}

describe('largestCapacity', () => {
  // Guards against sizing a pool by the one VM whose capacity has shrunk.
  it('returns the largest capacity, wherever a shrunken VM is listed', () => {
    const capacities = [capacity(500), capacity(8_000), capacity(7_900)];
    assert.deepEqual(largestCapacity(capacities), capacity(8_000));
    assert.deepEqual(largestCapacity(capacities.reverse()), capacity(8_000));
    assert.equal(largestCapacity([]), undefined);
  });
});
