import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {JobState, RunEnd} from '@gentiandoor/jobs';
import {LogEvent, MemoryMetrics, MetricName} from '@gentiandoor/kernel';
import {LogStream, WorkerState} from '../index.js';
import {
  SimulatedWorker,
  StoreFault,
  WorkerFault,
  overlappingRuns,
  startsAfterCrashes,
  type StartedRun,
} from '../stand-ins/index.js';
import {
  LASTING_JOB,
  SERVICE,
  TestDeployment,
  behaviour,
  job,
  type TestDaemon,
} from './deployment.js';

const TIMEOUT = 3_000;
const WORKER = 'worker-0';
/** Longest time until a long-running task runs again after one of its runs ended. */
const RUNNING_AGAIN_MILLISECONDS = 3_000;
/** Interval at which a worker publishes its entry. */
const HEARTBEAT_MILLISECONDS = 1_500;
const SHORT_MILLISECONDS = 100;
/** Until the next term begins, an order can no longer be carried out, and the task is started. */
const LATEST_START_MILLISECONDS = 1_500 + 12_000 + 1_500;

function endsOf(daemon: TestDaemon, end: RunEnd): number {
  const metrics = daemon.parts.metrics as MemoryMetrics;
  return metrics.value(MetricName.RunEnds, {end}) ?? 0;
}

function runsOf(deployment: TestDeployment, jobId: string): StartedRun[] {
  return deployment
    .startedRuns()
    .filter(run => run.task.startsWith(`${jobId}.`));
}

async function submit(
  deployment: TestDeployment,
  daemon: TestDaemon,
  id: string,
): Promise<void> {
  void daemon.jobIntake.submit(job(id), TIMEOUT);
  await deployment.run(SHORT_MILLISECONDS);
}

function assertRunsAgain(
  deployment: TestDeployment,
  endedAt: number,
  within = RUNNING_AGAIN_MILLISECONDS,
): void {
  const runs = runsOf(deployment, LASTING_JOB);
  assert.deepEqual(overlappingRuns(runs), []);
  const alive = runs.find(run => run.endedAt === undefined);
  assert.ok(alive, 'the task runs again');
  assert.ok(
    alive.startedAt - endedAt <= within,
    `runs again after ${alive.startedAt - endedAt} ms`,
  );
}

/** Returns an incarnation of a worker that reports an earlier start. */
function incarnationBefore(
  {clock}: TestDeployment,
  {id, service, capacity, startedAtMilliseconds = 0}: SimulatedWorker,
  milliseconds: number,
): SimulatedWorker {
  return new SimulatedWorker(
    id,
    service,
    capacity,
    clock,
    () => behaviour({durationMilliseconds: undefined}),
    0,
    startedAtMilliseconds - milliseconds,
  );
}

/** Asserts that no two runs of the job `a` overlapped, and that one of them is done. */
function assertDoneOnce(deployment: TestDeployment): void {
  const runs = runsOf(deployment, 'a');
  assert.deepEqual(overlappingRuns(runs), []);
  assert.equal(runs.filter(run => run.end === RunEnd.Done).length, 1);
}

/** Asserts that the job `a` had a single run, which is done. */
function assertOnlyRunDone(deployment: TestDeployment): void {
  assert.deepEqual(
    runsOf(deployment, 'a').map(run => run.end),
    [RunEnd.Done],
  );
}

/** Delay after which the stand-ins carry out a late order. */
const LATE_MILLISECONDS = 2_500;
/** Time until all orders that may be late count as void, and a run after that. */
const SETTLED_MILLISECONDS = 30_000;

/** One more than the number of crashes after which a task is given up. */
const MOST_RESTARTS = 6;

/** Submits a job to a worker that carries out its orders late for `lateForMilliseconds`. */
async function submitWithLateStarts(
  deployment: TestDeployment,
  daemon: TestDaemon,
  lateForMilliseconds: number,
): Promise<void> {
  daemon.workers.setFault(WORKER, WorkerFault.StartsLate);
  void daemon.jobIntake.submit(job('a'), TIMEOUT);
  await deployment.run(lateForMilliseconds);
  daemon.workers.setFault(WORKER, undefined);
}

