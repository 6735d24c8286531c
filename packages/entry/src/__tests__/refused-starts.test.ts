import assert from 'node:assert/strict';
import {after, before, describe, it} from 'node:test';
import {RunEnd} from '@gentiandoor/jobs';
import {
  QUEUE_HOST,
  StandInPlatform,
  WorkerServerFault,
} from '@gentiandoor/platform/stand-ins';
import {request} from 'undici';
import {eventually} from './eventually.js';
import {RunningDaemon} from './running-daemon.js';

const SERVICES = Array.from({length: 24}, (_, index) => `service-${index}`);
const CAPACITY = {
  processorMillicores: 8_000,
  memoryMegabytes: 64_000,
  accelerators: 0,
};
const GAP_MILLISECONDS = 60;
const SETTLED_MILLISECONDS = 2_500;

function pause(milliseconds: number): Promise<void> {
  return new Promise(resolve => {
    setTimeout(resolve, milliseconds);
  });
}

describe('a start that a worker refused for lack of capacity', () => {
  const platform = new StandInPlatform({
    services: SERVICES,
    standbyService: 'spare',
    workersPerService: 1,
    capacity: CAPACITY,
    // A new entry would show the worker as free again.
    heartbeatMilliseconds: 60_000,
    behaviourOf: () => ({
      durationMilliseconds: 100,
      end: RunEnd.Done,
      resources: {...CAPACITY, processorMillicores: 1_000},
    }),
  });
  let daemon: RunningDaemon;

  before(async () => {
    await platform.start();
    daemon = await RunningDaemon.start(platform);
  });

  after(() => daemon.stop());

  async function submit(service: string): Promise<number> {
    const id = SERVICES.indexOf(service).toString(16).padStart(16, '0');
    const response = await request(
      `http://127.0.0.1:${daemon.callerPort}/${service}/${id}`,
      {
        method: 'POST',
        headers: {host: QUEUE_HOST, 'x-deadline-ms': '3000'},
        body: JSON.stringify({
          spec: 'text',
          steps: [{count: 1, cpu: 1_000, mem_mb: 10, estimated_ms: 100}],
        }),
      },
    );
    await response.body.dump();
    return response.statusCode;
  }

  // The single timer that was to place the task again fired up to a millisecond early on a real
  // clock, found the worker still counted as full, and the job stayed queued beside it for ever.
  it('is ordered again without any other event', async () => {
    await eventually(
      () => submit(SERVICES[0]),
      status => status === 200,
    );
    for (const {id} of platform.liveWorkers())
      platform.setWorkerFault(id, WorkerServerFault.Full);
    for (const service of SERVICES.slice(1)) {
      assert.equal(await submit(service), 200);
      // Rounds that follow each other closely are delayed, beyond the time of the timer.
      await pause(GAP_MILLISECONDS);
    }
    for (const {id} of platform.liveWorkers())
      platform.setWorkerFault(id, undefined);
    await pause(SETTLED_MILLISECONDS);
    const started = new Set(platform.startedRuns().map(({task}) => task));
    assert.equal(started.size, SERVICES.length);
  });
});
