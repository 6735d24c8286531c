import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {LogEvent} from '@gentiandoor/kernel';
import {LogStream} from '../index.js';
import {TestDeployment, job, type TestDaemon} from './deployment.js';
import {startedTasks, submit} from './submitted-jobs.js';

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