describe('a start order that a restarted worker carries out', () => {
  // The order of a predecessor is not listed by the worker, then carried out by its next
  // incarnation, while the successor has started the task elsewhere.
  it('does not run after a successor has had its task done', async () => {
    const deployment = new TestDeployment(2, true);
    deployment.behaviours.set('a', behaviour({durationMilliseconds: 300}));
    const first = await deployment.startDaemon('one');
    await submitWithLateStarts(deployment, first, SHORT_MILLISECONDS);
    first.kill();
    await deployment.startDaemon('two');
    await deployment.run(LATE_MILLISECONDS - 1_000);
    deployment.restartWorker(WORKER, SHORT_MILLISECONDS, 1_500);
    await deployment.run(SETTLED_MILLISECONDS);

    assertOnlyRunDone(deployment);
  });

  // The run ends as done while a repeated order of it is in transit.
  it('does not run after its task is done', async () => {
    const deployment = new TestDeployment(2, true);
    deployment.behaviours.set('a', behaviour({durationMilliseconds: 300}));
    const daemon = await deployment.startDaemon('one');
    await submitWithLateStarts(deployment, daemon, LATE_MILLISECONDS + 500);
    deployment.restartWorker(WORKER, SHORT_MILLISECONDS);
    await deployment.run(SETTLED_MILLISECONDS);

    assertOnlyRunDone(deployment);
  });

  // The worker confirms the stop of a run and forgets it with its restart.
  it('does not run beside the next run after a stop', async () => {
    const deployment = new TestDeployment(2, true);
    deployment.behaviours.set('a', behaviour({durationMilliseconds: 8_000}));
    const daemon = await deployment.startDaemon('one');
    await submitWithLateStarts(deployment, daemon, LATE_MILLISECONDS + 750);
    deployment.restartWorker(WORKER, SHORT_MILLISECONDS, 500);
    await deployment.run(SETTLED_MILLISECONDS);

    assertDoneOnce(deployment);
  });

  // The successor does not know that copies of the order of a stopped run are in transit.
  it('does not run beside the next run of a successor after a stop', async () => {
    const deployment = new TestDeployment(2, true);
    deployment.behaviours.set('a', behaviour({durationMilliseconds: 8_000}));
    const first = await deployment.startDaemon('one');
    await submitWithLateStarts(deployment, first, LATE_MILLISECONDS + 750);
    deployment.restartWorker(WORKER, SHORT_MILLISECONDS, 6_000);
    first.kill();
    await deployment.startDaemon('two');
    await deployment.run(SETTLED_MILLISECONDS);

    assertDoneOnce(deployment);
  });

  // The response to the order was lost and a poll has listed the run. A second order reaches the
  // next incarnation, and a successor, which does not know of it, starts the task elsewhere.
  it('is not sent again once the run was listed', async () => {
    const deployment = new TestDeployment(2, true);
    deployment.behaviours.set('a', behaviour({durationMilliseconds: 4_000}));
    const first = await deployment.startDaemon('one');
    first.workers.setFault(WORKER, WorkerFault.AnswersLost);
    void first.jobIntake.submit(job('a'), TIMEOUT);
    await deployment.run(800);
    deployment.restartWorker(WORKER, SHORT_MILLISECONDS, 6_000);
    await deployment.run(500);
    first.kill();
    await deployment.startDaemon('two');
    await deployment.run(SETTLED_MILLISECONDS);

    assertDoneOnce(deployment);
  });

  // A frozen process or a slow connection sends the order long after the call began.
  it('does not run beside the next run after it left late', async () => {
    const deployment = new TestDeployment(2, true);
    deployment.behaviours.set('a', behaviour({durationMilliseconds: 8_000}));
    const daemon = await deployment.startDaemon('one');
    daemon.workers.departureMilliseconds = 11_000;
    daemon.workers.setFault(WORKER, WorkerFault.StartsLate);
    void daemon.jobIntake.submit(job('a'), TIMEOUT);
    await deployment.run(SHORT_MILLISECONDS);
    daemon.workers.departureMilliseconds = 0;
    daemon.workers.setFault(WORKER, undefined);
    await deployment.run(12_800);
    deployment.restartWorker(WORKER, SHORT_MILLISECONDS);
    await deployment.run(SETTLED_MILLISECONDS);

    assertDoneOnce(deployment);
  });

  // The list of VMs shows the VM without its worker until that is back under its id.
  it('does not run beside the next run after its VM was listed without it', async () => {
    const deployment = new TestDeployment(2, true);
    deployment.linkFleet();
    deployment.behaviours.set('a', behaviour({durationMilliseconds: 8_000}));
    const daemon = await deployment.startDaemon('one');
    await submitWithLateStarts(deployment, daemon, SHORT_MILLISECONDS);
    deployment.restartWorker(WORKER, 1_500, 3_000);
    const {vms} = deployment.fleet;
    const vm = [...vms.values()].find(({workerId}) => workerId === WORKER)!;
    vms.set(vm.name, {...vm, workerId: ''});
    await deployment.run(1_400);
    vms.set(vm.name, vm);
    await deployment.run(SETTLED_MILLISECONDS);

    assertDoneOnce(deployment);
  });

  // A lost order must not hold its task back for longer than it can be carried out.
  it('is waited for no longer than it can be carried out', async () => {
    const deployment = new TestDeployment(1, true);
    const daemon = await deployment.startDaemon('one');
    daemon.workers.setFault(WORKER, WorkerFault.StartsLate);
    void daemon.jobIntake.submit(job('a'), TIMEOUT);
    await deployment.run(SHORT_MILLISECONDS);
    deployment.restartWorker(WORKER, LATE_MILLISECONDS + 500);
    daemon.workers.setFault(WORKER, undefined);
    await deployment.run(14_000);

    assertOnlyRunDone(deployment);
    assert.equal(daemon.events.of(LogEvent.StartUnanswered), 1);
  });
});

