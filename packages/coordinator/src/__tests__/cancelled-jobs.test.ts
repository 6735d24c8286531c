import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {LogStream} from '../index.js';
import {ANY_CALLER, LASTING_JOB, TestDeployment} from './deployment.js';

const TIMEOUT = 3_000;

describe('a cancelled job', () => {
  describe('while the worker of one of its runs has no entry', () => {
    // The worker is unreachable, its entry has expired and the coordinator has changed,
    // so the run is known but there is no session that could send orders. The
    // cancellation arrives; only then does the worker's entry return. The caller
    // sees the job as cancelled, but without a stop the task runs forever.
    it('has its run stopped once the worker is back', async () => {
      const deployment = new TestDeployment(1);
      const first = await deployment.startDaemon('one');
      await deployment.startLongRunningJob(first);
      deployment.store.write(LogStream.Workers, {
        key: 'worker-0',
        value: undefined,
      });
      first.kill();
      const second = await deployment.startDaemon('two');
      await deployment.run(2_000);
      const cancelled = second.jobIntake.cancel(
        LASTING_JOB,
        TIMEOUT,
        ANY_CALLER,
      );
      await deployment.run(500);
      await cancelled;

      const worker = deployment.worker('worker-0');
      assert.ok(worker);
      assert.equal(worker.startedRuns[0].endedAt, undefined);
      deployment.writeEntry(worker);
      await deployment.run(1_000);

      assert.notEqual(worker.startedRuns[0].endedAt, undefined);
    });
  });
});
