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
const WHOLE_MILLICORES = 8_000;
/** A room that has shrunk counts from then on: the beat that tells it, and the time to take note. */
const TAKE_NOTE_MILLISECONDS = 4_500;

/** An earlier coordinator ordered it, and its job is over. */
const FORGOTTEN_RUN: StartRequest = {
  task: 'forgotten.0.0.0',
  run: 1,
  payload: '',
  leaseEndMilliseconds: Number.MAX_SAFE_INTEGER,
  fencingToken: 0,
  checkpoint: '',
  ticket: '',
};

/** Two workers that start whatever they are told to start. */
async function begin(
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

function startsOverRoom(deployment: TestDeployment, since: number): number[] {
  return WORKERS.flatMap(
    id => deployment.worker(id)?.startsOverCapacity ?? [],
  ).filter(at => at >= since);
}

/** Fills a worker. */
function submitFull(daemon: TestDaemon, id: string): void {
  void daemon.desk.submit(job(id, [step({taskCount: 8})]), TIMEOUT);
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
    void daemon.desk.submit(job(id, [step({taskCount: 6})]), TIMEOUT);
    await deployment.run(gap);
  }
}

describe('the room of workers that do not guard it', () => {
  // Guards against starts that are placed by the room of before.
  it('is kept when it shrinks under load', async () => {
    const {deployment, daemon} = await begin();
    await submitLoad(deployment, daemon, 2_000);
    const shrunkAt = deployment.clock.monotonicMilliseconds();
    for (const id of WORKERS)
      deployment.changeRoom(id, SHRUNK_MILLICORES, 1_500);
    await submitLoad(deployment, daemon, 10_000);
    const since = shrunkAt + TAKE_NOTE_MILLISECONDS;
    assert.deepEqual(startsOverRoom(deployment, since), []);
  });

  // Guards against a start that waits for the store while the room shrinks.
  it('is kept by a start that was stored before it shrank', async () => {
    const {deployment, daemon} = await begin();
    daemon.store.setFault(StoreFault.Refusing, LogStream.Jobs);
    void daemon.desk.submit(job('a', [step({taskCount: 16})]), TIMEOUT);
    await deployment.run(300);
    const shrunkAt = deployment.clock.monotonicMilliseconds();
    for (const id of WORKERS) deployment.changeRoom(id, SHRUNK_MILLICORES);
    await deployment.run(6_000);
    daemon.store.setFault(undefined);
    await deployment.run(2_000);
    assert.ok(deployment.begunRuns().length > 0);
    const since = shrunkAt + TAKE_NOTE_MILLISECONDS;
    assert.deepEqual(startsOverRoom(deployment, since), []);
    await deployment.run(20_000);
    assert.deepEqual(await deployment.answerOf(daemon, 'a'), {
      kind: 'state',
      state: JobState.Completed,
    });
  });

  // Guards against a picture of the workers that the store no longer renews while starts go on.
  it('is kept while the entries of workers can not be read', async () => {
    const {deployment, daemon} = await begin();
    await submitLoad(deployment, daemon, 2_000);
    daemon.store.setFault(StoreFault.Silent, LogStream.Workers);
    await submitLoad(deployment, daemon, 1_000);
    const shrunkAt = deployment.clock.monotonicMilliseconds();
    for (const id of WORKERS) deployment.changeRoom(id, SHRUNK_MILLICORES);
    await submitLoad(deployment, daemon, 8_000);
    const since = shrunkAt + TAKE_NOTE_MILLISECONDS;
    assert.deepEqual(startsOverRoom(deployment, since), []);
    daemon.store.setFault(undefined);
    const before = deployment.begunRuns().length;
    await deployment.run(3_000);
    assert.ok(deployment.begunRuns().length > before, 'starts go on');
  });

  // Guards against room that is given away while a run nobody expects is being stopped on it.
  it('counts a run that is being stopped until its end', async () => {
    const {deployment, daemon} = await begin(prepared => {
      const worker = prepared.worker(WORKERS[0]);
      assert.ok(worker);
      worker.stopMilliseconds = 900;
      worker.start(FORGOTTEN_RUN);
    });
    for (const job of ['a', 'b']) submitFull(daemon, job);
    await deployment.run(3_000);
    assert.deepEqual(startsOverRoom(deployment, 0), []);
  });

  // Guards against work that waits although a worker has room for it again.
  it('is used again when it grows', async () => {
    const {deployment, daemon} = await begin();
    for (const id of WORKERS) deployment.changeRoom(id, 500);
    await deployment.run(500);
    void daemon.desk.submit(job('a', [step({taskCount: 4})]), TIMEOUT);
    await deployment.run(2_000);
    assert.equal(deployment.begunRuns().length, 0);
    for (const id of WORKERS) deployment.changeRoom(id, WHOLE_MILLICORES);
    await deployment.run(2_000);
    assert.deepEqual(await deployment.answerOf(daemon, 'a'), {
      kind: 'state',
      state: JobState.Completed,
    });
  });
});

describe('the room of workers that guard it', () => {
  // Guards against a task that is sent to the same shrunken worker again and again while others have room.
  it('is looked for elsewhere once a worker has refused a start', async () => {
    const deployment = new TestDeployment(2);
    const daemon = await deployment.startDaemon('one');
    deployment.behaviours.set(
      'before',
      behaviour({durationMilliseconds: 10_000}),
    );
    void daemon.desk.submit(job('before', [step({taskCount: 2})]), TIMEOUT);
    await deployment.run(300);
    const [{worker: shrunken}] = deployment.begunRuns();
    deployment.changeRoom(shrunken, SHRUNK_MILLICORES, 1_500);
    const submittedAt = deployment.clock.monotonicMilliseconds();
    void daemon.desk.submit(job('after', [step({taskCount: 4})]), TIMEOUT);
    await deployment.run(3_000);
    const started = deployment
      .begunRuns()
      .filter(({task}) => task.startsWith('after.'));
    assert.equal(started.length, 4);
    const last = Math.max(...started.map(({startedAt: begunAt}) => begunAt));
    const waited = last - submittedAt;
    assert.ok(waited < 500, `${waited} ms`);
  });

  // Guards against work that waits for good for a worker that refused it and has room again.
  it('is tried again after a while, without news of the worker', async () => {
    const deployment = new TestDeployment(1);
    const daemon = await deployment.startDaemon('one');
    deployment.changeRoom('worker-0', 500, 60_000);
    void daemon.desk.submit(job('a'), TIMEOUT);
    await deployment.run(300);
    assert.equal(deployment.begunRuns().length, 0);
    deployment.changeRoom('worker-0', WHOLE_MILLICORES, 60_000);
    await deployment.run(3_000);
    assert.deepEqual(await deployment.answerOf(daemon, 'a'), {
      kind: 'state',
      state: JobState.Completed,
    });
  });
});
