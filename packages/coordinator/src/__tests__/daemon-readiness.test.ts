import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {DaemonReadiness} from '../index.js';
import {StoreFault} from '../stand-ins/index.js';
import {TestDeployment, job, type TestDaemon} from './deployment.js';

const BOUND = 3_000;

async function readyDaemon(): Promise<{
  deployment: TestDeployment;
  daemon: TestDaemon;
  readiness: DaemonReadiness;
}> {
  const deployment = new TestDeployment(1);
  const daemon = await deployment.startDaemon('one');
  const {operators, desk} = daemon;
  const readiness = new DaemonReadiness(operators, desk, () => false);
  return {deployment, daemon, readiness};
}

describe('a daemon', () => {
  it('is ready once it has a configuration', async () => {
    const {readiness} = await readyDaemon();
    assert.equal(readiness.isReady, true);
  });

  // Callers of a data centre that is cut off are refused by its daemons, try again a second later and
  // meet the next daemon behind the same cut. The balancer knows better places, once it is told.
  it('sends its callers away once its store is silent, and has them back', async () => {
    const {deployment, daemon, readiness} = await readyDaemon();
    daemon.store.setFault(StoreFault.Silent);
    void daemon.desk.submit(job('behind-the-cut'), BOUND);
    await deployment.run(2_000);
    assert.equal(readiness.isReady, false);
    daemon.store.setFault(undefined);
    await deployment.run(3_000);
    assert.equal(readiness.isReady, true);
  });

  it('sends its callers away at once when the store turns it down', async () => {
    const {deployment, daemon, readiness} = await readyDaemon();
    daemon.store.setFault(StoreFault.Refusing);
    void daemon.desk.submit(job('turned-down'), BOUND);
    await deployment.run(400);
    assert.equal(readiness.isReady, false);
  });

  // One lost answer is no reason to send callers elsewhere.
  it('stays ready when one answer is lost', async () => {
    const {deployment, daemon, readiness} = await readyDaemon();
    daemon.store.setFault(StoreFault.Refusing);
    void daemon.desk.submit(job('lost'), BOUND);
    await deployment.run(10);
    daemon.store.setFault(undefined);
    await deployment.run(400);
    assert.equal(readiness.isReady, true);
  });
});
