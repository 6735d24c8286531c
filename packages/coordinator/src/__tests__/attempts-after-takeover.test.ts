import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {RunEnd} from '@gentiandoor/jobs';
import {LogStream} from '../index.js';
import {StoreFault} from '../stand-ins/index.js';
import {TestDaemon, TestDeployment, behaviour, job} from './deployment.js';

const TIMEOUT = 3_000;
const FAILING = 'failing';
const RUN_MILLISECONDS = 1_000;
const MAXIMUM_ATTEMPTS = 3;

// The last failure is read before the configuration, so that no limit is known yet; the task was
// started once more than its queue allows.
describe('a task whose last attempt failed while there was no coordinator', () => {
  it('is not started again by a successor that reads the configuration later', async () => {
    const deployment = new TestDeployment(1);
    deployment.behaviours.set(
      FAILING,
      behaviour({durationMilliseconds: RUN_MILLISECONDS, end: RunEnd.Failed}),
    );
    const first = await deployment.startDaemon('one');
    void first.jobIntake.submit(job(FAILING), TIMEOUT);
    while (deployment.startedRuns().length < MAXIMUM_ATTEMPTS)
      await deployment.run(50);
    first.kill();
    const second = new TestDaemon(deployment, 'two');
    second.store.setFault(StoreFault.Refusing, LogStream.Operator);
    second.start();
    await deployment.run(2 * RUN_MILLISECONDS + 2_000);
    second.store.setFault(undefined);
    await deployment.run(10_000);

    assert.equal(deployment.startedRuns().length, MAXIMUM_ATTEMPTS);
    const answer = await deployment.answerOf(second, FAILING);
    assert.deepEqual(answer, {kind: 'state', state: 'failed'});
  });
});
