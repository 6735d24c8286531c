import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {TestDeployment, job} from './deployment.js';
import {overlookedRounds, startedTasks, submit} from './submitted-jobs.js';

/** Together with the wait of a read longer than entries count as fresh. */
const SLOW_READ_MILLISECONDS = 1_200;
/** Reads that begin in this time are slow. */
const CALLS_MILLISECONDS = 340;
/** The submissions cover the moment at which the entries are too old. */
const FIRST_SUBMISSION_MILLISECONDS = 700;
const PROBES = 50;
const PROBE_STEP_MILLISECONDS = 10;

// Entries that grew old during a read and were fresh at its end woke nobody.
describe('workers that do not enforce their capacity', () => {
  it('are given the work that waited while a read of their entries was slow', async () => {
    const deployment = new TestDeployment(0);
    deployment.workersEnforceCapacity = false;
    deployment.publishConfiguration(2);
    deployment.addWorker('worker-0', 'previews');
    const daemon = await deployment.startDaemon('one');
    for (let probe = 0; probe < PROBES; probe++) {
      await deployment.run(2_000);
      daemon.store.answerMilliseconds = SLOW_READ_MILLISECONDS;
      await deployment.run(CALLS_MILLISECONDS);
      daemon.store.answerMilliseconds = 4;
      await deployment.run(
        FIRST_SUBMISSION_MILLISECONDS + probe * PROBE_STEP_MILLISECONDS,
      );
      await submit(deployment, daemon, job(`job-${probe}`));
      await deployment.run(5_000);
      assert.equal(startedTasks(deployment, 'job-'), probe + 1);
    }
    assert.equal(overlookedRounds(daemon), 0);
  });
});
