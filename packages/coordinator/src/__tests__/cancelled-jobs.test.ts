import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {LogStream} from '../index.js';
import {StoreFault, WorkerFault} from '../stand-ins/index.js';
import {
  ANY_CALLER,
  LASTING_JOB,
  TestDaemon,
  TestDeployment,
  behaviour,
  job,
} from './deployment.js';

const TIMEOUT = 3_000;
const WORKER = 'worker-0';

describe('a cancelled job', () => {
  describe('while the worker of one of its runs has no entry', () => {
    // The worker is unreachable, its entry has expired and the coordinator has changed,
    // so the run is known but there is no session that could send orders. The
    // cancellation arrives; only then does the worker's entry return. The caller
    // sees the job as cancelled, but without a stop the task runs forever.
    it('has its run stopped once the worker is back', async () => {
      const deployment = new TestDeployment(1);
      const first = await deployment.startDaemon('one');
      await deployment.startLongRunningJob(first);
      deployment.store.write(LogStream.Workers, {
        key: 'worker-0',
        value: undefined,
      });
      first.kill();
      const second = await deployment.startDaemon('two');
      await deployment.run(2_000);
      const cancelled = second.jobIntake.cancel(
        LASTING_JOB,
        TIMEOUT,
        ANY_CALLER,
      );
      await deployment.run(500);
      await cancelled;

      const worker = deployment.worker('worker-0');
      assert.ok(worker);
      assert.equal(worker.startedRuns[0].endedAt, undefined);
      deployment.writeEntry(worker);
      await deployment.run(1_000);

      assert.notEqual(worker.startedRuns[0].endedAt, undefined);
    });
  });
});

const CANCELLED = 'cancelled';
const LATEST_STOP_MILLISECONDS = 4_000 + 900;

/** Submits a job whose start order the worker executes late, and cancels the job. */
async function cancelBeforeLateStart(
  deployment: TestDeployment,
  daemon: TestDaemon,
): Promise<void> {
  deployment.behaviours.set(
    CANCELLED,
    behaviour({durationMilliseconds: undefined}),
  );
  daemon.workers.setFault(WORKER, WorkerFault.StartsLate);
  void daemon.jobIntake.submit(job(CANCELLED), TIMEOUT);
  await deployment.run(100);
  daemon.workers.setFault(WORKER, undefined);
}

function assertStoppedInTime(deployment: TestDeployment): void {
  for (const {startedAt, endedAt = Infinity} of deployment.startedRuns())
    assert.ok(
      endedAt - startedAt <= LATEST_STOP_MILLISECONDS,
      `stopped after ${endedAt - startedAt} ms`,
    );
}

// The order was sent before the cancellation, and the worker executes it later. Without a
// stop the task of a job that its caller knows to be cancelled runs for as long as its
// lease, or for ever if that is renewed.
describe('a task that a worker starts after its job was cancelled', () => {
  it('is stopped by the same coordinator', async () => {
    const deployment = new TestDeployment(1);
    const daemon = await deployment.startDaemon('one');
    await cancelBeforeLateStart(deployment, daemon);
    void daemon.jobIntake.cancel(CANCELLED, TIMEOUT, ANY_CALLER);
    await deployment.run(15_000);
    assertStoppedInTime(deployment);
  });

  it('is stopped by a successor', async () => {
    const deployment = new TestDeployment(1);
    const first = await deployment.startDaemon('one');
    await cancelBeforeLateStart(deployment, first);
    first.kill();
    const second = await deployment.startDaemon('two');
    void second.jobIntake.cancel(CANCELLED, TIMEOUT, ANY_CALLER);
    await deployment.run(15_000);
    assertStoppedInTime(deployment);
  });

  for (const hasSuccessor of [false, true])
    it(`is stopped after a network partition, successor ${hasSuccessor}`, async () => {
      const deployment = new TestDeployment(1);
      const first = await deployment.startDaemon('one');
      await cancelBeforeLateStart(deployment, first);
      first.workers.setFault(WORKER, WorkerFault.Cut);
      let daemon = first;
      if (hasSuccessor) {
        first.kill();
        daemon = new TestDaemon(deployment, 'two');
        daemon.workers.setFault(WORKER, WorkerFault.Cut);
        daemon.start();
        await deployment.run(200);
      }
      void daemon.jobIntake.cancel(CANCELLED, TIMEOUT, ANY_CALLER);
      await deployment.run(5_000);
      daemon.workers.setFault(WORKER, undefined);
      await deployment.run(15_000);
      assert.equal(deployment.startedRuns().length, 1);
      assertStoppedInTime(deployment);
    });

  // The stop was answered and the session is closed; the next incarnation knows nothing of
  // the stop, and its session has no reason to poll it again.
  it('is stopped on a worker that restarted after it was told to stop', async () => {
    const deployment = new TestDeployment(1, true);
    const daemon = await deployment.startDaemon('one');
    await cancelBeforeLateStart(deployment, daemon);
    void daemon.jobIntake.cancel(CANCELLED, TIMEOUT, ANY_CALLER);
    await deployment.run(1_200);
    deployment.restartWorker(WORKER, 100, 3_000);
    await deployment.run(15_000);
    assert.equal(deployment.startedRuns().length, 1);
    assertStoppedInTime(deployment);
  });

  // The run is still waited for when the next incarnation registers, which is told to stop it.
  it('is not started by a worker that restarted and registered before the order arrived', async () => {
    const deployment = new TestDeployment(1, true);
    const daemon = await deployment.startDaemon('one');
    await cancelBeforeLateStart(deployment, daemon);
    void daemon.jobIntake.cancel(CANCELLED, TIMEOUT, ANY_CALLER);
    await deployment.run(1_200);
    deployment.restartWorker(WORKER, 100);
    await deployment.run(15_000);
    assert.equal(deployment.startedRuns().length, 0);
  });
});

/** Long enough for the term to expire, too short for the coordinator to end it. */
const LATE_RENEWAL_MILLISECONDS = 1_300;

// The order waits for the term to be renewed while the stop of its run is requested; sent all the
// same, it starts a task that nothing stops.
describe('a job that is cancelled while its start order waits for the term to be renewed', () => {
  for (const fault of [StoreFault.Refusing, StoreFault.DoneLate])
    for (const node of ['one', 'two'])
      it(`is not run on, store ${fault}, cancelled at daemon ${node}`, async () => {
        const deployment = new TestDeployment(1);
        const one = await deployment.startDaemon('one');
        const two = new TestDaemon(deployment, 'two');
        two.startIntakeOnly();
        await deployment.run(2_000);
        deployment.behaviours.set(
          CANCELLED,
          behaviour({durationMilliseconds: undefined}),
        );
        one.store.setFault(fault);
        await deployment.run(LATE_RENEWAL_MILLISECONDS);
        one.store.setFault(undefined);

        void two.jobIntake.submit(job(CANCELLED), TIMEOUT);
        await deployment.run(20);
        const daemon = node === 'one' ? one : two;
        const answer = daemon.jobIntake.cancel(CANCELLED, TIMEOUT, ANY_CALLER);
        await deployment.run(15_000);

        assert.deepEqual(await answer, {kind: 'state', state: 'cancelled'});
        assertStoppedInTime(deployment);
      });
});
