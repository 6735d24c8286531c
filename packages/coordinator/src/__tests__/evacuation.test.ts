import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {LogStream} from '../index.js';
import {WorkerFault, type SimulatedWorker} from '../stand-ins/index.js';
import {TestDeployment} from './deployment.js';

const STOP_MILLISECONDS = 900;
/** Too short to wait until VMs are idle by themselves: they are evacuated at once. */
const SHORT_WAVE_MILLISECONDS = 3_000;

describe('a VM that is evacuated for maintenance', () => {
  describe('when the coordinator changes while a run is being stopped', () => {
    // The coordinator has one task of the step stopped and releases its term; the worker
    // takes its time and meanwhile lists the run as alive. The next coordinator considers
    // the step complete and has a second task stopped: a service that may miss one task
    // misses two.
    it('loses no second task of the step before the first is back', async () => {
      const deployment = new TestDeployment(2);
      const first = await deployment.startDaemon('one');
      await deployment.startLongRunningJob(first, {
        taskCount: 2,
        maximumPerWorker: 1,
        mayMiss: 1,
      });
      // The long polls show the tasks as running.
      await deployment.run(2_000);
      const [kept, stopped] = [
        workerOf(deployment, 'worker-0'),
        workerOf(deployment, 'worker-1'),
      ];
      assert.equal(kept.running.length, 1);
      assert.equal(stopped.running.length, 1);
      stopped.stopMilliseconds = STOP_MILLISECONDS;
      requestWave(deployment, 1, kept.id, 60_000);
      requestWave(deployment, 2, stopped.id, SHORT_WAVE_MILLISECONDS);
      for (let tries = 0; tries < 100 && stopped.stopsAsked === 0; tries++)
        await deployment.run(10);
      assert.equal(stopped.stopsAsked, 1);
      void first.election.stop();
      // The operators shorten the first wave, so that the next coordinator begins with it.
      requestWave(deployment, 1, kept.id, SHORT_WAVE_MILLISECONDS);
      const second = await deployment.startDaemon('two');
      await deployment.run(400);

      assert.ok(second.coordinator);
      assert.equal(stopped.running.length, 1, 'the stop is still in progress');
      assert.equal(kept.stopsAsked, 0);
    });
  });

  describe('when its worker has no entry', () => {
    // The worker is unreachable, its entry has expired and the coordinator has changed:
    // no session with it is known, and nothing seems to run on its VM. Maintaining the VM
    // would make a service lose its tasks at once.
    it('is not maintained while tasks may run on it', async () => {
      const deployment = new TestDeployment(1);
      const first = await deployment.startDaemon('one');
      await deployment.startLongRunningJob(first, {mayMiss: 1});
      const worker = workerOf(deployment, 'worker-0');
      deployment.store.write(LogStream.Workers, {
        key: worker.id,
        value: undefined,
      });
      first.kill();
      const second = await deployment.startDaemon('two');
      second.workers.setFault(worker.id, WorkerFault.Cut);
      requestWave(deployment, 1, worker.id, 20_000);
      await deployment.run(5_000);
      assert.ok(second.coordinator);
      assert.deepEqual(deployment.fleet.orders, []);

      // The worker never comes back: its VM can be maintained once no run on it can be
      // alive.
      await deployment.run(8_000);
      assert.equal(deployment.fleet.orders.length, 1);
    });
  });
});

function workerOf(deployment: TestDeployment, id: string): SimulatedWorker {
  const worker = deployment.worker(id);
  assert.ok(worker);
  return worker;
}

function requestWave(
  deployment: TestDeployment,
  number: number,
  vm: string,
  durationMilliseconds: number,
): void {
  deployment.writeOperatorRecord(`wave-${number}`, {
    kind: 'wave',
    wave: {number, vms: [vm], durationMilliseconds, maximumAtOnce: 1},
  });
}
