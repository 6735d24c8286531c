import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {TestDeployment, job, step} from './deployment.js';
import {overlookedRounds, startedTasks, submit} from './submitted-jobs.js';

// A task of one occurrence that could not be placed hid when the next occurrence is due.
describe('a scheduled job with an occurrence that can not be placed', () => {
  it('starts the tasks of the next occurrence when they are due', async () => {
    const deployment = new TestDeployment(1);
    const daemon = await deployment.startDaemon('one');
    await submit(deployment, daemon, {
      ...job('timed', [
        step({requiredLabel: 'missing'}),
        step({processorMillicores: 100}),
      ]),
      repeat: {
        count: 2,
        startAtMilliseconds: deployment.clock.wallMilliseconds() + 1_000,
        intervalMilliseconds: 5_000,
      },
    });
    await deployment.run(10_000);
    assert.equal(startedTasks(deployment, 'timed.1.1.'), 1);
    assert.equal(overlookedRounds(daemon), 0);
  });
});