describe('a task whose start order may still be carried out', () => {
  // Each change of the coordinator began the wait anew: lasting tasks of all services stood for as
  // long as daemons were restarted in turn, and 12 s more.
  it('is waited for from the end of the term that ordered it, however often the coordinator changes', async () => {
    const deployment = new TestDeployment(2, true);
    let daemon = await deployment.startDaemon('daemon-0');
    for (const id of [WORKER, 'worker-1'])
      daemon.workers.setFault(id, WorkerFault.Cut);
    await deployment.startLongRunningJob(daemon);
    const orderedAt = deployment.clock.monotonicMilliseconds();
    assert.deepEqual(deployment.startedRuns(), []);
    for (let change = 1; change <= 5; change++) {
      daemon.kill();
      daemon = await deployment.startDaemon(`daemon-${change}`);
      await deployment.run(4_000);
    }
    await deployment.run(14_000);
    const [{startedAt}] = runsOf(deployment, LASTING_JOB);
    const waited = startedAt - orderedAt;
    assert.ok(waited <= LATEST_START_MILLISECONDS, `after ${waited} ms`);
  });
});

describe('a task whose start order was not answered before the store went away', () => {
  // The wait began when the store was back, although the term that sent the order was over long
  // before.
  it('is waited for from the end of that term', async () => {
    const deployment = new TestDeployment(2, true);
    const daemon = await deployment.startDaemon('daemon-0');
    const other = await deployment.startDaemon('daemon-1');
    for (const id of [WORKER, 'worker-1'])
      daemon.workers.setFault(id, WorkerFault.Cut);
    await deployment.startLongRunningJob(daemon);
    const orderedAt = deployment.clock.monotonicMilliseconds();
    daemon.kill();
    other.store.setFault(StoreFault.Refusing);
    await deployment.run(9_000);
    other.store.setFault(undefined);
    await deployment.run(14_000);
    const [{startedAt}] = runsOf(deployment, LASTING_JOB);
    const waited = startedAt - orderedAt;
    assert.ok(waited <= LATEST_START_MILLISECONDS, `after ${waited} ms`);
  });
});

