import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {TestDeployment} from './deployment.js';
import {
  overlookedRounds,
  SHORT_TASKS,
  startedShortTasks,
  submitShortJobs,
} from './submitted-jobs.js';

// A VM that was cordoned for another pool stayed cordoned once it was idle and its own pool needed it.
describe('a VM that is cordoned for another pool', () => {
  it('takes work of its own pool again if it is not moved', async () => {
    const deployment = new TestDeployment(2);
    const daemon = await deployment.startDaemon('one');
    for (const session of daemon.coordinator?.registry.all() ?? [])
      session.cordon('pool change');
    await submitShortJobs(deployment, daemon);
    await deployment.run(5_000);
    assert.equal(startedShortTasks(deployment), SHORT_TASKS);
    assert.equal(overlookedRounds(daemon), 0);
  });
});
