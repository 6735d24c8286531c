import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {fairShare} from '../fair-share.js';

const SLOTS = 8;
const SEED = 4;

function shares(key: string, names: readonly string[]): number[] {
  return names.map(self => {
    const others = names
      .filter(name => name !== self)
      .map(name => ({name, demand: Infinity}));
    return fairShare(key, SLOTS, self, others);
  });
}

describe('fairShare', () => {
  describe('with no other participant', () => {
    it('assigns everything', () => {
      assert.equal(fairShare('vm', SLOTS, 'a', []), SLOTS);
    });
  });

  describe('with a peer of small demand', () => {
    it('assigns what the peer leaves', () => {
      const others = [{name: 'b', demand: 2}];
      assert.equal(fairShare('vm', SLOTS, 'a', others), SLOTS - 2);
    });
  });

  describe('with peers of unbounded demand', () => {
    it('assigns each slot once, whatever the number of daemons', () => {
      fc.assert(
        fc.property(
          fc.uniqueArray(fc.string({minLength: 1}), {
            minLength: 1,
            maxLength: 12,
          }),
          fc.string(),
          (names, key) => {
            const sum = shares(key, names).reduce((a, b) => a + b, 0);
            assert.equal(sum, SLOTS);
          },
        ),
        {seed: SEED},
      );
    });

    it('does not assign the leftover slot to the same daemon for all targets', () => {
      const names = ['a', 'b', 'c', 'd', 'e', 'f', 'g'];
      const winners = new Set<number>();
      for (let target = 0; target < 40; target++) {
        winners.add(shares(`vm-${target}`, names).indexOf(2));
      }
      assert.ok(winners.size >= 5, `only ${winners.size} daemons won`);
    });
  });
});
