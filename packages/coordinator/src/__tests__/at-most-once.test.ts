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

const BOUND = 3_000;

async function submitted(
  deployment: TestDeployment,
  daemon: TestDaemon,
  ...jobs: Array<ReturnType<typeof job>>
): Promise<SubmitAnswer[]> {
  const answers = jobs.map(one => daemon.desk.submit(one, BOUND));
  await deployment.run(100);
  return Promise.all(answers);
}

describe('a task', () => {
  describe('on a calm day', () => {
    it('runs once and its job is shown as completed after the end is stored', async () => {
      const deployment = new TestDeployment(2);
      const daemon = await deployment.startDaemon('one');
      const answers = await submitted(
        deployment,
        daemon,
        job('a', [step({taskCount: 3}), step({after: [0]})]),
      );
      assert.deepEqual(answers, [SubmitAnswer.Taken]);
      await deployment.run(2_000);
      const state = await deployment.answerOf(daemon, 'a');
      assert.deepEqual(state, {
        kind: 'state',
        state: JobState.Completed,
      });
      assert.equal(deployment.begunRuns().length, 4);
    });

    it('has its end acknowledged, so that the worker may forget it', async () => {
      const deployment = new TestDeployment(1);
      const daemon = await deployment.startDaemon('one');
      await submitted(deployment, daemon, job('a'));
      await deployment.run(2_000);
      assert.equal(deployment.worker('worker-0')?.unacknowledged, 0);
    });
  });

  describe('that fails each time', () => {
    // The caller sees the job as failed. Each end as failed is read before it is stored; a task
    // that was counted only once it is stored would be started again in between.
    it('is started as often as the queue allows and no more', async () => {
      const deployment = new TestDeployment(3);
      deployment.behaviours.set('bad', behaviour({end: RunEnd.Failed}));
      const daemon = await deployment.startDaemon('one');
      await submitted(deployment, daemon, job('bad'));
      await deployment.run(6_000);
      assert.equal(deployment.begunRuns().length, 3);
      const state = await deployment.answerOf(daemon, 'bad');
      assert.deepEqual(state, {kind: 'state', state: JobState.Failed});
    });
  });

  describe('whose start is not answered', () => {
    // The caller waits a little longer. The order is carried out 2.5 s late, after the coordinator
    // has given up on it; a start elsewhere in the meantime would run the task twice.
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
      assert.deepEqual(overlappingRuns(deployment.begunRuns()), []);
      const done = deployment
        .begunRuns()
        .filter(run => run.end === RunEnd.Done);
      assert.equal(done.length, 4);
    });

    // The start was carried out and only its answer was lost: the next try finds it there.
    it('runs once when only the answer was lost', async () => {
      const deployment = new TestDeployment(1);
      const daemon = await deployment.startDaemon('one');
      daemon.workers.setFault('worker-0', WorkerFault.AnswersLost);
      await submitted(deployment, daemon, job('a'));
      await deployment.run(8_000);
      assert.equal(deployment.begunRuns().length, 1);
    });
  });

  describe('on a worker that is cut off', () => {
    // The caller gets the answer late. The worker runs on behind the cut until its lease is over;
    // only then may the task start elsewhere.
    it('starts elsewhere only after the lease is over', async () => {
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
      const [first] = deployment.begunRuns();
      daemon.workers.setFault(first.worker, WorkerFault.Cut);
      await deployment.run(20_000);
      assert.deepEqual(overlappingRuns(deployment.begunRuns()), []);
      assert.equal(deployment.begunRuns().length, 2);
    });
  });

  describe('when its coordinator is killed', () => {
    // Callers see nothing but a pause. The next coordinator learns from the store which runs may be
    // alive, takes them up on the workers and starts none of them again.
    it('goes on under the next one', async () => {
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
      const runs = deployment.begunRuns();
      assert.equal(runs.length, 4);
      assert.ok(runs.every(run => run.end === RunEnd.Done));
      const state = await deployment.answerOf(second, 'long');
      assert.deepEqual(state, {
        kind: 'state',
        state: JobState.Completed,
      });
    });

    // The killed coordinator had ordered a start that reaches a worker late; by then the next one
    // has shown its token there, and the worker refuses the old order.
    it('is not started by an order of the old one that comes late', async () => {
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
      assert.deepEqual(overlappingRuns(deployment.begunRuns()), []);
      assert.equal(
        deployment.begunRuns().filter(run => run.end === RunEnd.Done).length,
        2,
      );
    });
  });
});

