import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {RunEnd} from '@gentiandoor/jobs';
import {WorkerFault} from '../stand-ins/index.js';
import {TestDeployment, job, step} from './deployment.js';

const BOUND = 3_000;
const TASKS_OF_A_FULL_WORKER = 8;

describe('a worker that falls silent while jobs keep coming', () => {
  // Callers whose jobs were handed in well after the cut wait for a lease. The poll that waits at the
  // worker says nothing for over two seconds, and until then the worker looks as good as the other.
  it('is given nothing more after half a second', async () => {
    const deployment = new TestDeployment(2);
    const daemon = await deployment.startDaemon('one');
    void daemon.desk.submit(job('before'), BOUND);
    await deployment.run(1_200);
    const [{worker: cut}] = deployment.begunRuns();
    daemon.workers.setFault(cut, WorkerFault.Cut);
    void daemon.desk.submit(job('at-the-cut'), BOUND);
    await deployment.run(500);
    for (const id of ['a', 'b', 'c']) void daemon.desk.submit(job(id), BOUND);
    await deployment.run(1_000);

    const done = deployment
      .begunRuns()
      .filter(run => run.end === RunEnd.Done)
      .map(run => run.task.split('.')[0]);
    assert.deepEqual(
      ['a', 'b', 'c'].filter(id => !done.includes(id)),
      [],
    );
  });

  // The cut takes a whole data centre. The first worker that is found silent gives the second one away
  // before anything was started there.
  it('gives the others of its data centre away', async () => {
    const deployment = new TestDeployment(3);
    const daemon = await deployment.startDaemon('one');
    // Tasks fill one worker after the other, so each of the first two has some.
    const full = step({taskCount: TASKS_OF_A_FULL_WORKER});
    void daemon.desk.submit(job('first', [full]), BOUND);
    await deployment.run(600);
    daemon.workers.setFault('worker-0', WorkerFault.Cut);
    daemon.workers.setFault('worker-1', WorkerFault.Cut);
    void daemon.desk.submit(job('at-the-cut'), BOUND);
    await deployment.run(600);
    void daemon.desk.submit(job('later', [full]), BOUND);
    await deployment.run(1_000);

    const later = deployment
      .begunRuns()
      .filter(run => run.task.startsWith('later.'));
    assert.equal(later.length, TASKS_OF_A_FULL_WORKER);
    assert.ok(later.every(run => run.worker === 'worker-2'));
  });

  // Nothing is wrong: an order was lost on its way. The worker answers the probe and goes on.
  it('is not left alone when only one start was lost', async () => {
    const deployment = new TestDeployment(1);
    const daemon = await deployment.startDaemon('one');
    daemon.workers.setFault('worker-0', WorkerFault.StartsLate);
    void daemon.desk.submit(job('lost'), BOUND);
    await deployment.run(300);
    daemon.workers.setFault('worker-0', undefined);
    void daemon.desk.submit(job('next'), BOUND);
    await deployment.run(100);

    const begun = deployment.begunRuns().map(run => run.task.split('.')[0]);
    assert.ok(begun.includes('next'));
  });
});
