import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {SeededRandom} from '@gentiandoor/kernel';
import {SiblingSpread} from '../sibling-spread.js';

const TASKS = 8;

/** Steps of eight tasks, each between half and one and a half times the step's own mean. */
function learned(steps: number): {spread: SiblingSpread; slowest: number} {
  const spread = new SiblingSpread();
  const random = new SeededRandom(5);
  let slowest = 0;
  for (let step = 0; step < steps; step++) {
    const mean = 200 + 1_000 * random.nextFraction();
    const times = Array.from(
      {length: TASKS},
      () => mean * (0.5 + random.nextFraction()),
    );
    const actualMean = times.reduce((sum, time) => sum + time, 0) / TASKS;
    slowest += Math.max(...times) / actualMean / steps;
    for (const time of times) spread.note(`step-${step}`, TASKS, time);
  }
  return {spread, slowest};
}

describe('SiblingSpread', () => {
  it('tells how much longer the slowest of a step takes, whatever the sizes of the steps', () => {
    const {spread, slowest} = learned(60);
    const told = spread.slowestFactor(TASKS);
    assert.ok(Math.abs(told - slowest) < 0.05, `${told} ${slowest}`);
  });

  it('expects more of a wider step and nothing of a single task', () => {
    const {spread} = learned(60);
    assert.ok(spread.slowestFactor(24) > spread.slowestFactor(TASKS));
    assert.equal(spread.slowestFactor(1), 1);
  });

  it('says nothing before it has seen some steps', () => {
    assert.equal(learned(3).spread.slowestFactor(TASKS), 1);
  });

  // A task that fails for good leaves its step open; thousands of such jobs must not fill the memory.
  it('forgets steps that never end', () => {
    const spread = new SiblingSpread();
    for (let step = 0; step < 10_000; step++)
      spread.note(`step-${step}`, TASKS, 100);
    for (let task = 1; task < TASKS; task++)
      spread.note('step-0', TASKS, 100 * task);
    assert.equal(spread.slowestFactor(TASKS), 1);
  });
});
