import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {JobState} from '@gentiandoor/jobs';
import {LogStream} from '../index.js';
import {WorkerFault} from '../stand-ins/index.js';
import {
  QUEUE,
  TestDeployment,
  behaviour,
  job,
  type TestDaemon,
} from './deployment.js';

const TIMEOUT = 3_000;
const WORKER = 'worker-0';
const JOB_MILLISECONDS = 8_000;
/** Time until an order without a response is known to have none. */
const UNANSWERED_MILLISECONDS = 1_500;
/** Time until a late order has been carried out and a poll has listed its run. */
const STARTED_LATE_MILLISECONDS = 3_000;
const RECOVERED_MILLISECONDS = 1_000;

async function submit(
  deployment: TestDeployment,
  fault: WorkerFault,
): Promise<TestDaemon> {
  deployment.behaviours.set(
    'a',
    behaviour({durationMilliseconds: JOB_MILLISECONDS}),
  );
  const daemon = await deployment.startDaemon('one');
  daemon.workers.setFault(WORKER, fault);
  void daemon.jobIntake.submit(job('a'), TIMEOUT);
  await deployment.run(100);
  return daemon;
}

async function assertShown(
  deployment: TestDeployment,
  daemon: TestDaemon,
  state: JobState,
  pending: number,
): Promise<void> {
  assert.deepEqual(await deployment.answerOf(daemon, 'a'), {
    kind: 'state',
    state,
  });
  assert.equal(await daemon.jobIntake.pending(QUEUE), pending);
}

// Guards against jobs that are shown as running and left out of the pending ones, although none of
// their tasks has started.
describe('a job whose start order is not known to have been carried out', () => {
  for (const reportsStart of [false, true]) {
    const workers = reportsStart
      ? 'a worker that reports its start'
      : 'a worker';

    it(`is pending while ${workers} does not respond`, async () => {
      const deployment = new TestDeployment(1, reportsStart);
      const daemon = await submit(deployment, WorkerFault.StartsLate);
      await deployment.run(UNANSWERED_MILLISECONDS);
      await assertShown(deployment, daemon, JobState.Queued, 1);
    });

    it(`is running once ${workers} lists its run`, async () => {
      const deployment = new TestDeployment(1, reportsStart);
      const daemon = await submit(deployment, WorkerFault.AnswersLost);
      await deployment.run(STARTED_LATE_MILLISECONDS);
      await assertShown(deployment, daemon, JobState.Running, 0);
    });
  }

  it('is pending for a successor whose first poll does not list its run', async () => {
    const deployment = new TestDeployment(1, true);
    const first = await submit(deployment, WorkerFault.StartsLate);
    first.kill();
    const second = await deployment.startDaemon('two');
    await deployment.run(RECOVERED_MILLISECONDS);
    await assertShown(deployment, second, JobState.Queued, 1);
  });

  it('is pending for a successor that finds no entry of its worker', async () => {
    const deployment = new TestDeployment(1, true);
    const first = await submit(deployment, WorkerFault.StartsLate);
    deployment.worker(WORKER)?.crash();
    deployment.store.write(LogStream.Workers, {
      key: WORKER,
      value: undefined,
    });
    first.kill();
    const second = await deployment.startDaemon('two');
    await deployment.run(RECOVERED_MILLISECONDS);
    await assertShown(deployment, second, JobState.Queued, 1);
  });

  it('is pending while its worker refuses the order', async () => {
    const deployment = new TestDeployment(1);
    const daemon = await submit(deployment, WorkerFault.Unhealthy);
    await deployment.run(UNANSWERED_MILLISECONDS);
    await assertShown(deployment, daemon, JobState.Queued, 1);
  });

  it('stays running when the next run of a task that has started gets no response', async () => {
    const deployment = new TestDeployment(1, true);
    const daemon = await submit(deployment, WorkerFault.AnswersLost);
    await deployment.run(STARTED_LATE_MILLISECONDS);
    daemon.workers.setFault(WORKER, WorkerFault.StartsLate);
    deployment.restartWorker(WORKER, 100);
    await deployment.run(UNANSWERED_MILLISECONDS);
    await assertShown(deployment, daemon, JobState.Running, 0);
  });
});
