import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {SeededRandom} from '@gentiandoor/kernel';
import {StragglerModel} from '../straggler-model.js';

const TASKS = 8;

/**
 * Trains a model with steps of eight tasks, each task taking between half and one and a
 * half times its step's own mean.
 */
function trainModel(steps: number): {model: StragglerModel; slowest: number} {
  const model = new StragglerModel();
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
    for (const time of times) model.observe(`step-${step}`, TASKS, time);
  }
  return {model, slowest};
}

describe('StragglerModel', () => {
  it('estimates how much longer the slowest task of a step takes, whatever the durations of the steps', () => {
    const {model, slowest} = trainModel(60);
    const factor = model.stragglerFactor(TASKS);
    assert.ok(Math.abs(factor - slowest) < 0.05, `${factor} ${slowest}`);
  });

  it('estimates a larger factor for a wider step and 1 for a single task', () => {
    const {model} = trainModel(60);
    assert.ok(model.stragglerFactor(24) > model.stragglerFactor(TASKS));
    assert.equal(model.stragglerFactor(1), 1);
  });

  it('estimates a factor of 1 before it has seen enough steps', () => {
    assert.equal(trainModel(3).model.stragglerFactor(TASKS), 1);
  });

  // A task that fails permanently leaves its step unfinished; thousands of such jobs
  // must not use up the memory.
  it('drops the oldest steps when too many never finish', () => {
    const model = new StragglerModel();
    for (let step = 0; step < 10_000; step++)
      model.observe(`step-${step}`, TASKS, 100);
    for (let task = 1; task < TASKS; task++)
      model.observe('step-0', TASKS, 100 * task);
    assert.equal(model.stragglerFactor(TASKS), 1);
  });
});
