import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {JobState, type StepSpecification} from '@gentiandoor/jobs';
import {SeededRandom} from '@gentiandoor/kernel';
import {LogStream} from '../index.js';
import {startsAfterCrashes} from '../stand-ins/index.js';
import {
  TestDaemon,
  TestDeployment,
  behaviour,
  job,
  step,
} from './deployment.js';

const TIMEOUT = 3_000;
const CRASH = behaviour({crashesAfterMilliseconds: 10});
const TASK = 'bad.0.0.0';
/** Maximum number of starts after three workers have crashed while running a task. */
const MAXIMUM_STARTS_AFTER_THREE = 2;
const CRASH_GAP_MILLISECONDS = 1_500;

function assertBounded(deployment: TestDeployment, task = TASK): void {
  const starts = startsAfterCrashes(deployment.startedRuns(), task, 3);
  assert.ok(starts <= MAXIMUM_STARTS_AFTER_THREE, `${task}: ${starts} starts`);
}

async function assertState(
  deployment: TestDeployment,
  daemon: TestDaemon,
  id: string,
  state: JobState,
): Promise<void> {
  const found = await deployment.answerOf(daemon, id);
  assert.deepEqual(found, {kind: 'state', state}, id);
}

function submit(
  daemon: TestDaemon,
  id: string,
  overrides: Partial<StepSpecification> = {},
): void {
  void daemon.jobIntake.submit(job(id, [step(overrides)]), TIMEOUT);
}

function crashOneOf(deployment: TestDeployment, random: SeededRandom): void {
  const alive = [...deployment.fleet.vms.values()].filter(
    vm => deployment.worker(vm.workerId)?.isDead === false,
  );
  const vm = alive[random.nextInteger(alive.length)];
  if (vm) deployment.crashWorker(vm.workerId);
}

function ids(prefix: string, count: number): string[] {
  return Array.from({length: count}, (_, index) => `${prefix}-${index}`);
}

describe('a task that crashes its workers', () => {
  // Guards against a task that crashes one worker after the other without end.
  it('is given up, and its job is shown as failed', async () => {
    const deployment = new TestDeployment(4);
    deployment.behaviours.set(TASK, CRASH);
    const daemon = await deployment.startDaemon('one');
    submit(daemon, 'bad', {taskCount: 3});
    await deployment.run(20_000);
    assertBounded(deployment);
    await assertState(deployment, daemon, 'bad', JobState.Failed);
  });

  // Guards against a new coordinator that counts crashes from zero.
  it('is given up when each coordinator is killed right after its crash', async () => {
    const deployment = new TestDeployment(4);
    deployment.behaviours.set(TASK, CRASH);
    let daemon = await deployment.startDaemon('one');
    submit(daemon, 'bad');
    for (let incarnation = 2; incarnation < 12; incarnation++) {
      await deployment.run(40);
      daemon.kill();
      daemon = new TestDaemon(deployment, 'one', String(incarnation));
      daemon.start();
      await deployment.run(3_000);
    }
    await deployment.run(5_000);
    assertBounded(deployment);
    await assertState(deployment, daemon, 'bad', JobState.Failed);
  });

  // Guards against counting only the crashes right after a start.
  it('is given up when it crashes late in its run', async () => {
    const deployment = new TestDeployment(4);
    deployment.behaviours.set(
      TASK,
      behaviour({crashesAfterMilliseconds: 2_500}),
    );
    const daemon = await deployment.startDaemon('one');
    submit(daemon, 'bad');
    await deployment.run(30_000);
    assertBounded(deployment);
    await assertState(deployment, daemon, 'bad', JobState.Failed);
  });

  for (const [kind, differences] of [
    ['that is long-running', {longRunning: true}],
    ['of a gang', {gang: true}],
    ['that saves checkpoints', {checkpointing: true}],
  ] as const)
    // Guards against a kind of task whose crashes are not counted.
    it(`is given up when it is one ${kind}`, async () => {
      const deployment = new TestDeployment(4);
      deployment.behaviours.set(TASK, CRASH);
      const daemon = await deployment.startDaemon('one');
      submit(daemon, 'bad', differences);
      await deployment.run(30_000);
      assertBounded(deployment);
      await assertState(deployment, daemon, 'bad', JobState.Failed);
    });

  // Guards against giving up jobs because of a task that runs on the same worker.
  it('does not make other jobs fail', async () => {
    const deployment = new TestDeployment(3);
    deployment.behaviours.set(TASK, CRASH);
    const daemon = await deployment.startDaemon('one');
    const sound = ids('sound', 4);
    submit(daemon, 'bad');
    for (const id of sound) submit(daemon, id, {taskCount: 2});
    await deployment.run(20_000);
    assertBounded(deployment);
    await assertState(deployment, daemon, 'bad', JobState.Failed);
    for (const id of sound)
      await assertState(deployment, daemon, id, JobState.Completed);
  });

  // Guards against a pool with one worker at a time, where all waiting tasks start
  // together again.
  it('does not make other jobs fail on a single worker', async () => {
    const deployment = new TestDeployment(1);
    deployment.behaviours.set(TASK, CRASH);
    const daemon = await deployment.startDaemon('one');
    const sound = ids('sound', 3);
    submit(daemon, 'bad');
    for (const id of sound) submit(daemon, id);
    await deployment.run(30_000);
    assertBounded(deployment);
    for (const id of sound)
      await assertState(deployment, daemon, id, JobState.Completed);
  });

  // Guards against many such jobs, among healthy ones of the same queue.
  it('is given up among many others of its kind, and healthy jobs are not', async () => {
    const deployment = new TestDeployment(8);
    const bad = ids('bad', 12);
    const sound = ids('sound', 24);
    for (const id of bad) deployment.behaviours.set(`${id}.0.0.0`, CRASH);
    const daemon = await deployment.startDaemon('one');
    for (let index = 0; index < sound.length; index++) {
      submit(daemon, sound[index], {taskCount: 2});
      if (index < bad.length) submit(daemon, bad[index], {taskCount: 2});
      await deployment.run(300);
    }
    await deployment.run(60_000);
    for (const id of bad) {
      assertBounded(deployment, `${id}.0.0.0`);
      await assertState(deployment, daemon, id, JobState.Failed);
    }
    for (const id of sound)
      await assertState(deployment, daemon, id, JobState.Completed);
  });
});

