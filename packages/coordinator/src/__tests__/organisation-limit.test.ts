import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {JobState, type JobSubmission} from '@gentiandoor/jobs';
import {digestKey, type Organisation} from '@gentiandoor/organisations';
import {LogStream, SubmitAnswer} from '../index.js';
import {
  StoreFault,
  WorkerFault,
  maximumConcurrentRuns,
} from '../stand-ins/index.js';
import {
  QUEUE,
  TestDeployment,
  behaviour,
  job,
  step,
  type TestDaemon,
} from './deployment.js';

const TIMEOUT = 3_000;
const MILLICORES = 1_000;

function organisation(name: string, cores: number): Organisation {
  return {
    name,
    keyDigests: [digestKey(`key of ${name}`)],
    weight: 1,
    limit: {
      processorMillicores: cores * MILLICORES,
      memoryMegabytes: 0,
      accelerators: 0,
    },
  };
}

function jobOf(
  owner: string,
  id: string,
  taskCount: number,
  overrides: Parameters<typeof step>[0] = {},
): JobSubmission {
  return {...job(id, [step({taskCount, ...overrides})]), organisation: owner};
}

class LimitedDeployment extends TestDeployment {
  version = 1;

  constructor(workers: number, cores: number) {
    super(workers);
    this.setLimit(cores);
  }

  setLimit(cores: number): void {
    this.organisations = [
      organisation('advisers', cores),
      organisation('auditors', 0),
    ];
    this.publishConfiguration(++this.version);
  }

  async submit(daemon: TestDaemon, submission: JobSubmission): Promise<void> {
    const answer = daemon.jobIntake.submit(submission, TIMEOUT);
    await this.run(20);
    assert.equal(await answer, SubmitAnswer.Accepted);
  }

  /**
   * Returns the maximum number of tasks that ran at the same time, of jobs whose id
   * begins with `prefix`.
   */
  maximumConcurrentOf(prefix: string, from = 0): number {
    const runs = this.startedRuns().filter(run => run.task.startsWith(prefix));
    return maximumConcurrentRuns(runs, from);
  }
}

