import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {JobState, RunEnd} from '@gentiandoor/jobs';
import {
  OTHER_QUEUE,
  OTHER_SERVICE,
  QUEUE,
  SERVICE,
  TestDeployment,
  behaviour,
  job,
} from './deployment.js';
import {submit} from './submitted-jobs.js';

const DROPPED = new Map([[OTHER_QUEUE, OTHER_SERVICE]]);
const NAMED = new Map([[QUEUE, SERVICE], ...DROPPED]);

// A task that failed while no configuration named its queue used up the only attempt that it was
// then given, of three.
describe('a job whose queue a configuration drops', () => {
  it('keeps the attempts that its queue had', async () => {
    const deployment = new TestDeployment(1);
    deployment.publishConfiguration(2, NAMED);
    const daemon = await deployment.startDaemon('one');
    deployment.behaviours.set(
      'fails-once',
      behaviour({durationMilliseconds: 1_000, end: RunEnd.Failed}),
    );
    await submit(deployment, daemon, job('fails-once'));
    await deployment.run(300);
    deployment.publishConfiguration(3, DROPPED);
    await deployment.run(1_000);
    deployment.behaviours.set('fails-once', behaviour());
    deployment.publishConfiguration(4, NAMED);
    await deployment.run(6_000);
    const answer = await deployment.answerOf(daemon, 'fails-once');
    assert.deepEqual(answer, {kind: 'state', state: JobState.Completed});
  });
});
