import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {SeededRandom} from '@gentiandoor/kernel';
import {
  LeastCostSelector,
  RandomSelector,
  SampledSelector,
  type TargetCandidate,
} from '../target-selector.js';

const ASK = {idempotent: true};
const ROUNDS = 1000;

interface Shape {
  readonly cost: number;
  readonly room?: boolean;
  readonly weight?: number;
}

function load(id: string, shape: Shape): TargetCandidate {
  return {
    id,
    canAccept: () => shape.room ?? true,
    cost: () => shape.cost,
    weight: () => shape.weight ?? 1,
  };
}

function counts(targets: readonly TargetCandidate[]): Map<string, number> {
  const choice = new SampledSelector(new SeededRandom(7));
  const found = new Map<string, number>();
  for (let round = 0; round < ROUNDS; round++) {
    const id = choice.select(targets, ASK)?.id ?? 'none';
    found.set(id, (found.get(id) ?? 0) + 1);
  }
  return found;
}

describe('SampledChoice', () => {
  describe('with no room anywhere', () => {
    it('chooses nothing', () => {
      const found = counts([load('a', {cost: 1, room: false})]);
      assert.equal(found.get('none'), ROUNDS);
    });
  });

  describe('with one busy target of four', () => {
    it('sends the busy one the least', () => {
      const targets = ['a', 'b', 'c', 'd'].map(id =>
        load(id, {cost: id === 'a' ? 7 : 1}),
      );
      const found = counts(targets);
      const busy = found.get('a') ?? 0;
      assert.ok(busy < ROUNDS / 20, `busy target got ${busy}`);
      assert.equal(found.get('none'), undefined);
    });
  });

  describe('with room on one target only', () => {
    it('finds it', () => {
      const targets = Array.from({length: 50}, (_, index) =>
        load(String(index), {cost: 1, room: index === 31}),
      );
      assert.equal(counts(targets).get('31'), ROUNDS);
    });
  });

  describe('with a target that came back cold', () => {
    it('sends it about its weight, though it looks idle', () => {
      const targets = ['cold', 'b', 'c', 'd'].map(id =>
        load(id, id === 'cold' ? {cost: 0, weight: 0.1} : {cost: 1}),
      );
      const cold = counts(targets).get('cold') ?? 0;
      assert.ok(cold > 0 && cold < ROUNDS / 8, `cold target got ${cold}`);
    });
  });

  describe('with a target that failed the request already', () => {
    it('passes it over', () => {
      const choice = new SampledSelector(new SeededRandom(1));
      const targets = [load('a', {cost: 0}), load('b', {cost: 9})];
      const ask = {idempotent: true, tried: new Set(['a'])};
      assert.equal(choice.select(targets, ask)?.id, 'b');
    });
  });
});

describe('the choices that it is weighed against', () => {
  it('RandomChoice takes whatever has room', () => {
    const choice = new RandomSelector(new SeededRandom(1));
    const targets = [load('a', {cost: 0, room: false}), load('b', {cost: 9})];
    assert.equal(choice.select(targets, ASK)?.id, 'b');
  });

  it('LeastCost always takes the cheapest', () => {
    const targets = [load('a', {cost: 2}), load('b', {cost: 1})];
    assert.equal(new LeastCostSelector().select(targets, ASK)?.id, 'b');
  });
});
