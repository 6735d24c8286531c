import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {DaemonReadiness} from '../index.js';
import {StoreFault} from '../stand-ins/index.js';
import {TestDeployment, job, type TestDaemon} from './deployment.js';

const TIMEOUT = 3_000;

async function readyDaemon(): Promise<{
  deployment: TestDeployment;
  daemon: TestDaemon;
  readiness: DaemonReadiness;
}> {
  const deployment = new TestDeployment(1);
  const daemon = await deployment.startDaemon('one');
  const {operators, jobIntake} = daemon;
  const readiness = new DaemonReadiness(operators, jobIntake, () => false);
  return {deployment, daemon, readiness};
}

describe('a daemon', () => {
  it('is ready once it has a configuration', async () => {
    const {readiness} = await readyDaemon();
    assert.equal(readiness.isReady, true);
  });

  // Callers of a data centre that is cut off from the store are refused by its daemons,
  // retry a second later and reach the next daemon in the same data centre. The load
  // balancer can send them elsewhere once these daemons report that they are not ready.
  it('becomes unready once its store does not respond, and ready again afterwards', async () => {
    const {deployment, daemon, readiness} = await readyDaemon();
    daemon.store.setFault(StoreFault.Silent);
    void daemon.jobIntake.submit(job('behind-the-cut'), TIMEOUT);
    await deployment.run(2_000);
    assert.equal(readiness.isReady, false);
    daemon.store.setFault(undefined);
    await deployment.run(3_000);
    assert.equal(readiness.isReady, true);
  });

  it('becomes unready at once when the store refuses its calls', async () => {
    const {deployment, daemon, readiness} = await readyDaemon();
    daemon.store.setFault(StoreFault.Refusing);
    void daemon.jobIntake.submit(job('turned-down'), TIMEOUT);
    await deployment.run(400);
    assert.equal(readiness.isReady, false);
  });

  // A single lost response is no reason to send callers elsewhere.
  it('stays ready when one response is lost', async () => {
    const {deployment, daemon, readiness} = await readyDaemon();
    daemon.store.setFault(StoreFault.Refusing);
    void daemon.jobIntake.submit(job('lost'), TIMEOUT);
    await deployment.run(10);
    daemon.store.setFault(undefined);
    await deployment.run(400);
    assert.equal(readiness.isReady, true);
  });
});
