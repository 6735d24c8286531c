import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {RunEnd} from '@gentiandoor/jobs';
import {MemoryMetrics, MetricName} from '@gentiandoor/kernel';
import {VmState, WorkerState} from '../index.js';
import {WorkerFault} from '../stand-ins/index.js';
import {
  TestDaemon,
  TestDeployment,
  behaviour,
  job,
  step,
} from './deployment.js';

const TIMEOUT = 3_000;
const WORKER = 'worker-0';

function endsOf(daemon: TestDaemon, end: RunEnd): number {
  const metrics = daemon.parts.metrics as MemoryMetrics;
  return metrics.value(MetricName.RunEnds, {end}) ?? 0;
}

describe('a run that ends together with its worker', () => {
  async function startRun(): Promise<{
    deployment: TestDeployment;
    daemon: TestDaemon;
  }> {
    const deployment = new TestDeployment(1);
    deployment.behaviours.set('a', behaviour({durationMilliseconds: 30_000}));
    const daemon = await deployment.startDaemon('one');
    void daemon.jobIntake.submit(job('a', [step({taskCount: 1})]), TIMEOUT);
    await deployment.run(500);
    return {deployment, daemon};
  }

  it('counts as crashed when the worker ends without warning', async () => {
    const {deployment, daemon} = await startRun();
    deployment.crashWorker(WORKER);
    await deployment.run(2_000);
    assert.equal(endsOf(daemon, RunEnd.Crashed), 1);
    assert.equal(endsOf(daemon, RunEnd.Lost), 0);
  });

  it('counts as lost when the worker is partitioned until its lease expires', async () => {
    const {deployment, daemon} = await startRun();
    daemon.workers.setFault(WORKER, WorkerFault.Cut);
    await deployment.run(12_000);
    assert.equal(endsOf(daemon, RunEnd.Lost), 1);
    assert.equal(endsOf(daemon, RunEnd.Crashed), 0);
  });

  it('counts as lost when the worker had announced that it drains', async () => {
    const {deployment, daemon} = await startRun();
    const worker = deployment.worker(WORKER);
    assert.ok(worker);
    worker.state = WorkerState.Draining;
    deployment.writeEntry(worker);
    await deployment.run(500);
    deployment.crashWorker(WORKER);
    await deployment.run(2_000);
    assert.equal(endsOf(daemon, RunEnd.Lost), 1);
    assert.equal(endsOf(daemon, RunEnd.Crashed), 0);
  });

  it('counts as lost when an earlier coordinator has its VM moved', async () => {
    const {deployment, daemon} = await startRun();
    const vm = deployment.fleet.vms.get(WORKER);
    assert.ok(vm);
    deployment.worker(WORKER)?.crash();
    deployment.fleet.vms.set(WORKER, {
      ...vm,
      state: VmState.Moving,
      workerId: '',
    });
    await deployment.run(2_000);
    assert.equal(endsOf(daemon, RunEnd.Lost), 1);
    assert.equal(endsOf(daemon, RunEnd.Crashed), 0);
  });
});
