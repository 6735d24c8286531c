import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {JobState, RunEnd} from '@gentiandoor/jobs';
import {SubmitAnswer} from '../index.js';
import {StoreFault, WorkerFault, overlappingRuns} from '../stand-ins/index.js';
import {
  ANY_CALLER,
  TestDaemon,
  TestDeployment,
  behaviour,
  job,
  step,
} from './deployment.js';

const TIMEOUT = 3_000;

async function submitted(
  deployment: TestDeployment,
  daemon: TestDaemon,
  ...jobs: Array<ReturnType<typeof job>>
): Promise<SubmitAnswer[]> {
  const answers = jobs.map(one => daemon.jobIntake.submit(one, TIMEOUT));
  await deployment.run(100);
  return Promise.all(answers);
}

describe('a task', () => {
  describe('without faults', () => {
    it('runs once, and its job is reported as completed after the end is stored', async () => {
      const deployment = new TestDeployment(2);
      const daemon = await deployment.startDaemon('one');
      const answers = await submitted(
        deployment,
        daemon,
        job('a', [step({taskCount: 3}), step({after: [0]})]),
      );
      assert.deepEqual(answers, [SubmitAnswer.Accepted]);
      await deployment.run(2_000);
      const state = await deployment.answerOf(daemon, 'a');
      assert.deepEqual(state, {
        kind: 'state',
        state: JobState.Completed,
      });
      assert.equal(deployment.startedRuns().length, 4);
    });

    it('has its end acknowledged, so that the worker may forget it', async () => {
      const deployment = new TestDeployment(1);
      const daemon = await deployment.startDaemon('one');
      await submitted(deployment, daemon, job('a'));
      await deployment.run(2_000);
      assert.equal(deployment.worker('worker-0')?.unacknowledged, 0);
    });
  });

  describe('that fails in every run', () => {
    // Each failed end is read before it is stored. If it counted only once it is stored,
    // the task would be started again in between. The caller sees the job as failed.
    it('is started as often as the queue allows and no more often', async () => {
      const deployment = new TestDeployment(3);
      deployment.behaviours.set('bad', behaviour({end: RunEnd.Failed}));
      const daemon = await deployment.startDaemon('one');
      await submitted(deployment, daemon, job('bad'));
      await deployment.run(6_000);
      assert.equal(deployment.startedRuns().length, 3);
      const state = await deployment.answerOf(daemon, 'bad');
      assert.deepEqual(state, {kind: 'state', state: JobState.Failed});
    });
  });

  describe('whose start order gets no response', () => {
    // The order is carried out 2.5 s late, after the coordinator has given up on it; a
    // start on another worker in the meantime would run the task twice. The caller only
    // waits a little longer.
    it('does not run twice when the start is carried out late', async () => {
      const deployment = new TestDeployment(2);
      const daemon = await deployment.startDaemon('one');
      daemon.workers.setFault('worker-0', WorkerFault.StartsLate);
      daemon.workers.setFault('worker-1', WorkerFault.StartsLate);
      await submitted(deployment, daemon, job('a', [step({taskCount: 4})]));
      await deployment.run(4_000);
      daemon.workers.setFault('worker-0', undefined);
      daemon.workers.setFault('worker-1', undefined);
      await deployment.run(12_000);
      assert.deepEqual(overlappingRuns(deployment.startedRuns()), []);
      const done = deployment
        .startedRuns()
        .filter(run => run.end === RunEnd.Done);
      assert.equal(done.length, 4);
    });

    // The start was carried out and only its response was lost: the retry finds the run
    // there.
    it('runs once when only the response was lost', async () => {
      const deployment = new TestDeployment(1);
      const daemon = await deployment.startDaemon('one');
      daemon.workers.setFault('worker-0', WorkerFault.AnswersLost);
      await submitted(deployment, daemon, job('a'));
      await deployment.run(8_000);
      assert.equal(deployment.startedRuns().length, 1);
    });
  });

  describe('on an unreachable worker', () => {
    // The worker continues behind a network partition until its lease expires; only then
    // may the task start on another worker. The caller gets the result late.
    it('starts on another worker only after the lease has expired', async () => {
      const deployment = new TestDeployment(2);
      deployment.linkFleet();
      deployment.behaviours.set(
        'lasting',
        behaviour({durationMilliseconds: undefined}),
      );
      const daemon = await deployment.startDaemon('one');
      await submitted(
        deployment,
        daemon,
        job('lasting', [step({longRunning: true})]),
      );
      await deployment.run(1_000);
      const [first] = deployment.startedRuns();
      daemon.workers.setFault(first.worker, WorkerFault.Cut);
      await deployment.run(20_000);
      assert.deepEqual(overlappingRuns(deployment.startedRuns()), []);
      assert.equal(deployment.startedRuns().length, 2);
    });
  });

  describe('when its coordinator is killed', () => {
    // The next coordinator learns from the store which runs may be alive, adopts them on
    // the workers and starts none of them again. Callers only notice a pause.
    it('continues under the next coordinator', async () => {
      const deployment = new TestDeployment(2);
      deployment.behaviours.set(
        'long',
        behaviour({durationMilliseconds: 6_000}),
      );
      const first = new TestDaemon(deployment, 'one');
      const second = new TestDaemon(deployment, 'two');
      first.start();
      await deployment.run(200);
      second.start();
      await submitted(deployment, first, job('long', [step({taskCount: 4})]));
      await deployment.run(1_000);
      first.kill();
      await deployment.run(12_000);
      const runs = deployment.startedRuns();
      assert.equal(runs.length, 4);
      assert.ok(runs.every(run => run.end === RunEnd.Done));
      const state = await deployment.answerOf(second, 'long');
      assert.deepEqual(state, {
        kind: 'state',
        state: JobState.Completed,
      });
    });

    // The killed coordinator had ordered a start that reaches a worker late. By then the
    // next one has presented its fencing token there, and the worker refuses the old
    // order.
    it('is not started by a late order of the old coordinator', async () => {
      const deployment = new TestDeployment(2);
      const first = new TestDaemon(deployment, 'one');
      const second = new TestDaemon(deployment, 'two');
      first.start();
      await deployment.run(200);
      second.start();
      first.workers.setFault('worker-0', WorkerFault.StartsLate);
      first.workers.setFault('worker-1', WorkerFault.StartsLate);
      await submitted(deployment, first, job('a', [step({taskCount: 2})]));
      first.kill();
      await deployment.run(12_000);
      assert.deepEqual(overlappingRuns(deployment.startedRuns()), []);
      assert.equal(
        deployment.startedRuns().filter(run => run.end === RunEnd.Done).length,
        2,
      );
    });
  });
});

