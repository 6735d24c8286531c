import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  OTHER_QUEUE,
  OTHER_SERVICE,
  QUEUE,
  SERVICE,
  TestDeployment,
  behaviour,
  job,
  step,
} from './deployment.js';
import {overlookedRounds, startedTasks, submit} from './submitted-jobs.js';

// The end of a run scheduled a round for the service at the submission or of its worker, where the
// job no longer waited.
describe('a job whose queue is given to another service while it runs', () => {
  it('starts its second step there once the first is done', async () => {
    const deployment = new TestDeployment(2);
    deployment.publishConfiguration(
      2,
      new Map([
        [QUEUE, SERVICE],
        [OTHER_QUEUE, OTHER_SERVICE],
      ]),
    );
    deployment.addWorker('other-0', OTHER_SERVICE);
    deployment.addWorker('other-1', OTHER_SERVICE);
    deployment.behaviours.set(
      'moved',
      behaviour({durationMilliseconds: 2_000}),
    );
    const daemon = await deployment.startDaemon('one');
    await submit(
      deployment,
      daemon,
      job('moved', [step({taskCount: 3}), step({after: [0]})]),
    );
    await deployment.run(500);
    deployment.publishConfiguration(
      3,
      new Map([
        [QUEUE, OTHER_SERVICE],
        [OTHER_QUEUE, OTHER_SERVICE],
      ]),
    );
    await deployment.run(5_000);
    assert.equal(startedTasks(deployment, 'moved.0.1.'), 1);
    assert.equal(overlookedRounds(daemon), 0);
  });
});
