import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {JobRecordKind, JobState, encodeJobRecord} from '@gentiandoor/jobs';
import {NO_LIMIT, type Caller} from '@gentiandoor/organisations';
import {
  LogStream,
  MAXIMUM_EARLY_CANCELLATIONS,
  SubmitAnswer,
  submissionPartition,
  type JobAnswer,
} from '../index.js';
import {StoreFault} from '../stand-ins/index.js';
import {
  ANY_CALLER,
  QUEUE,
  TestDeployment,
  behaviour,
  job,
  type TestDaemon,
} from './deployment.js';

const TIMEOUT = 3_000;
const JOB = 'overtaken';
const TASK_MILLISECONDS = 9_000;
/** The longest time after which the store of a test still executes an append. */
const SETTLED_MILLISECONDS = 15_000;
/** Time to read a cancellation and to stop a run. */
const STOP_MILLISECONDS = 500;

/** A coordinator and a second daemon, which submissions go to. */
class TwoDaemons {
  private answeredAt = Infinity;

  private constructor(
    readonly deployment: TestDeployment,
    readonly coordinator: TestDaemon,
    readonly intake: TestDaemon,
  ) {}

  static async start(deployment = new TestDeployment(2)): Promise<TwoDaemons> {
    const coordinator = await deployment.startDaemon('one');
    const intake = await deployment.startDaemon('two');
    deployment.behaviours.set(
      JOB,
      behaviour({durationMilliseconds: TASK_MILLISECONDS}),
    );
    return new TwoDaemons(deployment, coordinator, intake);
  }

  submit(): Promise<SubmitAnswer> {
    return this.intake.jobIntake.submit(job(JOB), TIMEOUT);
  }

  /** Cancels the job at a daemon, by default at the one to which it was not submitted. */
  async cancel(
    daemon = this.coordinator,
    caller = ANY_CALLER,
  ): Promise<JobAnswer> {
    const answer = daemon.jobIntake.cancel(JOB, TIMEOUT, caller);
    void answer.then(() => {
      this.answeredAt = this.deployment.clock.monotonicMilliseconds();
    });
    await this.deployment.run(TIMEOUT);
    return answer;
  }

  /** Asserts that no task of the job starts after the answer to the last cancellation or runs on. */
  async assertStoppedSinceAnswer(): Promise<void> {
    await this.deployment.run(SETTLED_MILLISECONDS);
    for (const {
      startedAt,
      endedAt = Infinity,
    } of this.deployment.startedRuns()) {
      assert.ok(startedAt <= this.answeredAt);
      assert.ok(endedAt <= this.answeredAt + STOP_MILLISECONDS);
    }
  }

  /** Asserts that no task of the job ran. */
  async assertNeverRuns(): Promise<void> {
    await this.deployment.run(SETTLED_MILLISECONDS);
    assert.deepEqual(this.deployment.startedRuns(), []);
  }
}

function setIntakeFault({intake}: TwoDaemons, fault?: StoreFault): void {
  intake.store.setFault(fault, LogStream.Submissions);
}

// A cancellation of a job that the store did not hold yet was answered as if there were no job,
// and the job ran to its end once the store held it.
describe('a cancellation that overtakes its submission', () => {
  for (const cancelledAfter of [100, 1_000, 2_000, 2_900])
    it(`keeps a job from running whose submission the store executes late, cancelled after ${cancelledAfter} ms`, async () => {
      const daemons = await TwoDaemons.start();
      setIntakeFault(daemons, StoreFault.DoneLate);
      const submitted = daemons.submit();
      await daemons.deployment.run(cancelledAfter);
      assert.equal((await daemons.cancel()).kind, 'absent');
      assert.equal(await submitted, SubmitAnswer.Unknown);
      await daemons.assertNeverRuns();
    });

  for (const fault of [StoreFault.Refusing, StoreFault.Silent])
    it(`keeps a job from running whose daemon reaches the store later, store ${fault}`, async () => {
      const daemons = await TwoDaemons.start();
      setIntakeFault(daemons, fault);
      void daemons.submit();
      await daemons.deployment.run(100);
      const cancelled = daemons.coordinator.jobIntake.cancel(
        JOB,
        TIMEOUT,
        ANY_CALLER,
      );
      await daemons.deployment.run(250);
      setIntakeFault(daemons);
      await cancelled;
      await daemons.assertNeverRuns();
    });

  for (const appendMilliseconds of [200, 1_000])
    it(`stops a job while appends take ${appendMilliseconds} ms`, async () => {
      const daemons = await TwoDaemons.start();
      daemons.deployment.store.appendMilliseconds = appendMilliseconds;
      void daemons.submit();
      await daemons.deployment.run(50);
      assert.notEqual((await daemons.cancel()).kind, 'unavailable');
      daemons.deployment.store.appendMilliseconds = 0;
      await daemons.assertStoppedSinceAnswer();
    });

  it('keeps a copy of the submission from running that arrives after it', async () => {
    const daemons = await TwoDaemons.start();
    assert.equal((await daemons.cancel()).kind, 'absent');
    const submitted = daemons.submit();
    await daemons.assertNeverRuns();
    assert.equal(await submitted, SubmitAnswer.Accepted);
    const answer = await daemons.deployment.answerOf(daemons.intake, JOB);
    assert.deepEqual(answer, {kind: 'state', state: JobState.Cancelled});
  });

  it('keeps the job from running with a coordinator that takes over later', async () => {
    const daemons = await TwoDaemons.start();
    setIntakeFault(daemons, StoreFault.DoneLate);
    void daemons.submit();
    await daemons.deployment.run(100);
    await daemons.cancel();
    daemons.coordinator.kill();
    await daemons.assertNeverRuns();
  });

  it('is answered at the daemon whose submission is in doubt', async () => {
    const daemons = await TwoDaemons.start();
    setIntakeFault(daemons, StoreFault.Silent);
    const submitted = daemons.submit();
    await daemons.deployment.run(TIMEOUT);
    assert.equal(await submitted, SubmitAnswer.Unknown);
    setIntakeFault(daemons);
    await daemons.deployment.run(1_000);
    assert.equal((await daemons.cancel(daemons.intake)).kind, 'absent');
  });

  it('is not acknowledged while the store does not confirm it', async () => {
    const daemons = await TwoDaemons.start();
    const {coordinator} = daemons;
    coordinator.store.setFault(StoreFault.AnswersLost, LogStream.Submissions);
    assert.equal((await daemons.cancel()).kind, 'unavailable');
  });
});

