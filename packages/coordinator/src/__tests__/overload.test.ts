import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  TestDaemon,
  TestDeployment,
  behaviour,
  job,
  step,
} from './deployment.js';

const TIMEOUT = 3_000;

async function submit(
  deployment: TestDeployment,
  daemon: TestDaemon,
  jobs: ReadonlyArray<ReturnType<typeof job>>,
): Promise<void> {
  const submittedAtMilliseconds = deployment.clock.wallMilliseconds();
  const answers = jobs.map(one =>
    daemon.jobIntake.submit({...one, submittedAtMilliseconds}, TIMEOUT),
  );
  await deployment.run(50);
  await Promise.all(answers);
}

/** Submits more work than the workers can hold, for some seconds. */
async function overload(
  deployment: TestDeployment,
  daemon: TestDaemon,
  seconds: number,
): Promise<void> {
  for (let second = 0; second < seconds; second++) {
    const jobs = Array.from({length: 24}, (_, index) =>
      job(`short-${deployment.clock.monotonicMilliseconds()}-${index}`, [
        step({taskCount: 4, processorMillicores: 1_000}),
      ]),
    );
    await submit(deployment, daemon, jobs);
    await deployment.run(950);
  }
}

function longRunningJob(id: string, taskCount: number) {
  return job(id, [
    step({
      taskCount,
      longRunning: true,
      maximumPerWorker: 1,
      processorMillicores: 1_000,
    }),
  ]);
}

describe('under overload', () => {
  // A long-running job that has run for seconds loses a task with its worker. The job is
  // older than any objective by then, so its task ranked behind all work that could still
  // be in time, and with work for twice the capacity there was always some: the job made
  // no progress for as long as that lasted.
  it('restarts a long-running task before waiting work', async () => {
    const deployment = new TestDeployment(2);
    deployment.linkFleet();
    deployment.behaviours.set(
      'lasting',
      behaviour({durationMilliseconds: undefined}),
    );
    const daemon = await deployment.startDaemon('one');
    await submit(deployment, daemon, [longRunningJob('lasting', 2)]);
    await overload(deployment, daemon, 12);
    deployment.clock.schedule(300, () => deployment.crashWorker('worker-1'));
    await overload(deployment, daemon, 5);
    const alive = [...deployment.workers.byAddress.values()].flatMap(worker =>
      worker.running.filter(run => run.task.startsWith('lasting')),
    );
    assert.equal(alive.length, 2);
  });

  // Each task of a step that had found all the workers that its limit allows counted as a
  // sign of a full pool, and a dozen ended the round. Callers of short work waited
  // although workers were free.
  it('places other work beside a step that waits for more workers', async () => {
    const deployment = new TestDeployment(2);
    deployment.behaviours.set(
      'lasting',
      behaviour({durationMilliseconds: undefined}),
    );
    const daemon = await deployment.startDaemon('one');
    await submit(deployment, daemon, [longRunningJob('lasting', 20)]);
    await submit(deployment, daemon, [job('short')]);
    await deployment.run(1_000);
    const short = deployment
      .startedRuns()
      .filter(run => run.task.startsWith('short'));
    assert.equal(short.length, 1);
  });
});
