import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {SeededRandom} from '@gentiandoor/kernel';
import {StragglerModel} from '../straggler-model.js';

const TASKS = 8;

/** Steps of eight tasks, each between half and one and a half times the step's own mean. */
function learned(steps: number): {spread: StragglerModel; slowest: number} {
  const spread = new StragglerModel();
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
    for (const time of times) spread.observe(`step-${step}`, TASKS, time);
  }
  return {spread, slowest};
}

describe('SiblingSpread', () => {
  it('tells how much longer the slowest of a step takes, whatever the sizes of the steps', () => {
    const {spread, slowest} = learned(60);
    const told = spread.stragglerFactor(TASKS);
    assert.ok(Math.abs(told - slowest) < 0.05, `${told} ${slowest}`);
  });

  it('expects more of a wider step and nothing of a single task', () => {
    const {spread} = learned(60);
    assert.ok(spread.stragglerFactor(24) > spread.stragglerFactor(TASKS));
    assert.equal(spread.stragglerFactor(1), 1);
  });

  it('says nothing before it has seen some steps', () => {
    assert.equal(learned(3).spread.stragglerFactor(TASKS), 1);
  });

  // A task that fails for good leaves its step open; thousands of such jobs must not fill the memory.
  it('forgets steps that never end', () => {
    const spread = new StragglerModel();
    for (let step = 0; step < 10_000; step++)
      spread.observe(`step-${step}`, TASKS, 100);
    for (let task = 1; task < TASKS; task++)
      spread.observe('step-0', TASKS, 100 * task);
    assert.equal(spread.stragglerFactor(TASKS), 1);
  });
});
