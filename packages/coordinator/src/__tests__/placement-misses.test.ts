import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {LogStream} from '../index.js';
import {TestDeployment, behaviour, job, step} from './deployment.js';
import {
  overlookedRounds,
  SHORT_TASKS,
  startedShortTasks,
  submit,
  submitShortJobs,
} from './submitted-jobs.js';

// Jobs that can't be placed used up the miss limit of each round, and all other jobs of the service
// stayed queued beside idle workers.
describe('jobs beside many that can not be placed', () => {
  const unplaceable = [
    {
      why: 'no worker has their label',
      overrides: {requiredLabel: 'missing', processorMillicores: 100},
    },
    {
      why: 'their tasks want more workers than there are',
      overrides: {
        taskCount: 5,
        maximumPerWorker: 1,
        processorMillicores: 100,
      },
    },
    {
      why: 'their tasks are larger than any worker',
      overrides: {processorMillicores: 9_000},
    },
  ];
  for (const {why, overrides} of unplaceable)
    it(`run although ${why}`, async () => {
      const deployment = new TestDeployment(4);
      const daemon = await deployment.startDaemon('one');
      for (let index = 0; index < 20; index++) {
        deployment.behaviours.set(
          `lasting-${index}`,
          behaviour({
            durationMilliseconds: undefined,
            resources: {
              processorMillicores: 100,
              memoryMegabytes: 100,
              accelerators: 0,
            },
          }),
        );
        await submit(
          deployment,
          daemon,
          job(`lasting-${index}`, [step({longRunning: true, ...overrides})]),
        );
      }
      await submitShortJobs(deployment, daemon);
      await deployment.run(5_000);
      assert.equal(startedShortTasks(deployment), SHORT_TASKS);
      assert.equal(overlookedRounds(daemon), 0);
    });

  it('run although the only worker with their label is full', async () => {
    const deployment = new TestDeployment(4);
    const labelled = deployment.worker('worker-0')!;
    deployment.store.write(LogStream.Workers, {
      key: labelled.id,
      value: Buffer.from(JSON.stringify(labelled.entry(['rack-1', 'b']))),
    });
    const daemon = await deployment.startDaemon('one');
    for (let index = 0; index < 20; index++) {
      deployment.behaviours.set(
        `lasting-${index}`,
        behaviour({durationMilliseconds: undefined}),
      );
      await submit(
        deployment,
        daemon,
        job(`lasting-${index}`, [
          step({
            longRunning: true,
            requiredLabel: 'b',
            processorMillicores: 4_000,
          }),
        ]),
      );
    }
    await submitShortJobs(deployment, daemon);
    await deployment.run(5_000);
    assert.equal(startedShortTasks(deployment), SHORT_TASKS);
    assert.equal(overlookedRounds(daemon), 0);
  });
});
