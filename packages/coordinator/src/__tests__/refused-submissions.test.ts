import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {LogStream, SubmitAnswer} from '../index.js';
import {StoreFault} from '../stand-ins/index.js';
import {TestDaemon, TestDeployment, job, step} from './deployment.js';

const TIMEOUT = 3_000;
const JOB = 'refused';
/** The longest time after which the store of a test still executes an append. */
const SETTLED_MILLISECONDS = 15_000;

/** Answers with which the caller is told that the job never runs. */
const REFUSALS: ReadonlySet<SubmitAnswer> = new Set([
  SubmitAnswer.Refused,
  SubmitAnswer.Overloaded,
]);

function assertNotRefusedIfRun(
  deployment: TestDeployment,
  answer: SubmitAnswer,
): void {
  const runs = deployment
    .startedRuns()
    .filter(({task}) => task.startsWith(`${JOB}.`));
  assert.ok(
    runs.length === 0 || !REFUSALS.has(answer),
    `answered ${answer} and run ${runs.length} times`,
  );
}

describe('a submission that is sent again while the first one is under way', () => {
  // The second waited behind the append of the first, was answered that the job never runs, and the
  // first was stored.
  for (const [store, setUp] of [
    ['slow', ({store}: TestDeployment) => (store.appendMilliseconds = 1_500)],
    [
      'late',
      (_: TestDeployment, daemon: TestDaemon) =>
        daemon.store.setFault(StoreFault.DoneLate, LogStream.Submissions),
    ],
  ] as const)
    it(`is not refused by the same daemon, store ${store}`, async () => {
      const deployment = new TestDeployment(2);
      const daemon = await deployment.startDaemon('one');
      setUp(deployment, daemon);
      void daemon.jobIntake.submit(job(JOB), TIMEOUT);
      await deployment.run(100);
      const second = daemon.jobIntake.submit(job(JOB), TIMEOUT);
      await deployment.run(TIMEOUT);
      deployment.store.appendMilliseconds = 0;
      await deployment.run(SETTLED_MILLISECONDS);
      assertNotRefusedIfRun(deployment, await second);
    });

  // A daemon under overload had read that nothing was stored, and the first was stored later.
  it('is not refused by another daemon for overload', async () => {
    const deployment = new TestDeployment(1);
    const feeder = new TestDaemon(deployment, 'feeder');
    feeder.startIntakeOnly();
    const late = new TestDaemon(deployment, 'late');
    late.startIntakeOnly();
    deployment.isAdmissionControlled = true;
    await deployment.startDaemon('one');
    const daemon = new TestDaemon(deployment, 'two');
    daemon.startIntakeOnly();
    void daemon.jobs.refresh();
    await deployment.run(100);
    const submittedJob = (id: string, taskCount: number) => ({
      ...job(id, [step({taskCount})]),
      submittedAtMilliseconds: deployment.clock.wallMilliseconds(),
    });
    late.store.setFault(StoreFault.DoneLate, LogStream.Submissions);
    for (let index = 0; index < 750; index++) {
      void feeder.jobIntake.submit(submittedJob(`load-${index}`, 1), TIMEOUT);
      if (index % 30 === 29) await deployment.run(100);
    }
    void late.jobIntake.submit(submittedJob(JOB, 4), TIMEOUT);
    await deployment.run(500);
    const second = daemon.jobIntake.submit(submittedJob(JOB, 4), TIMEOUT);
    await deployment.run(120_000);
    assert.equal(await second, SubmitAnswer.Overloaded);
    assertNotRefusedIfRun(deployment, await second);
  });
});
