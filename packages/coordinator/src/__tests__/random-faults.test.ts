import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  playCrashingFaults,
  playLimitedFaults,
  playRandomFaults,
} from './random-faults.js';

const SEEDS = Number(process.env.GENTIANDOOR_FAULT_SEEDS ?? 12);
const FIRST_SEED = Number(process.env.GENTIANDOOR_FIRST_SEED ?? 1);
/** 77076: an end as failed is read 14 s late from a worker whose lease has lapsed meanwhile; it does not count.
 * 504: a job has failed on the two workers with room, the others are full of tasks that last. */
const KEPT_SEEDS = [77_076, 504];

// Daemons are killed and restarted, cut from the store or told nothing by it, workers are cut, crash,
// take orders late or lose answers, in any order and overlapping. Callers must see each job run once,
// never one that was refused, and all of them at their end when the faults are over.
describe('random faults', () => {
  const fresh = Array.from({length: SEEDS}, (_, index) => FIRST_SEED + index);
  for (const seed of new Set([...KEPT_SEEDS, ...fresh]))
    it(`break no promise under seed ${seed}`, async () => {
      const run = await playRandomFaults(seed);
      assert.deepEqual(run.broken, []);
      assert.ok(run.started > 0);
    });
});

// The same faults with many jobs of an organisation that may run a few tasks at a time. Its callers' jobs
// must all come to their end, and never may more of their tasks be alive than its limit allows: not beside late
// orders, silent workers or runs that an earlier coordinator ordered.
describe('random faults with a limit on an organisation', () => {
  const limits = [2, 3, 5];
  for (let index = 0; index < SEEDS; index++) {
    const seed = FIRST_SEED + index;
    const limit = limits[seed % limits.length];
    it(`break no promise under seed ${seed}, limit ${limit}`, async () => {
      const run = await playLimitedFaults(seed, limit);
      assert.deepEqual(run.broken, []);
      assert.ok(run.started > 0);
    });
  }
});

// Guards against a task that crashes its workers and is started without end, beside any other fault.
describe('random faults with tasks that crash their workers', () => {
  for (let index = 0; index < SEEDS; index++) {
    const seed = FIRST_SEED + index;
    it(`break no promise under seed ${seed}`, async () => {
      const run = await playCrashingFaults(seed);
      assert.deepEqual(run.broken, []);
      assert.ok(run.started > 0);
    });
  }
});
