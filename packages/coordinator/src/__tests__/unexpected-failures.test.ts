import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {RunEnd} from '@gentiandoor/jobs';
import {LogEvent} from '@gentiandoor/kernel';
import {LogStream, type WorkerGateway} from '../index.js';
import {
  ANY_CALLER,
  OTHER_QUEUE,
  OTHER_SERVICE,
  QUEUE,
  SERVICE,
  TestDeployment,
  job,
  step,
  type TestDaemon,
} from './deployment.js';
import {startedTasks, submit} from './submitted-jobs.js';

const WORKER = 'worker-0';
const OTHER_WORKER = 'worker-1';
const TASKS_OF_A_FULL_WORKER = 8;
const JOBS = 3;
const UNEXPECTED = new TypeError('unexpected');

/** Makes the next call of a method throw. */
function failNext<Target extends object>(
  target: Target,
  method: keyof Target & string,
  isAffected: (argument: unknown) => boolean = () => true,
): void {
  const original = target[method] as (...args: unknown[]) => unknown;
  const failing = async (...args: unknown[]) => {
    if (!isAffected(args[0])) return original.apply(target, args);
    Object.assign(target, {[method]: original});
    throw UNEXPECTED;
  };
  Object.assign(target, {[method]: failing});
}

async function assertJobsRun(
  deployment: TestDeployment,
  daemon: TestDaemon,
  name: string,
): Promise<void> {
  await submit(deployment, daemon, job(name));
  await deployment.run(2_000);
  assert.equal(startedTasks(deployment, name), 1);
}

// A call about one worker that threw ended the process, and that of each later coordinator.
describe('a call to a worker that fails unexpectedly', () => {
  for (const call of ['start', 'stop'] as const)
    it(`leaves the other workers alone: ${call}`, async () => {
      const deployment = new TestDeployment(2);
      const daemon = await deployment.startDaemon('one');
      const original = daemon.workers[call].bind(daemon.workers) as (
        ...args: unknown[]
      ) => unknown;
      const failing = async (...args: unknown[]) => {
        const [{instance}] = args as Parameters<WorkerGateway['poll']>;
        if (instance === WORKER) throw UNEXPECTED;
        return original(...args);
      };
      Object.assign(daemon.workers, {[call]: failing});
      for (let index = 0; index < JOBS; index++)
        await submit(
          deployment,
          daemon,
          job(`job-${index}`, [step({taskCount: TASKS_OF_A_FULL_WORKER})]),
        );
      if (call === 'stop')
        void daemon.jobIntake.cancel('job-0', 3_000, ANY_CALLER);
      await deployment.run(5_000);
      assert.ok(daemon.events.of(LogEvent.TaskFailed) > 0);
      const done = deployment
        .startedRuns()
        .filter(run => run.worker === OTHER_WORKER && run.end === RunEnd.Done);
      assert.ok(done.length >= TASKS_OF_A_FULL_WORKER, `${done.length}`);
    });
});

// An error about one job or service in a placement round ended the process, in a timer.
describe('a placement round that fails unexpectedly', () => {
  it('for one job places the other jobs of its service', async () => {
    const deployment = new TestDeployment(1);
    const daemon = await deployment.startDaemon('one');
    const coordinator = daemon.coordinator!;
    const allows = coordinator.organisationLimitAllows.bind(coordinator);
    coordinator.organisationLimitAllows = (execution, ...others) => {
      if (execution.job.id === 'odd') throw UNEXPECTED;
      return allows(execution, ...others);
    };
    await submit(deployment, daemon, job('odd'));
    await assertJobsRun(deployment, daemon, 'sound');
    assert.equal(startedTasks(deployment, 'odd'), 0);
    assert.ok(daemon.events.of(LogEvent.TaskFailed) > 0);
  });

  it('for one service places the jobs of the others', async () => {
    const deployment = new TestDeployment(1);
    deployment.addWorker('other-0', OTHER_SERVICE);
    deployment.publishConfiguration(
      2,
      new Map([
        [QUEUE, SERVICE],
        [OTHER_QUEUE, OTHER_SERVICE],
      ]),
    );
    const daemon = await deployment.startDaemon('one');
    const coordinator = daemon.coordinator!;
    const sessionsOf = coordinator.sessionsOf.bind(coordinator);
    coordinator.sessionsOf = service => {
      if (service === OTHER_SERVICE) throw UNEXPECTED;
      return sessionsOf(service);
    };
    await submit(deployment, daemon, {
      ...job('odd'),
      queue: OTHER_QUEUE,
      service: OTHER_SERVICE,
    });
    await assertJobsRun(deployment, daemon, 'sound');
    assert.ok(daemon.events.of(LogEvent.TaskFailed) > 0);
  });
});

// One wave that could not be planned kept all others, and all pools, from being planned.
describe('a wave whose planning fails unexpectedly', () => {
  it('leaves the other waves alone', async () => {
    const deployment = new TestDeployment(2);
    deployment.linkFleet();
    const wave = (number: number, vms: readonly string[]) =>
      deployment.writeOperatorRecord(`wave/${number}`, {
        kind: 'wave',
        wave: {number, vms, durationMilliseconds: 20_000, maximumAtOnce: 1},
      });
    wave(1, null as never);
    wave(2, [WORKER]);
    const daemon = await deployment.startDaemon('one');
    await deployment.run(10_000);
    assert.ok(daemon.events.of(LogEvent.TaskFailed) > 0);
    const {orders} = deployment.fleet;
    assert.deepEqual(
      orders.filter(({kind}) => kind === 'maintain').map(({vm}) => vm),
      [WORKER],
    );
  });
});

// A loop that serves all jobs ended with its first unexpected failure, and the process with it.
describe('a background task that fails unexpectedly', () => {
  const calls = [
    [LogStream.Operator, 'read'],
    [LogStream.Workers, 'read'],
    [LogStream.Submissions, 'read'],
    [LogStream.Terms, 'append'],
    [LogStream.Fleet, 'append'],
  ] as const;
  for (const [stream, call] of calls)
    it(`goes on: ${call} of ${stream}`, async () => {
      const deployment = new TestDeployment(1);
      const daemon = await deployment.startDaemon('one');
      failNext(daemon.store, call, argument => argument === stream);
      await submit(deployment, daemon, job('meanwhile'));
      await deployment.run(4_000);
      assert.equal(daemon.events.of(LogEvent.TaskFailed), 1);
      await assertJobsRun(deployment, daemon, 'afterwards');
    });

  it('goes on: the planning of pools', async () => {
    const deployment = new TestDeployment(1);
    const daemon = await deployment.startDaemon('one');
    failNext(deployment.fleet, 'list');
    await deployment.run(2_000);
    assert.equal(daemon.events.of(LogEvent.TaskFailed), 1);
    const list = deployment.fleet.list.bind(deployment.fleet);
    let listed = 0;
    deployment.fleet.list = () => {
      listed++;
      return list();
    };
    await deployment.run(5_000);
    assert.ok(listed > 0);
  });
});
