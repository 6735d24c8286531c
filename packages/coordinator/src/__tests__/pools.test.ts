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

const TIMEOUT = 3_000;
/** Duration of a move in these tests. */
const MOVE_MILLISECONDS = 1_500;

async function submitBurst(
  deployment: TestDeployment,
  daemon: TestDaemon,
  seconds: number,
): Promise<void> {
  for (let tick = 0; tick < 10 * seconds; tick++) {
    const submittedAtMilliseconds = deployment.clock.wallMilliseconds();
    const id = `job-${submittedAtMilliseconds}`;
    const submission = {
      ...job(id, [step({taskCount: 4})]),
      submittedAtMilliseconds,
    };
    void daemon.jobIntake.submit(submission, TIMEOUT);
    await deployment.run(100);
  }
}

describe('a pool whose tasks need much memory', () => {
  // Two tasks fill the memory of a VM and a quarter of its processor; judged by the
  // processor alone the pool seemed to have capacity for six more on each. Callers wait
  // although a dozen VMs are off.
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
    void daemon.jobIntake.submit(
      {...job('large', [large]), submittedAtMilliseconds},
      TIMEOUT,
    );
    await deployment.run(600);
    const movedToPool = deployment.fleet.orders.filter(
      order => order.to === SERVICE,
    );
    assert.ok(movedToPool.length >= 4, `${movedToPool.length}`);
  });
});

describe('a pool whose tasks may not share a VM', () => {
  // Two of three tasks of a long-running job are missing for half a minute. They request
  // a tenth of a VM each, so the pool seems large enough; it is enlarged by one VM, and
  // by the next only once that one has arrived.
  it('is given all the VMs that its tasks need at once', async () => {
    const deployment = new TestDeployment(2);
    deployment.linkFleet();
    for (let index = 0; index < 20; index++)
      deployment.addWorker(`spare-${index}`, STANDBY);
    const daemon = await deployment.startDaemon('one');
    await deployment.startLongRunningJob(daemon, {
      taskCount: 12,
      processorMillicores: 100,
      maximumPerWorker: 1,
    });
    await deployment.run(2_500);
    assert.equal(deployment.startedRuns().length, 12);
  });
});

describe('a pool whose VMs have no workers', () => {
  // VMs that are up and whose workers never register counted as being on their way for ever, so
  // that no other VM came and all jobs of the pool stayed queued.
  it('is given other VMs', async () => {
    const deployment = new TestDeployment(3);
    deployment.linkFleet();
    for (let index = 0; index < 4; index++)
      deployment.addWorker(`spare-${index}`, STANDBY);
    const daemon = await deployment.startDaemon('one');
    for (let index = 0; index < 3; index++)
      deployment.store.write(LogStream.Workers, {
        key: `worker-${index}`,
        value: undefined,
      });
    await deployment.run(1_000);
    void daemon.jobIntake.submit(job('waits'), TIMEOUT);
    await deployment.run(10_000);
    assert.equal(deployment.startedRuns().length, 1);
  });
});

describe('a pool with waiting work', () => {
  // Each read of submissions took longer than the age up to which they counted as
  // current, so no VM was moved until the store was fast again. Callers wait for seconds
  // next to VMs that are off.
  it('is given VMs while the store responds slowly', async () => {
    const deployment = new TestDeployment(2);
    deployment.linkFleet();
    for (let index = 0; index < 12; index++)
      deployment.addWorker(`spare-${index}`, STANDBY);
    const daemon = await deployment.startDaemon('one');
    daemon.store.answerMilliseconds = 700;
    await submitBurst(deployment, daemon, 3);
    await deployment.run(1_500);
    const arrived = deployment.fleet.orders.filter(
      order => order.to === SERVICE,
    );
    assert.ok(arrived.length >= 4, `${arrived.length}`);
  });
});

describe('a pool', () => {
  function released(deployment: TestDeployment): number {
    return deployment.fleet.orders.filter(order => order.to === STANDBY).length;
  }

  async function deploymentInBurst(): Promise<{
    deployment: TestDeployment;
    daemon: TestDaemon;
  }> {
    const deployment = new TestDeployment(6);
    deployment.linkFleet();
    deployment.addWorker('spare-0', STANDBY);
    const daemon = await deployment.startDaemon('one');
    await submitBurst(deployment, daemon, 4);
    return {deployment, daemon};
  }

  // Callers are refused while the jobs can't be written and come back all at once.
  // Meanwhile nothing seemed to arrive, the VMs were released one after the other, and
  // the callers found none.
  it('keeps its VMs while the jobs can’t be read', async () => {
    const {deployment, daemon} = await deploymentInBurst();
    daemon.store.setFault(StoreFault.Refusing, LogStream.Submissions);
    await deployment.run(1_000);
    const before = released(deployment);
    await deployment.run(5_000);
    assert.equal(released(deployment), before);
  });

  // A VM counted as idle since its time in the standby pool. After a short burst it was
  // released in the moment of its arrival, and callers of the next burst waited for
  // another move.
  it('keeps a VM that has just arrived', async () => {
    const deployment = new TestDeployment(2);
    deployment.linkFleet();
    for (let index = 0; index < 12; index++)
      deployment.addWorker(`spare-${index}`, STANDBY);
    const daemon = await deployment.startDaemon('one');
    await submitBurst(deployment, daemon, 1);
    await deployment.run(4_000);
    const arrivedAt = new Map<string, number>();
    for (const {vm, to, at} of deployment.fleet.orders) {
      const arrival = arrivedAt.get(vm);
      if (to === SERVICE) arrivedAt.set(vm, at + MOVE_MILLISECONDS);
      else if (arrival !== undefined) assert.ok(at >= arrival + 1_000);
    }
    assert.ok(arrivedAt.size > 0);
  });

  it('releases its VMs when its burst is over', async () => {
    const {deployment} = await deploymentInBurst();
    await deployment.run(6_000);
    assert.ok(released(deployment) > 0);
  });
});
