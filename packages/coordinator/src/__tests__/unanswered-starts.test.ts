import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {RunEnd} from '@gentiandoor/jobs';
import {WorkerFault} from '../stand-ins/index.js';
import {
  LASTING_JOB,
  TestDeployment,
  behaviour,
  job,
  step,
} from './deployment.js';

const WORKER = 'worker-0';
/** Time until the orders that were late have been carried out. */
const SETTLED_MILLISECONDS = 8_000;
const TIMEOUT = 3_000;
const SHORT_MILLISECONDS = 100;
/** Time until an order without a response was sent again and its run has ended. */
const ORDERED_AGAIN_MILLISECONDS = 1_800;

// Guards against a stop of a task that works, because the orders that started it got no response.
describe('a long-running task whose start orders get no response', () => {
  for (const reportsStart of [false, true]) {
    const worker = reportsStart
      ? 'a worker that reports its start'
      : 'a worker';

    it(`is not stopped once ${worker} has started it`, async () => {
      const deployment = new TestDeployment(1, reportsStart);
      const daemon = await deployment.startDaemon('one');
      daemon.workers.setFault(WORKER, WorkerFault.StartsLate);
      await deployment.startLongRunningJob(daemon);
      await deployment.run(SETTLED_MILLISECONDS);

      const runs = deployment
        .startedRuns()
        .filter(({task}) => task.startsWith(`${LASTING_JOB}.`));
      assert.equal(runs.length, 1);
      assert.equal(runs[0].endedAt, undefined);
      assert.equal(deployment.worker(WORKER)?.stopsAsked, 0);
    });
  }
});

// Guards against speculative tasks that wait until a late order can no longer be carried out.
describe('a speculative task whose start order gets no response', () => {
  it('is ordered again at once and is done once', async () => {
    const deployment = new TestDeployment(1, true);
    deployment.behaviours.set('a', behaviour({durationMilliseconds: 300}));
    const daemon = await deployment.startDaemon('one');
    daemon.workers.setFault(WORKER, WorkerFault.StartsLate);
    const steps = [step({speculative: true})];
    void daemon.jobIntake.submit(job('a', steps), TIMEOUT);
    await deployment.run(SHORT_MILLISECONDS);
    daemon.workers.setFault(WORKER, undefined);
    await deployment.run(ORDERED_AGAIN_MILLISECONDS);

    assert.deepEqual(endsOfJob(deployment), [RunEnd.Done]);
    await deployment.run(SETTLED_MILLISECONDS);
    assert.deepEqual(endsOfJob(deployment), [RunEnd.Done]);
  });

  // Its organisation would be over its limit with two runs.
  it('waits if it belongs to an organisation', async () => {
    const deployment = new TestDeployment(1, true);
    const daemon = await deployment.startDaemon('one');
    daemon.workers.setFault(WORKER, WorkerFault.StartsLate);
    const steps = [step({speculative: true})];
    const submission = {...job('a', steps), organisation: 'reviewers'};
    void daemon.jobIntake.submit(submission, TIMEOUT);
    await deployment.run(SHORT_MILLISECONDS);
    daemon.workers.setFault(WORKER, undefined);
    await deployment.run(ORDERED_AGAIN_MILLISECONDS);

    assert.deepEqual(endsOfJob(deployment), []);
  });

  it('runs elsewhere when a successor does not find it on its worker', async () => {
    const deployment = new TestDeployment(1, true);
    deployment.behaviours.set('a', behaviour({durationMilliseconds: 300}));
    const first = await deployment.startDaemon('one');
    first.workers.setFault(WORKER, WorkerFault.StartsLate);
    const steps = [step({speculative: true})];
    void first.jobIntake.submit(job('a', steps), TIMEOUT);
    await deployment.run(SHORT_MILLISECONDS);
    first.kill();
    await deployment.startDaemon('two');
    await deployment.run(ORDERED_AGAIN_MILLISECONDS);

    assert.ok(endsOfJob(deployment).includes(RunEnd.Done));
  });
});

function endsOfJob(deployment: TestDeployment): unknown[] {
  return deployment
    .startedRuns()
    .filter(({task}) => task.startsWith('a.'))
    .map(({end}) => end);
}
