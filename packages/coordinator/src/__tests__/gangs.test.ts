import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {JobState} from '@gentiandoor/jobs';
import {TestDeployment, behaviour, job, step} from './deployment.js';
import {submit} from './submitted-jobs.js';

const MEMBERS = 3;
const INTERVALS_MILLISECONDS = [100, 170, 430];

// Each member was given the value that the coordinator had last seen of it: members with different
// ones do not meet, and the job never ended.
describe('a gang whose members have saved different progress', () => {
  it('continues with one value for all members', async () => {
    const deployment = new TestDeployment(MEMBERS);
    for (const [index, interval] of INTERVALS_MILLISECONDS.entries())
      deployment.behaviours.set(
        `gang.0.0.${index}`,
        behaviour({
          durationMilliseconds: 6_000,
          checkpointMilliseconds: interval,
        }),
      );
    const daemon = await deployment.startDaemon('one');
    const members = step({
      gang: true,
      taskCount: MEMBERS,
      maximumPerWorker: 1,
      checkpointing: true,
    });
    await submit(deployment, daemon, job('gang', [members]));
    await deployment.run(3_000);
    for (const {workerId} of [...deployment.fleet.vms.values()])
      deployment.crashWorker(workerId);
    await deployment.run(15_000);

    const again = deployment.startedRuns().filter(({run}) => run === 2);
    assert.equal(again.length, MEMBERS);
    assert.equal(new Set(again.map(({checkpoint}) => checkpoint)).size, 1);
    assert.notEqual(again[0].checkpoint, '');
    assert.deepEqual(await deployment.answerOf(daemon, 'gang'), {
      kind: 'state',
      state: JobState.Completed,
    });
  });
});
