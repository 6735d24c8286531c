import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {SeededRandom} from '@gentiandoor/kernel';
import {
  LeastCostSelector,
  RandomSelector,
  SampledSelector,
  type TargetCandidate,
} from '../target-selector.js';

const REQUEST = {idempotent: true};
const ROUNDS = 1000;

interface Shape {
  readonly cost: number;
  readonly hasFreeSlot?: boolean;
  readonly weight?: number;
}

function candidate(id: string, shape: Shape): TargetCandidate {
  return {
    id,
    canAccept: () => shape.hasFreeSlot ?? true,
    cost: () => shape.cost,
    weight: () => shape.weight ?? 1,
  };
}

function countSelections(
  targets: readonly TargetCandidate[],
): Map<string, number> {
  const selector = new SampledSelector(new SeededRandom(7));
  const selections = new Map<string, number>();
  for (let round = 0; round < ROUNDS; round++) {
    const id = selector.select(targets, REQUEST)?.id ?? 'none';
    selections.set(id, (selections.get(id) ?? 0) + 1);
  }
  return selections;
}

describe('SampledSelector', () => {
  describe('with no free slot on any target', () => {
    it('selects nothing', () => {
      const selections = countSelections([
        candidate('a', {cost: 1, hasFreeSlot: false}),
      ]);
      assert.equal(selections.get('none'), ROUNDS);
    });
  });

  describe('with one busy target of four', () => {
    it('sends the least to the busy one', () => {
      const targets = ['a', 'b', 'c', 'd'].map(id =>
        candidate(id, {cost: id === 'a' ? 7 : 1}),
      );
      const selections = countSelections(targets);
      const busy = selections.get('a') ?? 0;
      assert.ok(busy < ROUNDS / 20, `busy target got ${busy}`);
      assert.equal(selections.get('none'), undefined);
    });
  });

  describe('with a free slot on only one target', () => {
    it('finds it', () => {
      const targets = Array.from({length: 50}, (_, index) =>
        candidate(String(index), {cost: 1, hasFreeSlot: index === 31}),
      );
      assert.equal(countSelections(targets).get('31'), ROUNDS);
    });
  });

  describe('with a cold target that returned', () => {
    it('sends it roughly its weight, although it looks idle', () => {
      const targets = ['cold', 'b', 'c', 'd'].map(id =>
        candidate(id, id === 'cold' ? {cost: 0, weight: 0.1} : {cost: 1}),
      );
      const cold = countSelections(targets).get('cold') ?? 0;
      assert.ok(cold > 0 && cold < ROUNDS / 8, `cold target got ${cold}`);
    });
  });

  describe('with a target on which the request has already failed', () => {
    it('skips it', () => {
      const selector = new SampledSelector(new SeededRandom(1));
      const targets = [candidate('a', {cost: 0}), candidate('b', {cost: 9})];
      const request = {idempotent: true, tried: new Set(['a'])};
      assert.equal(selector.select(targets, request)?.id, 'b');
    });
  });
});

describe('the selectors that it is compared with', () => {
  it('RandomSelector selects any target with a free slot', () => {
    const selector = new RandomSelector(new SeededRandom(1));
    const targets = [
      candidate('a', {cost: 0, hasFreeSlot: false}),
      candidate('b', {cost: 9}),
    ];
    assert.equal(selector.select(targets, REQUEST)?.id, 'b');
  });

  it('LeastCostSelector always selects the cheapest', () => {
    const targets = [candidate('a', {cost: 2}), candidate('b', {cost: 1})];
    assert.equal(new LeastCostSelector().select(targets, REQUEST)?.id, 'b');
  });
});
