import assert from 'node:assert/strict';
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {describe, it} from 'node:test';
import {Soak} from '../soak.js';

/** A short run for every check; longer ones are played by hand. */
const SEEDS = [1, 2];
const ROUNDS = 8;

// Real daemons are killed, paused, stopped and cut from the store while callers go on asking; no job
// may run twice, be refused and run, be lost, or be shown as completed when it is not.
describe('soak', () => {
  for (const seed of SEEDS)
    it(`breaks no promise under seed ${seed}`, async () => {
      const folder = mkdtempSync(join(tmpdir(), 'soak-test-'));
      const result = await new Soak({
        seed,
        daemons: 2,
        rounds: ROUNDS,
        folder,
      }).play();
      assert.deepEqual(result.violations, [], result.faults.join('\n'));
      assert.ok(result.runs > 0);
      rmSync(folder, {recursive: true});
    });
});
