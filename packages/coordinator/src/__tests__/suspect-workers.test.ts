import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {TestDeployment} from './deployment.js';
import {
  overlookedRounds,
  SHORT_TASKS,
  startedShortTasks,
  submitShortJobs,
} from './submitted-jobs.js';

// A suspect worker takes one task at a time; nothing looked again when the suspicion had ended.
describe('tasks that wait for suspect workers', () => {
  it('start once the suspicion ends', async () => {
    const deployment = new TestDeployment(1);
    const daemon = await deployment.startDaemon('one');
    await deployment.startLongRunningJob(daemon);
    const {coordinator} = daemon;
    coordinator?.reliability.markSuspect(
      'worker-0',
      deployment.clock.monotonicMilliseconds(),
    );
    await submitShortJobs(deployment, daemon);
    assert.equal(startedShortTasks(deployment), 0);
    await deployment.run(8_000);
    assert.equal(startedShortTasks(deployment), SHORT_TASKS);
    assert.equal(overlookedRounds(daemon), 0);
  });
});
