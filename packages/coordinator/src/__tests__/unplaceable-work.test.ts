import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {StepSpecification} from '@gentiandoor/jobs';
import {
  OTHER_QUEUE,
  OTHER_SERVICE,
  QUEUE,
  SERVICE,
  STANDBY,
  TestDeployment,
  job,
  step,
} from './deployment.js';
import {submit} from './submitted-jobs.js';

const POOL_VMS = 4;
const STANDBY_VMS = 2;
const TASKS = 20;

/** Returns the number of VMs in each pool. */
function poolSizes({fleet}: TestDeployment): Record<string, number> {
  const sizes: Record<string, number> = {};
  for (const {pool} of fleet.vms.values()) sizes[pool] = (sizes[pool] ?? 0) + 1;
  return sizes;
}

/** Returns a deployment of two services with equal pools, and a standby pool. */
function deploymentOfTwoServices(): TestDeployment {
  const deployment = new TestDeployment(POOL_VMS);
  deployment.linkFleet();
  for (let index = 0; index < POOL_VMS; index++)
    deployment.addWorker(`other-${index}`, OTHER_SERVICE);
  for (let index = 0; index < STANDBY_VMS; index++)
    deployment.addWorker(`spare-${index}`, STANDBY);
  const services = new Map([
    [QUEUE, SERVICE],
    [OTHER_QUEUE, OTHER_SERVICE],
  ]);
  deployment.publishConfiguration(2, services);
  return deployment;
}

// Its pool took the VMs of all other pools but one each, for as long as the work waited.
describe('work that no further VM could run', () => {
  const wide = {taskCount: TASKS, processorMillicores: 4_000};
  const unplaceable: Record<string, Partial<StepSpecification>> = {
    'for want of a label': {...wide, requiredLabel: 'missing'},
    'since it is too large by processor': {
      ...wide,
      processorMillicores: 16_000,
    },
    'since it is too large by memory': {...wide, memoryMegabytes: 128_000},
    'for want of accelerators': {...wide, accelerators: 1},
  };
  for (const [why, overrides] of Object.entries(unplaceable))
    for (const longRunning of [true, false])
      it(`${why} moves no VM (${longRunning ? 'lasting' : 'long'})`, async () => {
        const idle = deploymentOfTwoServices();
        await idle.startDaemon('one');
        await idle.run(20_000);
        const deployment = deploymentOfTwoServices();
        const daemon = await deployment.startDaemon('one');
        const estimatedMilliseconds = longRunning ? 500 : 60_000;
        const steps = [
          step({...overrides, longRunning, estimatedMilliseconds}),
        ];
        await submit(deployment, daemon, job('unplaceable', steps));
        await deployment.run(20_000);
        assert.deepEqual(poolSizes(deployment), poolSizes(idle));
      });

  async function runLabelledWork(deployment: TestDeployment): Promise<void> {
    const daemon = await deployment.startDaemon('one');
    const steps = [step({...wide, longRunning: true, requiredLabel: 'rare'})];
    await submit(deployment, daemon, job('rare', steps));
    await deployment.run(20_000);
  }

  it('than the one in its pool moves no VM', async () => {
    const deployment = deploymentOfTwoServices();
    const labelled = deployment.fleet.vms.get('worker-0')!;
    deployment.fleet.add({...labelled, labels: ['rare']});
    await runLabelledWork(deployment);
    const sizes = poolSizes(deployment);
    assert.ok(sizes[OTHER_SERVICE] >= 2, JSON.stringify(sizes));
    assert.ok(sizes[STANDBY] >= STANDBY_VMS, JSON.stringify(sizes));
  });

  it('and has a VM elsewhere gets it', async () => {
    const deployment = deploymentOfTwoServices();
    const spare = deployment.fleet.vms.get('spare-0')!;
    deployment.fleet.add({...spare, labels: ['rare']});
    await runLabelledWork(deployment);
    assert.equal(deployment.fleet.vms.get('spare-0')?.pool, SERVICE);
  });
});
