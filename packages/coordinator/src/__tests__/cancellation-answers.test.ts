import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {LogEvent, MetricName} from '@gentiandoor/kernel';
import {CancellationBasis, LogStream} from '../index.js';
import {StoreFault} from '../stand-ins/index.js';
import {
  ANY_CALLER,
  TestDeployment,
  behaviour,
  job,
  type TestDaemon,
} from './deployment.js';

const TIMEOUT = 3_000;
const JOB = 'some';

/** Cancels the job and returns the log line about the answer. */
async function cancel(
  deployment: TestDeployment,
  daemon: TestDaemon,
): Promise<Readonly<Record<string, unknown>>> {
  const cancelled = daemon.jobIntake.cancel(JOB, TIMEOUT, ANY_CALLER);
  await deployment.run(TIMEOUT);
  await cancelled;
  return daemon.events.lastFields.get(LogEvent.JobCancelAsked) ?? {};
}

async function startWithJob(
  durationMilliseconds: number,
): Promise<{deployment: TestDeployment; daemon: TestDaemon}> {
  const deployment = new TestDeployment(1);
  const daemon = await deployment.startDaemon('one');
  deployment.behaviours.set(JOB, behaviour({durationMilliseconds}));
  void daemon.jobIntake.submit(job(JOB), TIMEOUT);
  await deployment.run(1_000);
  return {deployment, daemon};
}

describe('the log line about a cancellation', () => {
  it('says that the cancellation was stored, then that it was stored before', async () => {
    const {deployment, daemon} = await startWithJob(60_000);
    const first = await cancel(deployment, daemon);
    assert.equal(first.answer, 'cancelled');
    assert.equal(first.basis, CancellationBasis.Stored);
    const second = await cancel(deployment, daemon);
    assert.equal(second.answer, 'cancelled');
    assert.equal(second.basis, CancellationBasis.StoredBefore);
    assert.equal(
      daemon.metrics.value(MetricName.JobCancellations, {
        answer: 'cancelled',
        basis: CancellationBasis.StoredBefore,
      }),
      1,
    );
  });

  it('says that the job had ended', async () => {
    const {deployment, daemon} = await startWithJob(10);
    const line = await cancel(deployment, daemon);
    assert.equal(line.answer, 'absent');
    assert.equal(line.basis, CancellationBasis.Ended);
  });

  it('says that the cancellation could not be stored', async () => {
    const {deployment, daemon} = await startWithJob(60_000);
    daemon.store.setFault(StoreFault.Refusing, LogStream.Submissions);
    const line = await cancel(deployment, daemon);
    assert.equal(line.answer, 'unavailable');
    assert.equal(line.basis, CancellationBasis.NotStored);
  });

  it('says that a job without a submission is cancelled early, and how old the data was', async () => {
    const deployment = new TestDeployment(1);
    const daemon = await deployment.startDaemon('one');
    const line = await cancel(deployment, daemon);
    assert.equal(line.answer, 'absent');
    assert.equal(line.basis, CancellationBasis.StoredEarly);
    assert.equal(typeof line.ageMilliseconds, 'number');
  });
});
