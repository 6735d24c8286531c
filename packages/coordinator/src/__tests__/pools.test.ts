import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {LogStream} from '../index.js';
import {StoreFault} from '../stand-ins/index.js';
import {STANDBY, TestDaemon, TestDeployment, job, step} from './deployment.js';

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
    const daemon = new TestDaemon(deployment, 'one');
    daemon.start();
    await deployment.run(200);
    await turn(deployment, daemon, 4);
    return {deployment, daemon};
  }

  // Callers are refused while the jobs can't be written and come back all at once. Meanwhile nothing
  // seemed to arrive, the VMs were given back one after the other, and the callers found none.
  it('keeps its VMs while the jobs can’t be read', async () => {
    const {deployment, daemon} = await inATurn();
    daemon.store.setFault(StoreFault.Refusing, LogStream.Jobs);
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
