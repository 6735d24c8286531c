import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {TestDeployment} from './deployment.js';
import {
  overlookedRounds,
  SHORT_TASKS,
  startedShortTasks,
  submitShortJobs,
} from './submitted-jobs.js';

// A coordinator that was fenced gave no orders any more, and its daemon went on renewing the term.
describe('a coordinator that sees a higher fencing token', () => {
  it('is followed by another one', async () => {
    const deployment = new TestDeployment(2);
    const daemon = await deployment.startDaemon('one');
    daemon.coordinator?.onFenced();
    await deployment.run(3_000);
    await submitShortJobs(deployment, daemon);
    await deployment.run(5_000);
    assert.equal(startedShortTasks(deployment), SHORT_TASKS);
    assert.equal(overlookedRounds(daemon), 0);
  });
});
