import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {RunEnd} from '@gentiandoor/jobs';
import {OrderOutcome} from '../index.js';
import {WorkerFault} from '../stand-ins/index.js';
import {TestDeployment, job, step} from './deployment.js';

const TIMEOUT = 3_000;
const TASKS_OF_A_FULL_WORKER = 8;

describe('a worker that stops responding while jobs keep arriving', () => {
  // The pending long poll reports nothing for over two seconds, and until then the
  // unreachable worker looks as good as the other. Callers whose jobs were submitted well
  // after the partition began wait for a lease to expire.
  it('is given no more tasks after half a second', async () => {
    const deployment = new TestDeployment(2);
    const daemon = await deployment.startDaemon('one');
    void daemon.jobIntake.submit(job('before'), TIMEOUT);
    await deployment.run(1_200);
    const [{worker: cut}] = deployment.startedRuns();
    daemon.workers.setFault(cut, WorkerFault.Cut);
    void daemon.jobIntake.submit(job('at-the-cut'), TIMEOUT);
    await deployment.run(500);
    for (const id of ['a', 'b', 'c'])
      void daemon.jobIntake.submit(job(id), TIMEOUT);
    await deployment.run(1_000);

    const done = deployment
      .startedRuns()
      .filter(run => run.end === RunEnd.Done)
      .map(run => run.task.split('.')[0]);
    assert.deepEqual(
      ['a', 'b', 'c'].filter(id => !done.includes(id)),
      [],
    );
  });

  // Treated like an order without a response, an order that was not sent holds its task back, for
  // twelve seconds on a worker that may restart under its id.
  for (const reportsStart of [false, true])
    it(`frees a task whose order was not sent, reports its start ${reportsStart}`, async () => {
      const deployment = new TestDeployment(2, reportsStart);
      const daemon = await deployment.startDaemon('one');
      daemon.workers.setFault('worker-0', WorkerFault.Cut);
      const start = daemon.workers.start.bind(daemon.workers);
      daemon.workers.start = async (worker, request) =>
        worker.instance === 'worker-0'
          ? {outcome: OrderOutcome.NotSent, reason: 'connection refused'}
          : start(worker, request);
      void daemon.jobIntake.submit(job('a'), TIMEOUT);
      await deployment.run(600);

      const [{worker}] = deployment.startedRuns();
      assert.equal(worker, 'worker-1');
    });

  // A whole data centre is unreachable. The first worker that is found silent reveals the
  // second one before anything is started there.
  it('reveals other silent workers of its data centre', async () => {
    const deployment = new TestDeployment(3);
    const daemon = await deployment.startDaemon('one');
    // Tasks fill one worker after the other, so each of the first two has some.
    const full = step({taskCount: TASKS_OF_A_FULL_WORKER});
    void daemon.jobIntake.submit(job('first', [full]), TIMEOUT);
    await deployment.run(600);
    daemon.workers.setFault('worker-0', WorkerFault.Cut);
    daemon.workers.setFault('worker-1', WorkerFault.Cut);
    void daemon.jobIntake.submit(job('at-the-cut'), TIMEOUT);
    await deployment.run(600);
    void daemon.jobIntake.submit(job('later', [full]), TIMEOUT);
    await deployment.run(1_000);

    const later = deployment
      .startedRuns()
      .filter(run => run.task.startsWith('later.'));
    assert.equal(later.length, TASKS_OF_A_FULL_WORKER);
    assert.ok(later.every(run => run.worker === 'worker-2'));
  });

  // Nothing is wrong with the worker: one order was lost in transit. The worker responds
  // to the probe and continues.
  it('is still given tasks when only one start was lost', async () => {
    const deployment = new TestDeployment(1);
    const daemon = await deployment.startDaemon('one');
    daemon.workers.setFault('worker-0', WorkerFault.StartsLate);
    void daemon.jobIntake.submit(job('lost'), TIMEOUT);
    await deployment.run(300);
    daemon.workers.setFault('worker-0', undefined);
    void daemon.jobIntake.submit(job('next'), TIMEOUT);
    await deployment.run(100);

    const started = deployment.startedRuns().map(run => run.task.split('.')[0]);
    assert.ok(started.includes('next'));
  });
});
