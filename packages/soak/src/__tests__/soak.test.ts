import assert from 'node:assert/strict';
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {describe, it} from 'node:test';
import {deploymentProfile} from '../soak-profile.js';
import {Soak} from '../soak.js';

/** A short run for each test run; longer ones are started by hand. */
const SEEDS = [1, 2];
const ROUNDS = 8;
const DEPLOYMENT_SEED = 11;
const DEPLOYMENT_ROUNDS = 12;
const DEPLOYMENT_WORKERS = 4;

// Kills, pauses, stops and partitions real daemons from the store while callers send requests.
// No job may run twice, be refused and still run, get lost, or be reported as completed when it
// is not.
describe('soak', () => {
  for (const seed of SEEDS)
    it(`violates no guarantee under seed ${seed}`, async () => {
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

  // Tasks ran on after the cancelling of their job was answered.
  it('violates no guarantee with callers that cancel at any moment', async () => {
    const folder = mkdtempSync(join(tmpdir(), 'soak-test-'));
    const result = await new Soak({
      seed: SEEDS[0],
      daemons: 3,
      rounds: ROUNDS,
      folder,
      hasCancelling: true,
    }).play();
    assert.deepEqual(result.violations, [], result.faults.join('\n'));
    assert.ok(result.runs > 0);
    rmSync(folder, {recursive: true});
  });

  // Accepted work stood beside free capacity after the last caller had left.
  it('leaves no work waiting in a deployment without callers', async () => {
    const folder = mkdtempSync(join(tmpdir(), 'soak-test-'));
    const result = await new Soak({
      seed: DEPLOYMENT_SEED,
      daemons: 3,
      rounds: DEPLOYMENT_ROUNDS,
      folder,
      profile: deploymentProfile(DEPLOYMENT_WORKERS),
    }).play();
    assert.deepEqual(result.violations, [], result.faults.join('\n'));
    assert.ok(result.runs > 0);
    rmSync(folder, {recursive: true});
  });
});
