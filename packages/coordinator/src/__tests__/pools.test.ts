import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {LogStream} from '../index.js';
import {StoreFault} from '../stand-ins/index.js';
import {
  SERVICE,
  STANDBY,
  TestDaemon,
  TestDeployment,
  job,
  step,
} from './deployment.js';

const BOUND = 3_000;

async function turn(
  deployment: TestDeployment,
  daemon: TestDaemon,
  seconds: number,
): Promise<void> {
  for (let tick = 0; tick < 10 * seconds; tick++) {
    const submittedAtMilliseconds = deployment.clock.wallMilliseconds();
    const id = `job-${submittedAtMilliseconds}`;
    const asked = {...job(id, [step({taskCount: 4})]), submittedAtMilliseconds};
    void daemon.desk.submit(asked, BOUND);
    await deployment.run(100);
  }
}

describe('a pool whose tasks need much memory', () => {
  // Callers wait although a dozen VMs are off. Two tasks fill the memory of a VM and a quarter of its
  // processor; reckoned by the processor alone the pool seemed to have room for six more on each.
  it('is given VMs as its memory fills', async () => {
    const deployment = new TestDeployment(2);
    deployment.linkFleet();
    for (let index = 0; index < 12; index++)
      deployment.addWorker(`spare-${index}`, STANDBY);
    const daemon = await deployment.startDaemon('one');
    const large = step({
      taskCount: 12,
      processorMillicores: 1_000,
      memoryMegabytes: 32_000,
    });
    const submittedAtMilliseconds = deployment.clock.wallMilliseconds();
    void daemon.desk.submit(
      {...job('large', [large]), submittedAtMilliseconds},
      BOUND,
    );
    await deployment.run(600);
    const fetched = deployment.fleet.orders.filter(
      order => order.to === SERVICE,
    );
    assert.ok(fetched.length >= 4, `${fetched.length}`);
  });
});

describe('a pool whose tasks may not share a VM', () => {
  // Two of three tasks of a job that lasts are away for half a minute. They ask for a tenth of a VM each, so
  // the pool seems large enough; it is enlarged by one VM, and by the next only when that one has come.
  it('is given all the VMs that they need at once', async () => {
    const deployment = new TestDeployment(2);
    deployment.linkFleet();
    for (let index = 0; index < 20; index++)
      deployment.addWorker(`spare-${index}`, STANDBY);
    const daemon = await deployment.startDaemon('one');
    await deployment.startLastingJob(daemon, {
      taskCount: 12,
      processorMillicores: 100,
      maximumPerWorker: 1,
    });
    await deployment.run(2_500);
    assert.equal(deployment.begunRuns().length, 12);
  });
});

describe('a pool', () => {
  function released(deployment: TestDeployment): number {
    return deployment.fleet.orders.filter(order => order.to === STANDBY).length;
  }

  async function inATurn(): Promise<{
    deployment: TestDeployment;
    daemon: TestDaemon;
  }> {
    const deployment = new TestDeployment(6);
    deployment.linkFleet();
    deployment.addWorker('spare-0', STANDBY);
    const daemon = await deployment.startDaemon('one');
    await turn(deployment, daemon, 4);
    return {deployment, daemon};
  }

  // Callers are refused while the jobs can't be written and come back all at once. Meanwhile nothing
  // seemed to arrive, the VMs were given back one after the other, and the callers found none.
  it('keeps its VMs while the jobs can’t be read', async () => {
    const {deployment, daemon} = await inATurn();
    daemon.store.setFault(StoreFault.Refusing, LogStream.Submissions);
    await deployment.run(1_000);
    const before = released(deployment);
    await deployment.run(5_000);
    assert.equal(released(deployment), before);
  });

  it('gives its VMs back when its turn is over', async () => {
    const {deployment} = await inATurn();
    await deployment.run(6_000);
    assert.ok(released(deployment) > 0);
  });
});
