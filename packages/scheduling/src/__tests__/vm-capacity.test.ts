import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {largestCapacity} from '../vm-capacity.js';

function room(processorMillicores: number) {
  return {processorMillicores, memoryMegabytes: 1_000};
}

describe('room of a whole VM', () => {
  // Guards against a pool that is sized by the one VM whose room has shrunk.
  it('is that of the largest, wherever a shrunken one is listed', () => {
    const rooms = [room(500), room(8_000), room(7_900)];
    assert.deepEqual(largestCapacity(rooms), room(8_000));
    assert.deepEqual(largestCapacity(rooms.reverse()), room(8_000));
    assert.equal(largestCapacity([]), undefined);
  });
});
