import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {JobState, RunEnd} from '@gentiandoor/jobs';
import {LogEvent, MemoryMetrics, MetricName} from '@gentiandoor/kernel';
import {LogStream, WorkerState} from '../index.js';
import {
  OTHER_QUEUE,
  OTHER_SERVICE,
  QUEUE,
  SERVICE,
  TestDeployment,
  behaviour,
  job,
  step,
  type TestDaemon,
} from './deployment.js';

const TIMEOUT = 3_000;
const WORKER = 'worker-0';
const OTHER_WORKER = 'worker-1';
const HEARTBEATS = 3;
const HEARTBEAT_MILLISECONDS = 1_500;
const TASKS_OF_A_FULL_WORKER = 8;

function writeInvalid(deployment: TestDeployment, key: string): void {
  deployment.store.write(LogStream.Workers, {
    key,
    value: Buffer.from([0, 255, 3]),
  });
}

function rejected(daemon: TestDaemon, reason: string): number {
  const metrics = daemon.parts.metrics as MemoryMetrics;
  return metrics.value(MetricName.WorkerEntriesRejected, {reason}) ?? 0;
}

// A call to a worker that threw ended the process, and the next coordinator's after it.
describe('a worker whose calls fail unexpectedly', () => {
  it('leaves the others alone', async () => {
    const deployment = new TestDeployment(2);
    const daemon = await deployment.startDaemon('one');
    const {workers} = daemon;
    const poll = workers.poll.bind(workers);
    workers.poll = async (worker, request) => {
      if (worker.instance === WORKER) throw new TypeError('Invalid URL');
      return poll(worker, request);
    };
    for (let index = 0; index < 3; index++)
      void daemon.jobIntake.submit(
        job(`job-${index}`, [step({taskCount: TASKS_OF_A_FULL_WORKER})]),
        TIMEOUT,
      );
    await deployment.run(5_000);
    assert.ok(daemon.events.of(LogEvent.TaskFailed) > 0);
    const done = deployment
      .startedRuns()
      .filter(run => run.worker === OTHER_WORKER && run.end === RunEnd.Done);
    assert.ok(done.length >= TASKS_OF_A_FULL_WORKER, `${done.length}`);
  });
});

// The store may execute a write after later ones: a worker that drains looked ready again, and was
// given tasks that ended with it.
describe('an entry of a worker that the store writes late', () => {
  it('does not hide that the worker drains', async () => {
    const deployment = new TestDeployment(1);
    const worker = deployment.worker(WORKER)!;
    const write = (sequence: number) =>
      deployment.store.write(LogStream.Workers, {
        key: WORKER,
        value: Buffer.from(JSON.stringify({...worker.entry(), sequence})),
      });
    write(1);
    const daemon = await deployment.startDaemon('one');
    worker.state = WorkerState.Draining;
    write(3);
    worker.state = WorkerState.Ready;
    write(2);
    await deployment.run(100);
    void daemon.jobIntake.submit(job('a'), TIMEOUT);
    await deployment.run(2_000);
    assert.deepEqual(deployment.startedRuns(), []);

    write(4);
    await deployment.run(1_000);
    assert.equal(deployment.startedRuns().length, 1);
  });
});

