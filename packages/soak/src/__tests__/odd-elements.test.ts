import assert from 'node:assert/strict';
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {describe, it} from 'node:test';
import {deploymentProfile} from '../soak-profile.js';
import {Soak} from '../soak.js';

const SEED = 21;
const ROUNDS = 10;
const WORKERS = 4;

// One entry, answer or job that could not be read or served ended each coordinator, or stopped all
// other jobs of its service.
describe('soak with elements that can not be read or served', () => {
  it(`violates no guarantee under seed ${SEED}`, async () => {
    const folder = mkdtempSync(join(tmpdir(), 'soak-test-'));
    const result = await new Soak({
      seed: SEED,
      daemons: 3,
      rounds: ROUNDS,
      folder,
      profile: deploymentProfile(WORKERS, {hasOddElements: true}),
    }).play();
    assert.deepEqual(result.violations, [], result.faults.join('\n'));
    assert.ok(result.runs > 0);
    rmSync(folder, {recursive: true});
  });
});
