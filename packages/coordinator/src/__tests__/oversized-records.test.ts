import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {JobState} from '@gentiandoor/jobs';
import {LogEvent} from '@gentiandoor/kernel';
import {SubmitAnswer, submissionPartition} from '../index.js';
import {TestDeployment, behaviour, job, step} from './deployment.js';
import {startedTasks, submit} from './submitted-jobs.js';

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

// Its record was sent again without end, and no start and no end of any job was stored any more.
describe('the progress of a job that the store does not take', () => {
  const TASKS = 60;
  const wideJob = job('wide', [step({taskCount: TASKS})]);

  it('ends that job, and the others go on', async () => {
    const deployment = new TestDeployment(4);
    deployment.store.maximumValueBytes = 1_000;
    const daemon = await deployment.startDaemon('one');
    deployment.behaviours.set('wide', behaviour({durationMilliseconds: 4_000}));
    await submit(deployment, daemon, wideJob);
    await submit(deployment, daemon, job('other', [step({taskCount: 2})]));
    await deployment.run(6_000);
    assert.equal(startedTasks(deployment, 'other'), 2);
    assert.deepEqual(await deployment.answerOf(daemon, 'wide'), {
      kind: 'state',
      state: JobState.Failed,
    });
    assert.equal(daemon.events.of(LogEvent.JobNotStorable), 1);
    const [alive] = deployment
      .startedRuns()
      .filter(({endedAt}) => endedAt === undefined);
    assert.equal(alive, undefined);
  });

  it('because of its checkpoints is stored without them', async () => {
    const deployment = new TestDeployment(4);
    const daemon = await deployment.startDaemon('one');
    const checkpointing = behaviour({
      durationMilliseconds: 4_000,
      checkpointMilliseconds: 100,
      checkpointBytes: 500,
    });
    deployment.behaviours.set('wide', checkpointing);
    deployment.store.maximumValueBytes = 6_000;
    await submit(deployment, daemon, wideJob);
    await deployment.run(2_000);
    await submit(deployment, daemon, job('other', [step({taskCount: 2})]));
    await deployment.run(20_000);
    assert.equal(startedTasks(deployment, 'other'), 2);
    assert.equal(startedTasks(deployment, 'wide'), TASKS);
    assert.deepEqual(await deployment.answerOf(daemon, 'wide'), {
      kind: 'state',
      state: JobState.Completed,
    });
  });
});