describe('an invalid entry of a worker', () => {
  // Another writer's entry must neither hide the other workers nor be logged with each
  // heartbeat.
  it('yields no usable worker, leaves the others alone and is reported once', async () => {
    const deployment = new TestDeployment(1);
    for (let index = 0; index < HEARTBEATS; index++)
      writeInvalid(deployment, 'stranger');
    const daemon = await deployment.startDaemon('one');
    for (let index = 0; index < HEARTBEATS; index++) {
      writeInvalid(deployment, 'stranger');
      await deployment.run(HEARTBEAT_MILLISECONDS);
    }
    void daemon.jobIntake.submit(job('a'), TIMEOUT);
    await deployment.run(1_000);

    assert.deepEqual(
      deployment.startedRuns().map(run => run.worker),
      [WORKER],
    );
    assert.equal(daemon.events.of(LogEvent.WorkerEntryInvalid), 1);
    assert.equal(rejected(daemon, 'invalid'), 1);
  });

  // Starts on a worker whose state or capacity nobody knows may exceed it; its runs must
  // still be followed to their end.
  it('keeps new starts away from its worker, whose runs are polled until they end', async () => {
    const deployment = new TestDeployment(1);
    deployment.behaviours.set('a', behaviour({durationMilliseconds: 4_000}));
    const daemon = await deployment.startDaemon('one');
    void daemon.jobIntake.submit(job('a'), TIMEOUT);
    await deployment.run(500);
    writeInvalid(deployment, WORKER);
    await deployment.run(100);
    void daemon.jobIntake.submit(job('b'), TIMEOUT);
    await deployment.run(14_000);

    const [first, ...others] = deployment.startedRuns();
    assert.deepEqual(others, []);
    assert.notEqual(first.acknowledgedAt, undefined);
    const worker = deployment.worker(WORKER)!;
    deployment.writeEntry(worker);
    await deployment.run(1_000);
    assert.equal(deployment.startedRuns().length, 2);
    writeInvalid(deployment, WORKER);
    await deployment.run(100);
    assert.equal(daemon.events.of(LogEvent.WorkerEntryInvalid), 2);
  });

  // The entry was valid when the coordinator was elected, and invalid when it was read.
  it('has the runs on its worker freed by a successor when their lease is over', async () => {
    const deployment = new TestDeployment(2);
    deployment.behaviours.set('a', behaviour({durationMilliseconds: 30_000}));
    const first = await deployment.startDaemon('one');
    void first.jobIntake.submit(job('a'), TIMEOUT);
    await deployment.run(500);
    const [{worker}] = deployment.startedRuns();
    writeInvalid(deployment, worker);
    first.kill();
    await deployment.startDaemon('two');
    await deployment.run(20_000);

    const [before, after] = deployment.startedRuns();
    assert.ok(
      before.endedAt !== undefined && after.startedAt >= before.endedAt,
    );
    assert.notEqual(after.worker, worker);
  });

  // A worker that stops reporting its start can no longer be told from its successor.
  it('is one without the start time that earlier entries had', async () => {
    const deployment = new TestDeployment(1, true);
    const daemon = await deployment.startDaemon('one');
    const entry = deployment.worker(WORKER)!.entry();
    deployment.store.write(LogStream.Workers, {
      key: WORKER,
      value: Buffer.from(JSON.stringify({...entry, id: WORKER})),
    });
    await deployment.run(500);
    void daemon.jobIntake.submit(job('a'), TIMEOUT);
    await deployment.run(1_000);

    assert.equal(deployment.startedRuns().length, 0);
    assert.equal(daemon.events.of(LogEvent.WorkerEntryInvalid), 1);
    assert.equal(daemon.events.of(LogEvent.WorkerLeft), 0);
  });
});

describe('a worker of a service that the configuration does not name', () => {
  // Its polls and starts cost calls for work that nobody configured.
  it('is neither polled nor given starts until the configuration names it', async () => {
    const deployment = new TestDeployment(1);
    deployment.addWorker(OTHER_WORKER, OTHER_SERVICE);
    const daemon = await deployment.startDaemon('one');
    await deployment.run(3_000);
    assert.equal(daemon.workers.polls.get(OTHER_WORKER) ?? 0, 0);
    assert.ok((daemon.workers.polls.get(WORKER) ?? 0) > 0);
    assert.equal(rejected(daemon, 'unknown_service'), 1);

    deployment.publishConfiguration(
      2,
      new Map([
        [QUEUE, SERVICE],
        [OTHER_QUEUE, OTHER_SERVICE],
      ]),
    );
    await deployment.run(3_000);
    void daemon.jobIntake.submit(
      {...job('a'), queue: OTHER_QUEUE, service: OTHER_SERVICE},
      TIMEOUT,
    );
    await deployment.run(1_000);
    assert.deepEqual(
      deployment.startedRuns().map(run => run.worker),
      [OTHER_WORKER],
    );
  });

  // A configuration that drops a service must not leave its runs without a lease.
  it('has its runs polled until they end', async () => {
    const deployment = new TestDeployment(1);
    deployment.behaviours.set('a', behaviour({durationMilliseconds: 15_000}));
    const daemon = await deployment.startDaemon('one');
    void daemon.jobIntake.submit(
      job('a', [step({taskCount: TASKS_OF_A_FULL_WORKER})]),
      TIMEOUT,
    );
    await deployment.run(500);
    deployment.publishConfiguration(2, new Map([[QUEUE, OTHER_SERVICE]]));
    await deployment.run(20_000);

    const runs = deployment.startedRuns();
    assert.equal(runs.length, TASKS_OF_A_FULL_WORKER);
    assert.ok(runs.every(run => run.end === RunEnd.Done));
    assert.deepEqual(await deployment.answerOf(daemon, 'a'), {
      kind: 'state',
      state: JobState.Completed,
    });
  });
});