describe('a submission', () => {
  describe('while the store refuses appends', () => {
    it('is refused at once, and never runs', async () => {
      const deployment = new TestDeployment(1);
      const daemon = await deployment.startDaemon('one');
      daemon.store.setFault(StoreFault.Refusing);
      const answer = daemon.jobIntake.submit(job('a'), TIMEOUT);
      await deployment.run(700);
      assert.equal(await answer, SubmitAnswer.Refused);
      daemon.store.setFault(undefined);
      await deployment.run(10_000);
      assert.equal(deployment.startedRuns().length, 0);
    });
  });

  describe('during an outage that resets connections', () => {
    // Many callers submit while each append is reset. Only the submission that probes
    // whether the store is back may be left in doubt; all others get a definite refusal.
    it('leaves one caller in doubt and refuses the others', async () => {
      const deployment = new TestDeployment(1);
      const daemon = await deployment.startDaemon('one');
      daemon.store.setFault(StoreFault.Silent);
      const first = daemon.jobIntake.submit(job('first'), TIMEOUT);
      await deployment.run(1_600);
      const others = ['a', 'b', 'c', 'd'].map(id =>
        daemon.jobIntake.submit(job(id), TIMEOUT),
      );
      await deployment.run(3_000);
      assert.equal(await first, SubmitAnswer.Unknown);
      assert.deepEqual(
        await Promise.all(others),
        others.map(() => SubmitAnswer.Refused),
      );
    });
  });

  describe('whose append gets no response', () => {
    // The append is carried out seconds later. If the job were reported as refused, its
    // caller would submit it again under another name.
    it('is reported as in doubt, not as refused', async () => {
      const deployment = new TestDeployment(1);
      const daemon = await deployment.startDaemon('one');
      daemon.store.setFault(StoreFault.DoneLate);
      const answer = daemon.jobIntake.submit(job('a'), TIMEOUT);
      await deployment.run(3_100);
      assert.equal(await answer, SubmitAnswer.Unknown);
    });

    // The store does not respond: each append hangs for longer than the caller still
    // waits. The response that the outcome is unknown must arrive in time; otherwise the
    // caller notices only through its own timeout.
    it('is answered before the caller stops waiting', async () => {
      const deployment = new TestDeployment(1);
      const daemon = await deployment.startDaemon('one');
      daemon.store.setFault(StoreFault.Silent);
      let answer: SubmitAnswer | undefined;
      void daemon.jobIntake.submit(job('a'), TIMEOUT).then(given => {
        answer = given;
      });
      await deployment.run(TIMEOUT - 200);
      assert.equal(answer, SubmitAnswer.Unknown);
    });

    // The second attempt is refused for certain, but the first may still be carried out.
    it('stays in doubt when a second attempt is refused', async () => {
      const deployment = new TestDeployment(1);
      const daemon = await deployment.startDaemon('one');
      daemon.store.setFault(StoreFault.Silent);
      const first = daemon.jobIntake.submit(job('a'), TIMEOUT);
      await deployment.run(3_100);
      await first;
      daemon.store.setFault(StoreFault.Refusing);
      const second = daemon.jobIntake.submit(job('a'), TIMEOUT);
      await deployment.run(1_000);
      assert.equal(await second, SubmitAnswer.Unknown);
    });
  });

  describe('that is repeated after its job has ended', () => {
    it('is accepted and does not run again', async () => {
      const deployment = new TestDeployment(1);
      const daemon = new TestDaemon(deployment, 'one');
      const other = new TestDaemon(deployment, 'two');
      daemon.start();
      await deployment.run(200);
      await submitted(deployment, daemon, job('a'));
      await deployment.run(3_000);
      const answers = await submitted(deployment, other, job('a'));
      assert.deepEqual(answers, [SubmitAnswer.Accepted]);
      await deployment.run(3_000);
      assert.equal(deployment.startedRuns().length, 1);
    });
  });
});