describe('the limit of an organisation', () => {
  it('holds across all workers, and the remaining capacity goes to others', async () => {
    const deployment = new LimitedDeployment(3, 4);
    const daemon = await deployment.startDaemon('one');
    await deployment.submit(daemon, jobOf('advisers', 'advice', 12));
    await deployment.submit(daemon, jobOf('auditors', 'review', 12));
    await deployment.run(4_000);
    assert.equal(deployment.maximumConcurrentOf('advice'), 4);
    assert.equal(deployment.maximumConcurrentOf('review'), 12);
    const answer = await deployment.answerOf(daemon, 'review');
    assert.deepEqual(answer, {kind: 'state', state: JobState.Completed});
    assert.equal(deployment.startedRuns().length, 24);
  });

  // Orders to one worker get no response; the coordinator gives up on them and starts the
  // tasks on other workers, while the first ones run after all: the organisation exceeds
  // its limit. A run counts until it is known to be over, so that nothing is started in
  // its place before.
  for (const fault of Object.values(WorkerFault))
    it(`holds while a worker is ${fault}`, async () => {
      const deployment = new LimitedDeployment(3, 4);
      deployment.behaviours.set(
        'advice',
        behaviour({durationMilliseconds: 2_500}),
      );
      const daemon = await deployment.startDaemon('one');
      daemon.workers.setFault('worker-0', fault);
      await deployment.submit(daemon, jobOf('advisers', 'advice', 12));
      await deployment.run(6_000);
      daemon.workers.setFault('worker-0', undefined);
      await deployment.run(40_000);
      assert.ok(
        deployment.maximumConcurrentOf('advice') <= 4,
        `${deployment.maximumConcurrentOf('advice')} at once`,
      );
      const answer = await deployment.answerOf(daemon, 'advice');
      assert.deepEqual(answer, {kind: 'state', state: JobState.Completed});
    });

  // The coordinator is killed with tasks running and a worker unreachable. Its successor
  // does not see the tasks on that worker and would fill the limit again beside them. It
  // counts the runs that its predecessor stored.
  it('holds when the coordinator changes while a worker is unreachable', async () => {
    const deployment = new LimitedDeployment(3, 4);
    deployment.behaviours.set(
      'advice',
      behaviour({durationMilliseconds: 3_000}),
    );
    const first = await deployment.startDaemon('one');
    await deployment.submit(first, jobOf('advisers', 'advice', 12));
    await deployment.run(500);
    first.kill();
    const second = await deployment.startDaemon('two');
    const busy = deployment.startedRuns()[0].worker;
    second.workers.setFault(busy, WorkerFault.Cut);
    await deployment.run(15_000);
    second.workers.setFault(busy, undefined);
    await deployment.run(30_000);
    assert.ok(
      deployment.maximumConcurrentOf('advice') <= 4,
      `${deployment.maximumConcurrentOf('advice')} at once`,
    );
    const answer = await deployment.answerOf(second, 'advice');
    assert.deepEqual(answer, {kind: 'state', state: JobState.Completed});
  });

  // Operators lower a limit far below the running tasks. These continue, but starts that
  // were chosen before the change and not ordered yet would make the organisation exceed
  // the new limit; nothing starts until it is met.
  it('is met again after it was lowered far below the running tasks', async () => {
    const deployment = new LimitedDeployment(3, 12);
    const daemon = await deployment.startDaemon('one');
    await deployment.submit(daemon, jobOf('advisers', 'advice', 60));
    await deployment.run(700);
    deployment.setLimit(2);
    await deployment.run(1_600);
    const from = deployment.clock.monotonicMilliseconds();
    await deployment.run(20_000);
    assert.equal(deployment.maximumConcurrentOf('advice', from), 2);
    const answer = await deployment.answerOf(daemon, 'advice');
    assert.deepEqual(answer, {kind: 'state', state: JobState.Completed});
  });

  // Runs are chosen and the store does not accept them yet. Operators lower the limit,
  // which is acknowledged; then the store accepts the runs, and their orders, chosen
  // under the outdated limit, would exceed the new one.
  it('is checked again when a run was stored late', async () => {
    const deployment = new LimitedDeployment(3, 12);
    const daemon = await deployment.startDaemon('one');
    daemon.store.setFault(StoreFault.Refusing, LogStream.Jobs);
    await deployment.submit(daemon, jobOf('advisers', 'advice', 12));
    await deployment.run(300);
    deployment.setLimit(2);
    await deployment.run(1_200);
    daemon.store.setFault(undefined);
    await deployment.run(10_000);
    assert.equal(deployment.maximumConcurrentOf('advice'), 2);
    const answer = await deployment.answerOf(daemon, 'advice');
    assert.deepEqual(answer, {kind: 'state', state: JobState.Completed});
  });

  // The coordinator can't read the operators' records for some seconds, so it does not
  // know the limit and starts nothing of the organisation. When it can read them again,
  // no other event makes it consider the job.
  it('lets waiting tasks start once it is known again', async () => {
    const deployment = new LimitedDeployment(3, 4);
    const daemon = await deployment.startDaemon('one');
    daemon.store.setFault(StoreFault.Refusing, LogStream.Operator);
    await deployment.run(3_000);
    await deployment.submit(daemon, jobOf('advisers', 'advice', 2));
    await deployment.run(2_000);
    assert.equal(deployment.startedRuns().length, 0);
    daemon.store.setFault(undefined);
    await deployment.run(1_500);
    assert.equal(deployment.startedRuns().length, 2);
  });

  it('lets accepted tasks run one by one when it is lowered below their size', async () => {
    const deployment = new LimitedDeployment(3, 1);
    const daemon = await deployment.startDaemon('one');
    await deployment.submit(daemon, jobOf('advisers', 'advice', 6));
    deployment.setLimit(0.5);
    await deployment.run(8_000);
    assert.equal(deployment.maximumConcurrentOf('advice'), 1);
    const answer = await deployment.answerOf(daemon, 'advice');
    assert.deepEqual(answer, {kind: 'state', state: JobState.Completed});
  });

  it('lets a gang start as a whole or not at all', async () => {
    const deployment = new LimitedDeployment(3, 4);
    const daemon = await deployment.startDaemon('one');
    const gang = {gang: true};
    await deployment.submit(daemon, jobOf('advisers', 'advice', 2));
    await deployment.submit(daemon, jobOf('advisers', 'gang', 4, gang));
    await deployment.run(5_000);
    assert.ok(deployment.maximumConcurrentOf('') <= 4);
    const answer = await deployment.answerOf(daemon, 'gang');
    assert.deepEqual(answer, {kind: 'state', state: JobState.Completed});
  });

  // A job that can never run would be accepted, wait forever and be reported as queued;
  // its caller learns nothing.
  it('immediately refuses a job that exceeds it, and says so', async () => {
    const deployment = new LimitedDeployment(3, 4);
    const daemon = await deployment.startDaemon('one');
    const large = jobOf('advisers', 'large', 1, {processorMillicores: 5_000});
    const gang = jobOf('advisers', 'gang', 5, {gang: true});
    const wide = jobOf('advisers', 'wide', 5);
    const answers = [large, gang, wide].map(one =>
      daemon.jobIntake.submit(one, TIMEOUT),
    );
    await deployment.run(50);
    assert.deepEqual(await Promise.all(answers), [
      SubmitAnswer.OverLimit,
      SubmitAnswer.OverLimit,
      SubmitAnswer.Accepted,
    ]);
  });

  it('stays that of the last configuration for a removed organisation', async () => {
    const deployment = new LimitedDeployment(3, 4);
    const daemon = await deployment.startDaemon('one');
    await deployment.submit(daemon, jobOf('advisers', 'advice', 12));
    deployment.organisations = [];
    deployment.publishConfiguration(++deployment.version);
    await deployment.run(4_000);
    assert.equal(deployment.maximumConcurrentOf('advice'), 4);
    const answer = await deployment.answerOf(daemon, 'advice');
    assert.deepEqual(answer, {kind: 'state', state: JobState.Completed});
  });
});

describe('a job of an organisation', () => {
  it('is hidden from others, and they cannot use its id', async () => {
    const deployment = new LimitedDeployment(1, 4);
    const daemon = await deployment.startDaemon('one');
    await deployment.submit(daemon, jobOf('advisers', 'advice', 1));
    await deployment.run(200);
    const other = {
      organisation: 'auditors',
      queue: QUEUE,
      isPublicQueue: false,
    };
    const state = daemon.jobIntake.state('advice', other);
    const cancelled = daemon.jobIntake.cancel('advice', TIMEOUT, other);
    const taken = daemon.jobIntake.submit(
      jobOf('auditors', 'advice', 1),
      TIMEOUT,
    );
    await deployment.run(100);
    assert.deepEqual(await state, {kind: 'absent'});
    assert.deepEqual(await cancelled, {kind: 'absent'});
    assert.equal(await taken, SubmitAnswer.IdInUse);
    await deployment.run(1_000);
    assert.equal(deployment.startedRuns().length, 1);
  });
});
