import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {playRandomFaults} from './random-faults.js';

const SEEDS = Number(process.env.GENTIANDOOR_FAULT_SEEDS ?? 12);
const FIRST_SEED = Number(process.env.GENTIANDOOR_FIRST_SEED ?? 1);

// Daemons are killed and restarted, cut from the store or told nothing by it, workers are cut, crash,
// take orders late or lose answers, in any order and overlapping. Callers must see each job run once,
// never one that was refused, and all of them at their end when the faults are over.
describe('random faults', () => {
  for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++)
    it(`break no promise under seed ${seed}`, async () => {
      const run = await playRandomFaults(seed);
      assert.deepEqual(run.broken, []);
      assert.ok(run.started > 0);
    });
});
