import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {BodyBudget} from '../body-budget.js';

describe('BodyBudget', () => {
  const gaveUp: string[] = [];

  function open(budget: BodyBudget, name: string) {
    return budget.open(() => gaveUp.push(name));
  }

  it('gives up the oldest incomplete bodies for a newer one', () => {
    gaveUp.length = 0;
    const budget = new BodyBudget(100);
    for (const name of ['first', 'second', 'third'])
      assert.ok(open(budget, name).grow(30));
    assert.ok(open(budget, 'fourth').grow(60));
    assert.deepEqual(gaveUp, ['first', 'second']);
  });

  it('keeps complete bodies and refuses what does not fit beside them', () => {
    gaveUp.length = 0;
    const budget = new BodyBudget(100);
    const complete = open(budget, 'complete');
    assert.ok(complete.grow(60));
    complete.complete();
    const incomplete = open(budget, 'incomplete');
    assert.ok(incomplete.grow(40));
    assert.ok(!open(budget, 'newer').grow(50));
    assert.deepEqual(gaveUp, []);
    complete.release();
    assert.ok(open(budget, 'newest').grow(60));
  });

  it('counts a body that was given up or released once', () => {
    gaveUp.length = 0;
    const budget = new BodyBudget(100);
    const first = open(budget, 'first');
    assert.ok(first.grow(80));
    const second = open(budget, 'second');
    assert.ok(second.grow(100));
    first.release();
    first.complete();
    assert.ok(!second.grow(101));
    second.release();
    second.release();
    assert.ok(!open(budget, 'third').grow(101));
    assert.ok(open(budget, 'fourth').grow(100));
  });

  it('gives up nothing for a body that would not fit even then', () => {
    gaveUp.length = 0;
    const budget = new BodyBudget(100);
    assert.ok(open(budget, 'first').grow(50));
    assert.ok(!open(budget, 'second').grow(101));
    assert.deepEqual(gaveUp, []);
  });
});
