import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {JobState} from '@gentiandoor/jobs';
import {LogStream, type StartRequest} from '../index.js';
import {StoreFault} from '../stand-ins/index.js';
import {
  SERVICE,
  TestDaemon,
  TestDeployment,
  behaviour,
  job,
  step,
} from './deployment.js';

const TIMEOUT = 3_000;
const WORKERS = ['worker-0', 'worker-1'];
const SHRUNK_MILLICORES = 2_000;
const FULL_MILLICORES = 8_000;
/**
 * Time after which a reduced capacity must be respected: the delay of the entry that
 * states it, and the time to react.
 */
const REACTION_MILLISECONDS = 4_500;

/** A run that an earlier coordinator ordered and whose job is over. */
const FORGOTTEN_RUN: StartRequest = {
  task: 'forgotten.0.0.0',
  run: 1,
  payload: '',
  leaseEndMilliseconds: Number.MAX_SAFE_INTEGER,
  fencingToken: 0,
  checkpoint: '',
  ticket: '',
};

/** Creates two workers that start whatever they are ordered to start. */
async function createDeployment(
  prepare: (deployment: TestDeployment) => void = () => undefined,
): Promise<{
  deployment: TestDeployment;
  daemon: TestDaemon;
}> {
  const deployment = new TestDeployment(0);
  deployment.workersEnforceCapacity = false;
  deployment.publishConfiguration(2);
  for (const id of WORKERS) deployment.addWorker(id, SERVICE);
  prepare(deployment);
  const daemon = await deployment.startDaemon('one');
  return {deployment, daemon};
}

function startsOverCapacity(
  deployment: TestDeployment,
  since: number,
): number[] {
  return WORKERS.flatMap(
    id => deployment.worker(id)?.startsOverCapacity ?? [],
  ).filter(at => at >= since);
}

/** Submits a job that fills a worker. */
function submitFull(daemon: TestDaemon, id: string): void {
  void daemon.jobIntake.submit(job(id, [step({taskCount: 8})]), TIMEOUT);
}

/** Keeps both workers full of short tasks. */
async function submitLoad(
  deployment: TestDeployment,
  daemon: TestDaemon,
  milliseconds: number,
): Promise<void> {
  const gap = 250;
  for (let spent = 0; spent < milliseconds; spent += gap) {
    const id = `load-${deployment.clock.monotonicMilliseconds()}`;
    deployment.behaviours.set(id, behaviour({durationMilliseconds: 600}));
    void daemon.jobIntake.submit(job(id, [step({taskCount: 6})]), TIMEOUT);
    await deployment.run(gap);
  }
}

