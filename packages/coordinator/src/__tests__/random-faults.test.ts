import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  playCancellingFaults,
  playCrashingFaults,
  playLimitedFaults,
  playPreemptedFaults,
  playRandomFaults,
  playRestartingFaults,
} from './random-faults.js';

const SEEDS = Number(process.env.GENTIANDOOR_FAULT_SEEDS ?? 12);
const FIRST_SEED = Number(process.env.GENTIANDOOR_FIRST_SEED ?? 1);
/**
 * 77076: a failed end is read 14 s late from a worker whose lease has expired meanwhile;
 * it does not count.
 * 504: a job has failed on the two workers with capacity, the others are full of
 * long-running tasks.
 */
const KEPT_SEEDS = [77_076, 504];

// Daemons are killed and restarted, partitioned from the store or get no response from
// it; workers are unreachable, crash, carry out orders late or lose responses, in any
// order and overlapping. Each job must run once, refused jobs must never run, and all
// accepted jobs must have ended once the faults are over.
describe('random faults', () => {
  const fresh = Array.from({length: SEEDS}, (_, index) => FIRST_SEED + index);
  for (const seed of new Set([...KEPT_SEEDS, ...fresh]))
    it(`violate no guarantee with seed ${seed}`, async () => {
      const run = await playRandomFaults(seed);
      assert.deepEqual(run.violations, []);
      assert.ok(run.started > 0);
    });
});

// The same faults with many jobs of an organisation that may run a few tasks at a time.
// All its jobs must come to their end, and never may more of its tasks be alive than its
// limit allows: not beside late orders, silent workers or runs that an earlier
// coordinator ordered.
describe('random faults with a limit on an organisation', () => {
  const limits = [2, 3, 5];
  for (let index = 0; index < SEEDS; index++) {
    const seed = FIRST_SEED + index;
    const limit = limits[seed % limits.length];
    it(`violate no guarantee with seed ${seed}, limit ${limit}`, async () => {
      const run = await playLimitedFaults(seed, limit);
      assert.deepEqual(run.violations, []);
      assert.ok(run.started > 0);
    });
  }
});

// Guards against a task that crashes its workers and is started without end, in
// combination with any other fault.
describe('random faults with tasks that crash their workers', () => {
  for (let index = 0; index < SEEDS; index++) {
    const seed = FIRST_SEED + index;
    it(`violate no guarantee with seed ${seed}`, async () => {
      const run = await playCrashingFaults(seed);
      assert.deepEqual(run.violations, []);
      assert.ok(run.started > 0);
    });
  }
});

// Guards against stops for other work that, in combination with any other fault, run a task
// twice at once, lose it, use up its attempts, or are repeated without end because a
// successor does not know them.
describe('random faults in pools full of work that may be stopped', () => {
  for (let index = 0; index < SEEDS; index++) {
    const seed = FIRST_SEED + index;
    it(`violate no guarantee with seed ${seed}`, async () => {
      const run = await playPreemptedFaults(seed);
      assert.deepEqual(run.violations, []);
      assert.ok(run.preempted > 0);
    });
  }
});

// Guards against state of an old incarnation that is taken for state of the new one, in
// combination with any other fault: late orders, lost answers, changes of the coordinator.
describe('random faults with workers that restart under their id', () => {
  for (let index = 0; index < SEEDS; index++) {
    const seed = FIRST_SEED + index;
    it(`violate no guarantee with seed ${seed}`, async () => {
      const run = await playRestartingFaults(seed);
      assert.deepEqual(run.violations, []);
      assert.ok(run.started > 0);
    });
  }
});

/**
 * 185, 289, 292: an order waits for the term to be renewed while its job is cancelled.
 * 388: a coordinator that does not know the configuration yet reads the last failure of a task.
 */
const KEPT_CANCELLING_SEEDS = [185, 289, 292, 388];

// Guards against a cancellation that is answered while tasks of its job start or run on: it
// overtook the submission or a copy of it, or a start order that was held up.
describe('random faults with callers that cancel', () => {
  const fresh = Array.from({length: SEEDS}, (_, index) => FIRST_SEED + index);
  for (const seed of new Set([...KEPT_CANCELLING_SEEDS, ...fresh]))
    it(`violate no guarantee with seed ${seed}`, async () => {
      const run = await playCancellingFaults(seed);
      assert.deepEqual(run.violations, []);
      assert.ok(run.cancelled > 0);
    });
});

// Guards against the same where a late order reaches the next incarnation of a worker.
describe('random faults with callers that cancel on workers that restart under their id', () => {
  for (let index = 0; index < SEEDS; index++) {
    const seed = FIRST_SEED + index;
    it(`violate no guarantee with seed ${seed}`, async () => {
      const run = await playCancellingFaults(seed, true);
      assert.deepEqual(run.violations, []);
      assert.ok(run.cancelled > 0);
    });
  }
});

/** Seeds with which these faults violated a guarantee. */
const RESTART_REGRESSION_SEEDS = [64, 521, 662, 5030, 30_141, 1_200_256];

// Guards against the violations that were found with these seeds: a late order that the next
// incarnation of a worker carries out, and a job that is given up under restarts.
describe('random faults that were found with restarts under one id', () => {
  for (const seed of RESTART_REGRESSION_SEEDS)
    it(`violate no guarantee with seed ${seed}`, async () => {
      const run = await playRestartingFaults(seed);
      assert.deepEqual(run.violations, []);
    });
});