describe('a cancellation of an id that nobody has submitted', () => {
  it('is dropped from the store once no submission can come that late', async () => {
    const daemons = await TwoDaemons.start();
    await daemons.cancel();
    const {limits} = daemons.coordinator.parts.settings;
    const {table} = daemons.coordinator;
    await daemons.deployment.run(limits.stateRetentionMilliseconds);
    assert.equal(table.earlyCancellationTotal, 1);
    await daemons.deployment.run(2 * limits.stateRetentionMilliseconds);
    assert.equal(table.earlyCancellationTotal, 0);
  });

  // Without a bound, a stream of cancellations of unknown ids fills the store for all.
  it('is not accepted beyond the limit, and other callers still cancel', async () => {
    const daemons = await TwoDaemons.start();
    for (let index = 0; index < MAXIMUM_EARLY_CANCELLATIONS; index++)
      daemons.coordinator.table.apply(
        encodeJobRecord({
          kind: JobRecordKind.EarlyCancellation,
          jobId: `unknown-${index}`,
          caller: ANY_CALLER,
        }),
      );
    const {coordinator} = daemons;
    assert.equal((await daemons.cancel()).kind, 'unavailable');
    const other = {...ANY_CALLER, queue: 'reviews'};
    assert.equal((await daemons.cancel(coordinator, other)).kind, 'absent');
  });

  const OWNER: Caller = {
    organisation: 'advisers',
    queue: QUEUE,
    isPublicQueue: false,
  };
  const STRANGER: Caller = {...OWNER, organisation: 'auditors'};

  async function startWithOrganisations(): Promise<TwoDaemons> {
    const deployment = new TestDeployment(2);
    deployment.organisations = ['advisers', 'auditors'].map(name => ({
      name,
      keyDigests: [],
      weight: 1,
      limit: NO_LIMIT,
    }));
    deployment.publishConfiguration(2);
    return TwoDaemons.start(deployment);
  }

  function submitAsOwner({intake}: TwoDaemons): Promise<SubmitAnswer> {
    const owned = {...job(JOB), organisation: OWNER.organisation};
    return intake.jobIntake.submit(owned, TIMEOUT);
  }

  // An organisation that guesses an id must not be able to keep another's job out.
  it('does not keep the job of another organisation from running', async () => {
    const daemons = await startWithOrganisations();
    await daemons.cancel(daemons.coordinator, STRANGER);
    void submitAsOwner(daemons);
    await daemons.deployment.run(SETTLED_MILLISECONDS);
    assert.equal(daemons.deployment.startedRuns().length, 1);
  });

  // The cancellation of a stranger must not take the place of the owner's.
  it('holds beside the cancellation of another organisation', async () => {
    const daemons = await startWithOrganisations();
    await daemons.cancel(daemons.coordinator, OWNER);
    await daemons.cancel(daemons.coordinator, STRANGER);
    daemons.deployment.store.forgetHistory(LogStream.Submissions);
    void submitAsOwner(daemons);
    await daemons.assertNeverRuns();
  });

  // What the caller is told, and what is stored, must not tell that another's job exists.
  it('is handled alike whether another organisation has a job of that id', async () => {
    const daemons = await startWithOrganisations();
    const {coordinator, deployment} = daemons;
    const cancelAsStranger = async () => {
      const stored = () =>
        deployment.store.history(
          LogStream.Submissions,
          submissionPartition(JOB),
        ).length;
      const before = stored();
      const answer = await daemons.cancel(coordinator, STRANGER);
      return {answer, records: stored() - before};
    };
    const unknown = await cancelAsStranger();
    void submitAsOwner(daemons);
    await deployment.run(SETTLED_MILLISECONDS);
    assert.deepEqual(await cancelAsStranger(), unknown);
  });
});