describe('the capacity of workers that do not enforce it', () => {
  // Guards against starts that are placed by the previous capacity.
  it('is respected when it shrinks under load', async () => {
    const {deployment, daemon} = await createDeployment();
    await submitLoad(deployment, daemon, 2_000);
    const shrunkAt = deployment.clock.monotonicMilliseconds();
    for (const id of WORKERS)
      deployment.changeCapacity(id, SHRUNK_MILLICORES, 1_500);
    await submitLoad(deployment, daemon, 10_000);
    const since = shrunkAt + REACTION_MILLISECONDS;
    assert.deepEqual(startsOverCapacity(deployment, since), []);
  });

  // Guards against a start that waits for the store while the capacity shrinks.
  it('is respected by a start that was stored before it shrank', async () => {
    const {deployment, daemon} = await createDeployment();
    daemon.store.setFault(StoreFault.Refusing, LogStream.Jobs);
    void daemon.jobIntake.submit(job('a', [step({taskCount: 16})]), TIMEOUT);
    await deployment.run(300);
    const shrunkAt = deployment.clock.monotonicMilliseconds();
    for (const id of WORKERS) deployment.changeCapacity(id, SHRUNK_MILLICORES);
    await deployment.run(6_000);
    daemon.store.setFault(undefined);
    await deployment.run(2_000);
    assert.ok(deployment.startedRuns().length > 0);
    const since = shrunkAt + REACTION_MILLISECONDS;
    assert.deepEqual(startsOverCapacity(deployment, since), []);
    await deployment.run(20_000);
    assert.deepEqual(await deployment.answerOf(daemon, 'a'), {
      kind: 'state',
      state: JobState.Completed,
    });
  });

  // Guards against starts that rely on worker entries which the store no longer updates.
  it('is respected while the entries of workers cannot be read', async () => {
    const {deployment, daemon} = await createDeployment();
    await submitLoad(deployment, daemon, 2_000);
    daemon.store.setFault(StoreFault.Silent, LogStream.Workers);
    await submitLoad(deployment, daemon, 1_000);
    const shrunkAt = deployment.clock.monotonicMilliseconds();
    for (const id of WORKERS) deployment.changeCapacity(id, SHRUNK_MILLICORES);
    await submitLoad(deployment, daemon, 8_000);
    const since = shrunkAt + REACTION_MILLISECONDS;
    assert.deepEqual(startsOverCapacity(deployment, since), []);
    daemon.store.setFault(undefined);
    const before = deployment.startedRuns().length;
    await deployment.run(3_000);
    assert.ok(deployment.startedRuns().length > before, 'starts continue');
  });

  // Guards against assigning capacity while an unexpected run is being stopped on it.
  it('includes a run that is being stopped until its end', async () => {
    const {deployment, daemon} = await createDeployment(prepared => {
      const worker = prepared.worker(WORKERS[0]);
      assert.ok(worker);
      worker.stopMilliseconds = 900;
      worker.start(FORGOTTEN_RUN);
    });
    for (const job of ['a', 'b']) submitFull(daemon, job);
    await deployment.run(3_000);
    assert.deepEqual(startsOverCapacity(deployment, 0), []);
  });

  // Guards against work that waits although a worker has capacity for it again.
  it('is used again when it grows', async () => {
    const {deployment, daemon} = await createDeployment();
    for (const id of WORKERS) deployment.changeCapacity(id, 500);
    await deployment.run(500);
    void daemon.jobIntake.submit(job('a', [step({taskCount: 4})]), TIMEOUT);
    await deployment.run(2_000);
    assert.equal(deployment.startedRuns().length, 0);
    for (const id of WORKERS) deployment.changeCapacity(id, FULL_MILLICORES);
    await deployment.run(2_000);
    assert.deepEqual(await deployment.answerOf(daemon, 'a'), {
      kind: 'state',
      state: JobState.Completed,
    });
  });
});

describe('the capacity of workers that enforce it', () => {
  // Guards against a task that is sent to the same shrunken worker repeatedly while
  // others have capacity.
  it('is sought elsewhere once a worker has refused a start', async () => {
    const deployment = new TestDeployment(2);
    const daemon = await deployment.startDaemon('one');
    deployment.behaviours.set(
      'before',
      behaviour({durationMilliseconds: 10_000}),
    );
    void daemon.jobIntake.submit(
      job('before', [step({taskCount: 2})]),
      TIMEOUT,
    );
    await deployment.run(300);
    const [{worker: shrunken}] = deployment.startedRuns();
    deployment.changeCapacity(shrunken, SHRUNK_MILLICORES, 1_500);
    const submittedAt = deployment.clock.monotonicMilliseconds();
    void daemon.jobIntake.submit(job('after', [step({taskCount: 4})]), TIMEOUT);
    await deployment.run(3_000);
    const started = deployment
      .startedRuns()
      .filter(({task}) => task.startsWith('after.'));
    assert.equal(started.length, 4);
    const last = Math.max(...started.map(({startedAt}) => startedAt));
    const waited = last - submittedAt;
    assert.ok(waited < 500, `${waited} ms`);
  });

  // Guards against work that waits forever for a worker that refused it and has capacity
  // again.
  it('is tried again after a while, without a new entry of the worker', async () => {
    const deployment = new TestDeployment(1);
    const daemon = await deployment.startDaemon('one');
    deployment.changeCapacity('worker-0', 500, 60_000);
    void daemon.jobIntake.submit(job('a'), TIMEOUT);
    await deployment.run(300);
    assert.equal(deployment.startedRuns().length, 0);
    deployment.changeCapacity('worker-0', FULL_MILLICORES, 60_000);
    await deployment.run(3_000);
    assert.deepEqual(await deployment.answerOf(daemon, 'a'), {
      kind: 'state',
      state: JobState.Completed,
    });
  });
});
