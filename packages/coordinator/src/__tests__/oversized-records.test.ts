import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {SubmitAnswer, submissionPartition} from '../index.js';
import {TestDeployment, job} from './deployment.js';
import {startedTasks} from './submitted-jobs.js';

const TIMEOUT = 3_000;
const MAXIMUM_VALUE_BYTES = 3_000;
const SMALL_JOBS = 6;

/** Returns ids of jobs whose submissions go to the same partition. */
function idsOfOnePartition(count: number): string[] {
  const ids: string[] = [];
  for (let index = 0; ids.length < count; index++)
    if (submissionPartition(`small-${index}`) === submissionPartition('large'))
      ids.push(`small-${index}`);
  return ids;
}

// It was sent again together with all others of its partition until their callers were refused, and
// the store counted as failing for the daemon.
describe('a submission that is too large to be stored', () => {
  it('is refused at once for good, and the others are accepted', async () => {
    const deployment = new TestDeployment(2);
    deployment.store.maximumValueBytes = MAXIMUM_VALUE_BYTES;
    const daemon = await deployment.startDaemon('one');
    const {jobIntake} = daemon;
    const first = jobIntake.submit(job('first'), TIMEOUT);
    const large = jobIntake.submit(
      {...job('large'), payload: 'x'.repeat(MAXIMUM_VALUE_BYTES)},
      TIMEOUT,
    );
    const small = idsOfOnePartition(SMALL_JOBS).map(id =>
      jobIntake.submit(job(id), TIMEOUT),
    );
    await deployment.run(200);
    assert.equal(jobIntake.failingMilliseconds, 0);
    await deployment.run(TIMEOUT);
    assert.equal(await large, SubmitAnswer.TooLarge);
    for (const answer of await Promise.all([first, ...small]))
      assert.equal(answer, SubmitAnswer.Accepted);
    assert.equal(startedTasks(deployment, 'small-'), SMALL_JOBS);
    assert.equal(startedTasks(deployment, 'large'), 0);
  });
});
