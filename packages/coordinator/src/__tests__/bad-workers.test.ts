import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {JobState, RunEnd} from '@gentiandoor/jobs';
import {
  TestDaemon,
  TestDeployment,
  behaviour,
  job,
  step,
} from './deployment.js';

const BOUND = 3_000;

async function stateOf(
  deployment: TestDeployment,
  daemon: TestDaemon,
  id: string,
): Promise<JobState | undefined> {
  const found = await deployment.answerOf(daemon, id);
  return found.kind === 'state' ? found.state : undefined;
}

describe('a worker at fault', () => {
  describe('whose tasks stand still while it answers', () => {
    // The caller's preview never comes: its worker lists the run with the same progress at each poll,
    // the lease is renewed with it, and nothing else looks wrong.
    it('loses them to a sound worker', async () => {
      const deployment = new TestDeployment(2);
      deployment.workerBehaviours.set('worker-0', {stallsAtPercent: 40});
      deployment.workerBehaviours.set('worker-1', {stallsAtPercent: 40});
      const daemon = await deployment.startDaemon('one');
      void daemon.desk.submit(job('a'), BOUND);
      await deployment.run(600);
      const [first] = deployment.begunRuns();
      const sound = first.worker === 'worker-0' ? 'worker-1' : 'worker-0';
      deployment.workerBehaviours.delete(sound);
      await deployment.run(3_400);
      assert.equal(await stateOf(deployment, daemon, 'a'), JobState.Completed);
    });

    // A caller's estimate is off by a hundred: a percent of the task takes longer than what tells a
    // run that stands still. Stopped on each worker in turn, it would never end.
    it('keeps a task that is far longer than its estimate', async () => {
      const deployment = new TestDeployment(4);
      deployment.behaviours.set('a', behaviour({durationMilliseconds: 90_000}));
      const daemon = await deployment.startDaemon('one');
      void daemon.desk.submit(job('a'), BOUND);
      await deployment.run(110_000);
      assert.equal(await stateOf(deployment, daemon, 'a'), JobState.Completed);
      assert.ok(deployment.begunRuns().length <= 3);
    });

    // A worker that is slow but sound must not lose its runs: each stop throws work away.
    it('keeps them when they are only slow', async () => {
      const deployment = new TestDeployment(1);
      deployment.workerBehaviours.set('worker-0', {
        durationMilliseconds: 4_000,
      });
      const daemon = await deployment.startDaemon('one');
      void daemon.desk.submit(job('a'), BOUND);
      await deployment.run(5_000);
      assert.equal(await stateOf(deployment, daemon, 'a'), JobState.Completed);
      assert.equal(deployment.begunRuns().length, 1);
    });
  });

  describe('that fails all it starts, at once', () => {
    // Callers' jobs end as failed. All sound workers are full, the bad one always has room, so each
    // task that waits goes there, and again, until it has no attempts left.
    it('uses up no job’s attempts while the sound workers are full', async () => {
      const deployment = new TestDeployment(3);
      deployment.behaviours.set(
        'long',
        behaviour({durationMilliseconds: 3_000}),
      );
      deployment.workerBehaviours.set('worker-2', {
        durationMilliseconds: 20,
        end: RunEnd.Failed,
      });
      const daemon = await deployment.startDaemon('one');
      const ids = Array.from({length: 40}, (_, index) => `job-${index}`);
      for (const id of ids) {
        deployment.behaviours.set(id, behaviour({durationMilliseconds: 2_000}));
        void daemon.desk.submit(job(id, [step({taskCount: 1})]), BOUND);
      }
      await deployment.run(15_000);
      for (const id of ids)
        assert.equal(
          await stateOf(deployment, daemon, id),
          JobState.Completed,
          id,
        );
    });
  });
});
