import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {JobRecordKind, encodeJobRecord} from '@gentiandoor/jobs';
import {NO_LIMIT, type Caller} from '@gentiandoor/organisations';
import {
  LogStream,
  MAXIMUM_EARLY_CANCELLATIONS,
  SubmitAnswer,
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
const JOB = 'cancelled_early';
/** The longest time after which the store of a test still executes an append. */
const SETTLED_MILLISECONDS = 15_000;
/** Longer than the interval in which expired records are dropped. */
const SWEEP_MILLISECONDS = 11_000;

const OWNER: Caller = {
  organisation: 'advisers',
  queue: QUEUE,
  isPublicQueue: false,
};
const STRANGER: Caller = {...OWNER, organisation: 'auditors'};

interface TwoDaemons {
  readonly deployment: TestDeployment;
  readonly coordinator: TestDaemon;
  readonly intake: TestDaemon;
  /** How long an early cancellation is kept. */
  readonly keptMilliseconds: number;
}

async function startTwoDaemons(
  deployment = new TestDeployment(2),
): Promise<TwoDaemons> {
  const coordinator = await deployment.startDaemon('one');
  const intake = await deployment.startDaemon('two');
  deployment.behaviours.set(JOB, behaviour({durationMilliseconds: 9_000}));
  const {limits} = coordinator.parts.settings;
  const keptMilliseconds = 2 * limits.stateRetentionMilliseconds;
  return {deployment, coordinator, intake, keptMilliseconds};
}

async function startWithOrganisations(): Promise<TwoDaemons> {
  const deployment = new TestDeployment(2);
  deployment.organisations = ['advisers', 'auditors'].map(name => ({
    name,
    keyDigests: [],
    weight: 1,
    limit: NO_LIMIT,
  }));
  deployment.publishConfiguration(2);
  return startTwoDaemons(deployment);
}

/** Cancels the job and returns the kind of the answer. */
async function cancel(
  {deployment}: TwoDaemons,
  daemon: TestDaemon,
  caller = ANY_CALLER,
): Promise<string> {
  const answer = daemon.jobIntake.cancel(JOB, TIMEOUT, caller);
  await deployment.run(TIMEOUT);
  return (await answer).kind;
}

describe('an early cancellation', () => {
  // The second of two cancellations was acknowledged and dropped with the first.
  it('is kept as long as usual from when it was repeated', async () => {
    const daemons = await startTwoDaemons();
    const {deployment, coordinator, intake, keptMilliseconds} = daemons;
    await cancel(daemons, coordinator);
    await deployment.run(keptMilliseconds - SWEEP_MILLISECONDS);
    assert.equal(await cancel(daemons, coordinator), 'absent');
    await deployment.run(2 * SWEEP_MILLISECONDS);
    void intake.jobIntake.submit(job(JOB), TIMEOUT);
    await deployment.run(SETTLED_MILLISECONDS);
    assert.deepEqual(deployment.startedRuns(), []);
  });

  // One that could not be dropped at its time stayed for the rest of the term.
  it('is dropped later if the store takes no append at its time', async () => {
    const daemons = await startTwoDaemons();
    const {deployment, coordinator, keptMilliseconds} = daemons;
    await cancel(daemons, coordinator);
    await deployment.run(keptMilliseconds - SWEEP_MILLISECONDS);
    coordinator.store.setFault(StoreFault.Refusing, LogStream.Submissions);
    await deployment.run(4 * SWEEP_MILLISECONDS);
    coordinator.store.setFault(undefined);
    await deployment.run(2 * keptMilliseconds);
    assert.deepEqual([...coordinator.table.earlyCancellationNames()], []);
  });

  // A daemon that had missed the drop counted it, and applied it, until it was restarted.
  it('is forgotten by a daemon whose history of the store has a gap', async () => {
    const daemons = await startTwoDaemons();
    const {deployment, coordinator, intake, keptMilliseconds} = daemons;
    await cancel(daemons, coordinator);
    void intake.jobs.refresh();
    await deployment.run(1_000);
    assert.equal([...intake.table.earlyCancellationNames()].length, 1);
    intake.store.setFault(StoreFault.Refusing);
    await deployment.run(keptMilliseconds + SWEEP_MILLISECONDS);
    deployment.store.forgetHistory(LogStream.Submissions);
    intake.store.setFault(undefined);
    void intake.jobs.refresh();
    await deployment.run(SETTLED_MILLISECONDS);
    assert.deepEqual([...coordinator.table.earlyCancellationNames()], []);
    assert.deepEqual([...intake.table.earlyCancellationNames()], []);
  });

  // The owner was told that there is no such job while its submission was still under way.
  it('of a stranger leaves the submission of the owner in doubt', async () => {
    const daemons = await startWithOrganisations();
    const {deployment, intake} = daemons;
    intake.store.setFault(StoreFault.Silent, LogStream.Submissions);
    const owned = {...job(JOB), organisation: OWNER.organisation};
    const submitted = intake.jobIntake.submit(owned, TIMEOUT);
    await deployment.run(TIMEOUT);
    assert.equal(await submitted, SubmitAnswer.Unknown);
    intake.store.setFault(undefined);
    await deployment.run(1_000);
    await cancel(daemons, intake, STRANGER);
    const state = intake.jobIntake.state(JOB, OWNER);
    await deployment.run(1_000);
    assert.deepEqual(await state, {kind: 'unavailable'});
  });

  // The limit was compared with what the store had confirmed, so calls at once all passed it.
  it('is not accepted beyond the limit if many arrive at once', async () => {
    const daemons = await startTwoDaemons();
    const {deployment, coordinator} = daemons;
    for (let index = 0; index < 1.2 * MAXIMUM_EARLY_CANCELLATIONS; index++)
      void coordinator.jobIntake.cancel(
        `unknown-${index}`,
        TIMEOUT,
        ANY_CALLER,
      );
    await deployment.run(SETTLED_MILLISECONDS);
    const count = coordinator.table.earlyCancellationCount(ANY_CALLER);
    assert.ok(count <= MAXIMUM_EARLY_CANCELLATIONS, `${count} were stored`);
  });

  // A caller whose answer was lost was refused when it asked again.
  it('that is stored already is confirmed again at the limit', async () => {
    const daemons = await startTwoDaemons();
    const {coordinator} = daemons;
    assert.equal(await cancel(daemons, coordinator), 'absent');
    for (let index = 1; index < MAXIMUM_EARLY_CANCELLATIONS; index++)
      coordinator.table.apply(
        encodeJobRecord({
          kind: JobRecordKind.EarlyCancellation,
          jobId: `unknown-${index}`,
          caller: ANY_CALLER,
        }),
      );
    assert.equal(await cancel(daemons, coordinator), 'absent');
  });
});