describe('a cancellation', () => {
  it('stops the running tasks and starts no more', async () => {
    const deployment = new TestDeployment(2);
    deployment.behaviours.set(
      'long',
      behaviour({durationMilliseconds: 60_000}),
    );
    const daemon = await deployment.startDaemon('one');
    await submitted(deployment, daemon, job('long', [step({taskCount: 20})]));
    await deployment.run(500);
    const answer = daemon.jobIntake.cancel('long', TIMEOUT, ANY_CALLER);
    await deployment.run(2_000);
    assert.deepEqual(await answer, {
      kind: 'state',
      state: JobState.Cancelled,
    });
    const alive = deployment
      .startedRuns()
      .filter(run => run.endedAt === undefined);
    assert.deepEqual(alive, []);
    const before = deployment.startedRuns().length;
    await deployment.run(3_000);
    assert.equal(deployment.startedRuns().length, before);
  });

  // The caller cancels right after its submission was answered. The daemon last read the
  // log a moment before the submission was appended; relying on that, it would report
  // that there is no such job, and the job would run on.
  it('finds a job that was just submitted to another daemon', async () => {
    const deployment = new TestDeployment(1);
    const daemon = new TestDaemon(deployment, 'one');
    const other = new TestDaemon(deployment, 'two');
    daemon.start();
    await deployment.run(200);
    const warm = other.jobIntake.state('nobody', ANY_CALLER);
    await deployment.run(10);
    await warm;
    const submission = daemon.jobIntake.submit(job('a'), TIMEOUT);
    await deployment.run(5);
    assert.equal(await submission, SubmitAnswer.Accepted);
    const answer = other.jobIntake.cancel('a', TIMEOUT, ANY_CALLER);
    await deployment.run(50);
    assert.deepEqual(await answer, {
      kind: 'state',
      state: JobState.Cancelled,
    });
  });

  it('of a job that nobody submitted is answered as absent', async () => {
    const deployment = new TestDeployment(1);
    const daemon = await deployment.startDaemon('one');
    const answer = daemon.jobIntake.cancel('nobody', TIMEOUT, ANY_CALLER);
    await deployment.run(100);
    assert.deepEqual(await answer, {kind: 'absent'});
  });
});
