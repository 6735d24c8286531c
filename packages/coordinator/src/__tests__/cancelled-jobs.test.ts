import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {LogStream} from '../index.js';
import {ANY_CALLER, LASTING_JOB, TestDeployment} from './deployment.js';

const BOUND = 3_000;

describe('a job that is cancelled', () => {
  describe('while the worker of one of its runs has no entry', () => {
    // The caller cancels, hears that it is done, and the task runs on for good. The worker sits behind
    // a cut, its entry has lapsed and the coordinator has changed, so that the run is known but there
    // is nobody to order about. The cancellation comes; only then does the worker's entry return.
    it('has its run stopped once the worker is back', async () => {
      const deployment = new TestDeployment(1);
      const first = await deployment.startDaemon('one');
      await deployment.startLastingJob(first);
      deployment.store.write(LogStream.Workers, {
        key: 'worker-0',
        value: undefined,
      });
      first.kill();
      const second = await deployment.startDaemon('two');
      await deployment.run(2_000);
      const cancelled = second.desk.cancel(LASTING_JOB, BOUND, ANY_CALLER);
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
