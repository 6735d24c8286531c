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

const TIMEOUT = 3_000;

async function stateOf(
  deployment: TestDeployment,
  daemon: TestDaemon,
  id: string,
): Promise<JobState | undefined> {
  const found = await deployment.answerOf(daemon, id);
  return found.kind === 'state' ? found.state : undefined;
}

describe('a faulty worker', () => {
  describe('whose tasks stall while it responds', () => {
    // The worker lists the run with the same progress at each poll, its lease is renewed
    // with it, and nothing else looks wrong: the caller never gets a result.
    it('loses them to a healthy worker', async () => {
      const deployment = new TestDeployment(2);
      deployment.workerBehaviours.set('worker-0', {stallsAtPercent: 40});
      deployment.workerBehaviours.set('worker-1', {stallsAtPercent: 40});
      const daemon = await deployment.startDaemon('one');
      void daemon.jobIntake.submit(job('a'), TIMEOUT);
      await deployment.run(600);
      const [first] = deployment.startedRuns();
      const sound = first.worker === 'worker-0' ? 'worker-1' : 'worker-0';
      deployment.workerBehaviours.delete(sound);
      await deployment.run(3_400);
      assert.equal(await stateOf(deployment, daemon, 'a'), JobState.Completed);
    });

    // A caller's estimate is too low by a factor of a hundred: one percent of the task
    // takes longer than the time after which a run counts as stalled. Stopped on each
    // worker in turn, it would never end.
    it('keeps a task that takes far longer than its estimate', async () => {
      const deployment = new TestDeployment(4);
      deployment.behaviours.set('a', behaviour({durationMilliseconds: 90_000}));
      const daemon = await deployment.startDaemon('one');
      void daemon.jobIntake.submit(job('a'), TIMEOUT);
      await deployment.run(110_000);
      assert.equal(await stateOf(deployment, daemon, 'a'), JobState.Completed);
      assert.ok(deployment.startedRuns().length <= 3);
    });

    // A slow but healthy worker must not lose its runs: each stop discards work.
    it('keeps them when they are only slow', async () => {
      const deployment = new TestDeployment(1);
      deployment.workerBehaviours.set('worker-0', {
        durationMilliseconds: 4_000,
      });
      const daemon = await deployment.startDaemon('one');
      void daemon.jobIntake.submit(job('a'), TIMEOUT);
      await deployment.run(5_000);
      assert.equal(await stateOf(deployment, daemon, 'a'), JobState.Completed);
      assert.equal(deployment.startedRuns().length, 1);
    });
  });

  describe('that immediately fails all it starts', () => {
    // All healthy workers are full while the faulty one always has capacity, so each
    // waiting task goes there repeatedly until it has no attempts left. Callers' jobs end
    // as failed.
    it('uses up no job’s attempts while the healthy workers are full', async () => {
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
        void daemon.jobIntake.submit(job(id, [step({taskCount: 1})]), TIMEOUT);
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
