import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {WorkerFault} from '../stand-ins/index.js';
import {LASTING_JOB, TestDeployment} from './deployment.js';

const WORKER = 'worker-0';
/** Time until the orders that were late have been carried out. */
const SETTLED_MILLISECONDS = 8_000;

// Guards against a stop of a task that works, because the orders that started it got no response.
describe('a long-running task whose start orders get no response', () => {
  for (const reportsStart of [false, true]) {
    const worker = reportsStart
      ? 'a worker that reports its start'
      : 'a worker';

    it(`is not stopped once ${worker} has started it`, async () => {
      const deployment = new TestDeployment(1, reportsStart);
      const daemon = await deployment.startDaemon('one');
      daemon.workers.setFault(WORKER, WorkerFault.StartsLate);
      await deployment.startLongRunningJob(daemon);
      await deployment.run(SETTLED_MILLISECONDS);

      const runs = deployment
        .startedRuns()
        .filter(({task}) => task.startsWith(`${LASTING_JOB}.`));
      assert.equal(runs.length, 1);
      assert.equal(runs[0].endedAt, undefined);
      assert.equal(deployment.worker(WORKER)?.stopsAsked, 0);
    });
  }
});
