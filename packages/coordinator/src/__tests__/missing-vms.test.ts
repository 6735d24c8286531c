import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {VirtualClock} from '@gentiandoor/kernel';
import {LogStream} from '../index.js';
import {MissingVms} from '../missing-vms.js';
import {WorkerFault, overlappingRuns} from '../stand-ins/index.js';
import {TestDeployment} from './deployment.js';

/** Lets the next list of VMs leave one out. */
function leaveOutOnce({fleet}: TestDeployment, workerId: string): void {
  const list = fleet.list.bind(fleet);
  fleet.list = async () => {
    fleet.list = list;
    const vms = await list();
    return vms.filter(vm => vm.workerId !== workerId);
  };
}

/** Asserts that the task was started a second time, and only after its first run was over. */
function assertStartedAgainLater(deployment: TestDeployment): void {
  const runs = deployment.startedRuns();
  assert.deepEqual(overlappingRuns(runs), []);
  assert.equal(runs.length, 2);
}

describe('MissingVms', () => {
  // A VM that changed its pool between two pages of the list was taken for gone, and its
  // wave was reported as completed without its maintenance.
  it('does not take a VM for gone that one list leaves out', async () => {
    const clock = new VirtualClock();
    const missing = new MissingVms(clock);
    const list: never[] = [];
    for (let plan = 0; plan < 100; plan++) {
      assert.equal(missing.isGone('vm', list), false);
      await clock.advanceAsync(100);
    }
  });

  it('begins anew when a list contains the VM again', async () => {
    const clock = new VirtualClock();
    const missing = new MissingVms(clock);
    for (let list = 0; list < 20; list++) {
      if (list % 4 === 3) missing.notePresent('vm');
      else assert.equal(missing.isGone('vm', []), false);
      await clock.advanceAsync(1_000);
    }
  });

  // The wave would never be completed.
  it('takes a VM for gone that all lists have left out for seconds', async () => {
    const clock = new VirtualClock();
    const missing = new MissingVms(clock);
    let isGone = false;
    for (let list = 0; list < 10; list++) {
      isGone = missing.isGone('vm', []);
      await clock.advanceAsync(500);
    }
    assert.ok(isGone);
  });
});

describe('a worker behind a partition whose VM one list leaves out', () => {
  // The worker runs on. Taken for gone, its tasks would be started a second time beside it.
  it('keeps its runs until its lease is over', async () => {
    const deployment = new TestDeployment(2);
    deployment.linkFleet();
    const daemon = await deployment.startDaemon('one');
    await deployment.startLongRunningJob(daemon);
    const [{worker}] = deployment.startedRuns();
    daemon.workers.setFault(worker, WorkerFault.Cut);
    await deployment.run(2_000);
    leaveOutOnce(deployment, worker);
    await deployment.run(20_000);

    assertStartedAgainLater(deployment);
  });

  // The same for a run of an earlier coordinator on a worker without an entry.
  it('keeps runs that a successor knows from their records', async () => {
    const deployment = new TestDeployment(2);
    deployment.linkFleet();
    const first = await deployment.startDaemon('one');
    await deployment.startLongRunningJob(first);
    const [{worker}] = deployment.startedRuns();
    deployment.store.write(LogStream.Workers, {key: worker, value: undefined});
    first.kill();
    await deployment.startDaemon('two');
    leaveOutOnce(deployment, worker);
    await deployment.run(20_000);

    assertStartedAgainLater(deployment);
  });
});