describe('a task whose start orders reach no worker', () => {
  // Five restarts of workers on which the task never ran count as five crashes under it, and its
  // job is given up.
  it('is not given up for the crashes of these workers', async () => {
    const deployment = new TestDeployment(1, true);
    const daemon = await deployment.startDaemon('one');
    let restarts = 0;
    daemon.events.onEvent = event => {
      if (event !== LogEvent.RunOrdered || restarts === MOST_RESTARTS) return;
      restarts++;
      deployment.restartWorker(WORKER, SHORT_MILLISECONDS);
    };
    void daemon.jobIntake.submit(job('a'), TIMEOUT);
    await deployment.run(60_000);

    assert.equal(restarts, MOST_RESTARTS);
    assert.deepEqual(await deployment.answerOf(daemon, 'a'), {
      kind: 'state',
      state: JobState.Completed,
    });
    assert.equal(endsOf(daemon, RunEnd.Crashed), 1);
  });
});

describe('a worker that restarts under its id', () => {
  // The ends of a new incarnation are numbered from 1 again. Counted against the ends
  // read from the old one, they are lost and each task runs a second time.
  it('has its ends read although earlier ends had higher numbers', async () => {
    const deployment = new TestDeployment(1, true);
    const daemon = await deployment.startDaemon('one');
    for (const id of ['a', 'b', 'c']) await submit(deployment, daemon, id);
    await deployment.run(1_500);
    deployment.restartWorker(WORKER, SHORT_MILLISECONDS);
    await deployment.run(1_500);
    await submit(deployment, daemon, 'd');
    await deployment.run(3_000);

    assert.deepEqual(await deployment.answerOf(daemon, 'd'), {
      kind: 'state',
      state: JobState.Completed,
    });
    assert.equal(runsOf(deployment, 'd').length, 1);
  });

  // A run of the old incarnation that counts as merely lost hides from the crash counts
  // that the worker crashed; one that counts as alive is missed until its lease expires.
  it('has its runs count as crashed and started again', async () => {
    const deployment = new TestDeployment(1, true);
    const daemon = await deployment.startDaemon('one');
    await deployment.startLongRunningJob(daemon);
    const endedAt = deployment.clock.monotonicMilliseconds();
    deployment.restartWorker(WORKER);
    await deployment.run(4_000);

    assertRunsAgain(deployment, endedAt);
    assert.equal(endsOf(daemon, RunEnd.Crashed), 1);
    assert.equal(endsOf(daemon, RunEnd.Lost), 0);
  });

  // A planned restart must not count against the tasks that ran there.
  it('has its runs count as lost if it had announced that it drains', async () => {
    const deployment = new TestDeployment(1, true);
    const daemon = await deployment.startDaemon('one');
    deployment.behaviours.set('a', behaviour({durationMilliseconds: 30_000}));
    await submit(deployment, daemon, 'a');
    const worker = deployment.worker(WORKER)!;
    worker.state = WorkerState.Draining;
    deployment.writeEntry(worker);
    await deployment.run(500);
    deployment.restartWorker(WORKER);
    await deployment.run(3_000);

    assert.equal(endsOf(daemon, RunEnd.Lost), 1);
    assert.equal(endsOf(daemon, RunEnd.Crashed), 0);
  });

  // The clock of the new incarnation starts again. A lease on the old clock lies far in
  // its future, so a run behind a network partition would count as alive for ever.
  it('has a run given up when the lease on its new clock is over', async () => {
    const deployment = new TestDeployment(2, true);
    deployment.behaviours.set('a', behaviour({durationMilliseconds: 30_000}));
    deployment.behaviours.set('b', behaviour({durationMilliseconds: 30_000}));
    const daemon = await deployment.startDaemon('one');
    await submit(deployment, daemon, 'a');
    const [{worker: restarted}] = runsOf(deployment, 'a');
    deployment.restartWorker(restarted, SHORT_MILLISECONDS);
    await deployment.run(3_000);
    await submit(deployment, daemon, 'b');
    await deployment.run(1_000);
    const [first] = runsOf(deployment, 'b');
    daemon.workers.setFault(first.worker, WorkerFault.Cut);
    await deployment.run(14_000);

    const runs = runsOf(deployment, 'b');
    assert.equal(runs.length, 2);
    assert.deepEqual(overlappingRuns(runs), []);
  });

  // The successor reads records of the old incarnation and a stale entry; the task would
  // be missing until the lease expires, or run twice.
  it('has its runs recovered by a coordinator that takes over before its new entry', async () => {
    const deployment = new TestDeployment(1, true);
    const first = await deployment.startDaemon('one');
    await deployment.startLongRunningJob(first);
    const endedAt = deployment.clock.monotonicMilliseconds();
    deployment.restartWorker(WORKER, SHORT_MILLISECONDS, 6_000);
    first.kill();
    const second = await deployment.startDaemon('two');
    await deployment.run(9_000);

    assertRunsAgain(deployment, endedAt, 9_000);
    assert.equal(endsOf(second, RunEnd.Crashed), 1);
  });

  // The record names the old incarnation and the entry the new one.
  it('has its runs recovered by a coordinator that takes over after its new entry', async () => {
    const deployment = new TestDeployment(1, true);
    const first = await deployment.startDaemon('one');
    await deployment.startLongRunningJob(first);
    const endedAt = deployment.clock.monotonicMilliseconds();
    first.kill();
    deployment.restartWorker(WORKER, SHORT_MILLISECONDS);
    await deployment.run(500);
    const second = await deployment.startDaemon('two');
    await deployment.run(9_000);

    assertRunsAgain(deployment, endedAt, 9_000);
    assert.equal(endsOf(second, RunEnd.Crashed), 1);
  });

  // The new incarnation knows neither fencing tokens nor runs, so it carries out the order.
  // A task that was freed when the old incarnation ended would then run twice.
  for (const downMilliseconds of [100, 1_000])
    it(`does not run a task twice when it starts a late order, down for ${downMilliseconds} ms`, async () => {
      const deployment = new TestDeployment(2, true);
      deployment.behaviours.set('a', behaviour({durationMilliseconds: 8_000}));
      const daemon = await deployment.startDaemon('one');
      for (const id of [WORKER, 'worker-1'])
        daemon.workers.setFault(id, WorkerFault.StartsLate);
      await submit(deployment, daemon, 'a');
      for (const id of [WORKER, 'worker-1']) {
        daemon.workers.setFault(id, undefined);
        deployment.restartWorker(id, downMilliseconds);
      }
      await deployment.run(30_000);

      assertDoneOnce(deployment);
    });

  // The order was carried out by the new incarnation before its entry was read.
  it('keeps a run that its new incarnation started and lists', async () => {
    const deployment = new TestDeployment(1, true);
    deployment.behaviours.set('a', behaviour({durationMilliseconds: 4_000}));
    const daemon = await deployment.startDaemon('one');
    deployment.restartWorker(WORKER, 50, 1_000);
    await deployment.run(100);
    await submit(deployment, daemon, 'a');
    await deployment.run(7_000);

    const runs = runsOf(deployment, 'a');
    assert.deepEqual(
      runs.map(run => run.end),
      [RunEnd.Done],
    );
  });

  // Without an entry nobody can say whether the run was started; the wait must end.
  it('frees a task in doubt when it publishes no entry any more', async () => {
    const deployment = new TestDeployment(2, true);
    deployment.behaviours.set('a', behaviour({durationMilliseconds: 1_000}));
    const daemon = await deployment.startDaemon('one');
    for (const id of [WORKER, 'worker-1'])
      daemon.workers.setFault(id, WorkerFault.StartsLate);
    await submit(deployment, daemon, 'a');
    for (const id of [WORKER, 'worker-1'])
      daemon.workers.setFault(id, undefined);
    for (const id of [WORKER, 'worker-1'])
      deployment.restartWorker(id, 100, id === WORKER ? 60_000 : 0);
    await deployment.run(30_000);

    const runs = runsOf(deployment, 'a');
    assert.deepEqual(overlappingRuns(runs), []);
    assert.ok(runs.some(run => run.end === RunEnd.Done));
  });

  // Crashes are counted for each task; a restart that goes unnoticed counts as none, and
  // the task crashes the worker without end.
  it('has the crashes of a task counted across its incarnations', async () => {
    const deployment = new TestDeployment(1, true);
    deployment.behaviours.set(
      'a.0.0.0',
      behaviour({crashesAfterMilliseconds: 10}),
    );
    const daemon = await deployment.startDaemon('one');
    await submit(deployment, daemon, 'a');
    await deployment.run(60_000);

    assert.ok(startsAfterCrashes(deployment.startedRuns(), 'a.0.0.0', 3) <= 2);
    assert.deepEqual(await deployment.answerOf(daemon, 'a'), {
      kind: 'state',
      state: JobState.Failed,
    });
  });

  // The store still shows the old entry after a poll has revealed the new incarnation.
  it('is not taken for its old incarnation when the store shows the old entry again', async () => {
    const deployment = new TestDeployment(1, true);
    const daemon = await deployment.startDaemon('one');
    const old = deployment.worker(WORKER)!;
    await deployment.startLongRunningJob(daemon);
    deployment.restartWorker(WORKER, SHORT_MILLISECONDS, 4_000);
    await deployment.run(1_500);
    deployment.writeEntry(old);
    await deployment.run(1_500);
    assert.equal(daemon.events.of(LogEvent.WorkerFound), 1);
    assert.equal(runsOf(deployment, LASTING_JOB).length, 1);

    await deployment.run(3_000);
    assert.equal(daemon.events.of(LogEvent.WorkerFound), 2);
    assert.equal(runsOf(deployment, LASTING_JOB).length, 2);
  });

  // A late write of the former incarnation's entry was taken for a restart, and the tasks that ran
  // on the present one were started a second time elsewhere.
  it('keeps its runs when the store executes a write of its former incarnation late', async () => {
    const deployment = new TestDeployment(1, true);
    const daemon = await deployment.startDaemon('one');
    const present = deployment.worker(WORKER)!;
    const former = incarnationBefore(deployment, present, 1_000);
    deployment.behaviours.set('a', behaviour({durationMilliseconds: 6_000}));
    await submit(deployment, daemon, 'a');
    // By then a poll has listed the run.
    await deployment.run(2_500);
    deployment.addWorker('worker-1', SERVICE);
    await deployment.run(500);
    for (let late = 0; late < 3; late++) {
      deployment.writeEntry(former);
      await deployment.run(500);
    }
    await deployment.run(6_000);
    assertOnlyRunDone(deployment);

    assert.equal(daemon.events.of(LogEvent.WorkerEntryOutdated), 1);
    assert.equal(daemon.coordinator?.registry.size, 2);
  });

  // The wall clock of a worker is set back before it restarts: its new entry looks like one of a
  // former incarnation.
  it('is noticed when its new incarnation reports an earlier start', async () => {
    const deployment = new TestDeployment(1, true);
    const daemon = await deployment.startDaemon('one');
    await deployment.startLongRunningJob(daemon);
    const former = deployment.worker(WORKER)!;
    const endedAt = deployment.clock.monotonicMilliseconds();
    former.crash();
    const restarted = incarnationBefore(deployment, former, 2_000);
    deployment.workers.add(restarted);
    for (let beat = 0; beat < 3; beat++) {
      deployment.writeEntry(restarted);
      await deployment.run(HEARTBEAT_MILLISECONDS);
    }
    assertRunsAgain(deployment, endedAt);
  });

  // The entry reveals the restart while no poll gets through: the runs of the old
  // incarnation are over, and need not wait for their lease.
  it('has its runs started elsewhere when only its entry reveals the restart', async () => {
    const deployment = new TestDeployment(2, true);
    const daemon = await deployment.startDaemon('one');
    await deployment.startLongRunningJob(daemon);
    const [{worker}] = runsOf(deployment, LASTING_JOB);
    const endedAt = deployment.clock.monotonicMilliseconds();
    daemon.workers.setFault(worker, WorkerFault.Cut);
    deployment.restartWorker(worker, SHORT_MILLISECONDS);
    await deployment.run(4_000);

    assertRunsAgain(deployment, endedAt);
  });

  // The restart falls between two heartbeats, so the worker never seems unreachable.
  it('is noticed when it is back before it was missed', async () => {
    const deployment = new TestDeployment(1, true);
    const daemon = await deployment.startDaemon('one');
    await deployment.startLongRunningJob(daemon);
    const endedAt = deployment.clock.monotonicMilliseconds();
    deployment.restartWorker(WORKER, 20, HEARTBEAT_MILLISECONDS);
    await deployment.run(4_000);

    assertRunsAgain(deployment, endedAt);
    assert.equal(endsOf(daemon, RunEnd.Crashed), 1);
  });

  // Each restart and each coordinator adds records of an incarnation that nobody knows.
  it('keeps its tasks to one run through restarts in a row and changes of the coordinator', async () => {
    const deployment = new TestDeployment(2, true);
    deployment.behaviours.set('a', behaviour({durationMilliseconds: 2_500}));
    let daemon = await deployment.startDaemon('one');
    await deployment.startLongRunningJob(daemon);
    await submit(deployment, daemon, 'a');
    for (let round = 0; round < 4; round++) {
      for (const id of [WORKER, 'worker-1'])
        deployment.restartWorker(id, 200, 300 * round);
      await deployment.run(400 * round);
      daemon.kill();
      daemon = await deployment.startDaemon(`round-${round}`);
      await deployment.run(500);
    }
    await deployment.run(30_000);

    const runs = deployment.startedRuns();
    assert.deepEqual(overlappingRuns(runs), []);
    assert.ok(
      runsOf(deployment, LASTING_JOB).some(run => run.endedAt === undefined),
    );
    const done = runsOf(deployment, 'a').filter(run => run.end === RunEnd.Done);
    assert.equal(done.length, 1);
  });

  // The list of VMs names workers by their own id. If no session is found under it, the
  // VM looks idle: its runs are ended as if no VM ran the worker, or it is moved.
  it('is found by its own id in the list of VMs', async () => {
    const deployment = new TestDeployment(1, true);
    const daemon = await deployment.startDaemon('one');
    await deployment.startLongRunningJob(daemon);
    daemon.workers.setFault(WORKER, WorkerFault.Cut);
    await deployment.run(4_000);
    daemon.workers.setFault(WORKER, undefined);
    await deployment.run(4_000);

    assert.equal(runsOf(deployment, LASTING_JOB).length, 1);
    assert.equal(daemon.events.of(LogEvent.WorkerLeft), 0);
  });

  // An operator's restart of the store's writer may drop an entry for some seconds.
  it('is used again when its entry was removed and returns unchanged', async () => {
    const deployment = new TestDeployment(1, true);
    const daemon = await deployment.startDaemon('one');
    deployment.store.write(LogStream.Workers, {key: WORKER, value: undefined});
    await deployment.run(2_000);
    deployment.writeEntry(deployment.worker(WORKER)!);
    await deployment.run(500);
    await submit(deployment, daemon, 'a');
    await deployment.run(1_000);

    assert.equal(runsOf(deployment, 'a').length, 1);
  });
});