// A VM that goes down and up by turns counted as evidence against the lasting task that only it may
// run, and the job was shown as failed though no run of it had failed.
describe('a worker that crashes again and again', () => {
  for (const reportsStart of [false, true])
    it(`does not end the lasting job that needs it (${reportsStart ? 'same' : 'new'} id)`, async () => {
      const deployment = new TestDeployment(3, reportsStart);
      const vm = deployment.fleet.vms.get('worker-0')!;
      const labels = ['rack-1', 'rare'];
      const label = () => {
        const {workerId} = deployment.fleet.vms.get(vm.name)!;
        const worker = deployment.worker(workerId);
        if (!worker || worker.isDead) return;
        deployment.store.write(LogStream.Workers, {
          key: worker.id,
          value: Buffer.from(JSON.stringify(worker.entry(labels))),
        });
      };
      deployment.fleet.add({...vm, labels});
      label();
      const daemon = await deployment.startDaemon('one');
      await deployment.startLongRunningJob(daemon, {requiredLabel: 'rare'});
      for (let crash = 0; crash < 10; crash++) {
        deployment.crashWorker(deployment.fleet.vms.get(vm.name)!.workerId);
        await deployment.run(1_050);
        label();
        await deployment.run(2_500);
      }
      await deployment.run(20_000);
      await assertState(deployment, daemon, 'lasting', JobState.Running);
      const starts = deployment.startedRuns().length;
      assert.ok(starts > 5, `${starts} starts`);
    });
});

describe('workers that crash one after the other for other reasons', () => {
  // Guards against giving up jobs for crashes that no task has caused.
  for (const seed of [1, 2, 3, 4, 5, 6])
    it(`cause no job to be given up with seed ${seed}`, async () => {
      const deployment = new TestDeployment(8);
      const random = new SeededRandom(seed);
      const daemon = await deployment.startDaemon('one');
      await deployment.startLongRunningJob(daemon, {
        taskCount: 6,
        maximumPerWorker: 1,
      });
      const short = ids('short', 30);
      for (const id of short) {
        deployment.behaviours.set(id, behaviour({durationMilliseconds: 800}));
        submit(daemon, id, {taskCount: 3});
        await deployment.run(CRASH_GAP_MILLISECONDS);
        crashOneOf(deployment, random);
      }
      await deployment.run(15_000);
      for (const id of short)
        await assertState(deployment, daemon, id, JobState.Completed);
      await assertState(deployment, daemon, 'lasting', JobState.Running);
    });
});