describe('a submission', () => {
  describe('while the store refuses', () => {
    it('is refused at once, and never runs', async () => {
      const deployment = new TestDeployment(1);
      const daemon = await deployment.startDaemon('one');
      daemon.store.setFault(StoreFault.Refusing);
      const answer = daemon.desk.submit(job('a'), BOUND);
      await deployment.run(700);
      assert.equal(await answer, SubmitAnswer.Refused);
      daemon.store.setFault(undefined);
      await deployment.run(10_000);
      assert.equal(deployment.begunRuns().length, 0);
    });
  });

  describe('during an outage that resets connections', () => {
    // Many callers ask while each append is reset. Only the one that finds out whether the store is
    // back may be in doubt; all others hear for certain that they were not taken.
    it('leaves one caller in doubt and refuses the others', async () => {
      const deployment = new TestDeployment(1);
      const daemon = await deployment.startDaemon('one');
      daemon.store.setFault(StoreFault.Silent);
      const first = daemon.desk.submit(job('first'), BOUND);
      await deployment.run(1_600);
      const others = ['a', 'b', 'c', 'd'].map(id =>
        daemon.desk.submit(job(id), BOUND),
      );
      await deployment.run(3_000);
      assert.equal(await first, SubmitAnswer.Unknown);
      assert.deepEqual(
        await Promise.all(others),
        others.map(() => SubmitAnswer.Refused),
      );
    });
  });

  describe('whose append is not answered', () => {
    // The append is carried out seconds later. A caller who had been told that the job was not taken
    // would hand it in again under another name.
    it('is said to be in doubt, not refused', async () => {
      const deployment = new TestDeployment(1);
      const daemon = await deployment.startDaemon('one');
      daemon.store.setFault(StoreFault.DoneLate);
      const answer = daemon.desk.submit(job('a'), BOUND);
      await deployment.run(3_100);
      assert.equal(await answer, SubmitAnswer.Unknown);
    });

    // The store is silent: each append hangs for longer than the caller still waits. The caller must
    // hear in time that the outcome is open, or it finds out only by its own clock.
    it('is answered before the caller stops waiting', async () => {
      const deployment = new TestDeployment(1);
      const daemon = await deployment.startDaemon('one');
      daemon.store.setFault(StoreFault.Silent);
      let answer: SubmitAnswer | undefined;
      void daemon.desk.submit(job('a'), BOUND).then(given => {
        answer = given;
      });
      await deployment.run(BOUND - 200);
      assert.equal(answer, SubmitAnswer.Unknown);
    });

    // The second try is refused for certain, but the first may still be carried out.
    it('stays in doubt when a second try is refused', async () => {
      const deployment = new TestDeployment(1);
      const daemon = await deployment.startDaemon('one');
      daemon.store.setFault(StoreFault.Silent);
      const first = daemon.desk.submit(job('a'), BOUND);
      await deployment.run(3_100);
      await first;
      daemon.store.setFault(StoreFault.Refusing);
      const second = daemon.desk.submit(job('a'), BOUND);
      await deployment.run(1_000);
      assert.equal(await second, SubmitAnswer.Unknown);
    });
  });

  describe('that comes again after its job has ended', () => {
    it('is taken and does not run again', async () => {
      const deployment = new TestDeployment(1);
      const daemon = new TestDaemon(deployment, 'one');
      const other = new TestDaemon(deployment, 'two');
      daemon.start();
      await deployment.run(200);
      await submitted(deployment, daemon, job('a'));
      await deployment.run(3_000);
      const answers = await submitted(deployment, other, job('a'));
      assert.deepEqual(answers, [SubmitAnswer.Taken]);
      await deployment.run(3_000);
      assert.equal(deployment.begunRuns().length, 1);
    });
  });
});

describe('a cancellation', () => {
  it('stops what runs and starts nothing more', async () => {
    const deployment = new TestDeployment(2);
    deployment.behaviours.set(
      'long',
      behaviour({durationMilliseconds: 60_000}),
    );
    const daemon = await deployment.startDaemon('one');
    await submitted(deployment, daemon, job('long', [step({taskCount: 20})]));
    await deployment.run(500);
    const answer = daemon.desk.cancel('long', BOUND, ANY_CALLER);
    await deployment.run(2_000);
    assert.deepEqual(await answer, {
      kind: 'state',
      state: JobState.Cancelled,
    });
    const alive = deployment
      .begunRuns()
      .filter(run => run.endedAt === undefined);
    assert.deepEqual(alive, []);
    const before = deployment.begunRuns().length;
    await deployment.run(3_000);
    assert.equal(deployment.begunRuns().length, before);
  });

  // The caller cancels right after its submission was answered. The daemon has read the log a moment
  // before the submission was appended; going by that, it would say that there is no such job, and
  // the job would run on.
  it('finds a job that was handed in a moment ago elsewhere', async () => {
    const deployment = new TestDeployment(1);
    const daemon = new TestDaemon(deployment, 'one');
    const other = new TestDaemon(deployment, 'two');
    daemon.start();
    await deployment.run(200);
    const warm = other.desk.state('nobody', ANY_CALLER);
    await deployment.run(10);
    await warm;
    const submission = daemon.desk.submit(job('a'), BOUND);
    await deployment.run(5);
    assert.equal(await submission, SubmitAnswer.Taken);
    const answer = other.desk.cancel('a', BOUND, ANY_CALLER);
    await deployment.run(50);
    assert.deepEqual(await answer, {
      kind: 'state',
      state: JobState.Cancelled,
    });
  });

  it('of a job that nobody handed in is answered as absent', async () => {
    const deployment = new TestDeployment(1);
    const daemon = await deployment.startDaemon('one');
    const answer = daemon.desk.cancel('nobody', BOUND, ANY_CALLER);
    await deployment.run(100);
    assert.deepEqual(await answer, {kind: 'absent'});
  });
});
