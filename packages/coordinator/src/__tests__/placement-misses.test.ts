import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {LogStream} from '../index.js';
import {TestDeployment, behaviour, job, step} from './deployment.js';
import {
  overlookedRounds,
  SHORT_TASKS,
  startedShortTasks,
  startedTasks,
  submit,
  submitShortJobs,
} from './submitted-jobs.js';

/** Returns a pool of which 60% is in use, and jobs that wait since they need more of a worker. */
async function halfUsedPool(longRunning: boolean) {
  const deployment = new TestDeployment(4);
  const daemon = await deployment.startDaemon('one');
  await deployment.startLongRunningJob(daemon, {
    taskCount: 4,
    maximumPerWorker: 1,
    processorMillicores: 4_800,
  });
  for (let index = 0; index < 20; index++) {
    const large = step({longRunning, processorMillicores: 4_000 + index});
    await submit(deployment, daemon, job(`large-${index}`, [large]));
  }
  return {deployment, daemon};
}

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

  // Capacity that only the small tasks can use stayed idle as long as the lasting tasks ran.
  it('run although larger tasks find the half used pool full', async () => {
    const {deployment, daemon} = await halfUsedPool(false);
    await submitShortJobs(deployment, daemon);
    await deployment.run(5_000);
    assert.equal(startedTasks(deployment, 'large-'), 0);
    assert.equal(startedShortTasks(deployment), SHORT_TASKS);
  });

  // A lasting task is owed also where half of the pool is in use.
  it('run although they last and larger ones find the pool full', async () => {
    const {deployment, daemon} = await halfUsedPool(true);
    const small = step({longRunning: true, processorMillicores: 100});
    await submit(deployment, daemon, job('small', [small]));
    await deployment.run(5_000);
    assert.equal(startedTasks(deployment, 'small'), 1);
  });
});
