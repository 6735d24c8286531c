import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {SeededRandom} from '@gentiandoor/kernel';
import {TwoRandomChoices} from '../target-choice.js';

describe('TwoRandomChoices', () => {
  describe('with no room anywhere', () => {
    it('chooses nothing', () => {
      const choice = new TwoRandomChoices(new SeededRandom(1));
      assert.equal(
        choice.choose([{id: 'a', inFlight: 8, slots: 8}]),
        undefined,
      );
    });
  });

  describe('with one busy target of four', () => {
    it('sends the busy one the least', () => {
      const choice = new TwoRandomChoices(new SeededRandom(7));
      const targets = ['a', 'b', 'c', 'd'].map(id => ({
        id,
        inFlight: id === 'a' ? 7 : 1,
        slots: 8,
      }));
      const counts = new Map<string, number>();
      for (let round = 0; round < 1000; round++) {
        const id = choice.choose(targets)?.id ?? 'none';
        counts.set(id, (counts.get(id) ?? 0) + 1);
      }
      assert.equal(counts.get('a'), undefined);
      assert.equal(counts.get('none'), undefined);
    });
  });
});
