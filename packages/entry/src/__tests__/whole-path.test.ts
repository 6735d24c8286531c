import assert from 'node:assert/strict';
import {connect} from 'node:net';
import {after, before, describe, it} from 'node:test';
import {setTimeout} from 'node:timers/promises';
import {LogStream} from '@gentiandoor/coordinator';
import {StoreFault} from '@gentiandoor/coordinator/stand-ins';
import {RunEnd} from '@gentiandoor/jobs';
import {QUEUE_HOST, StandInPlatform} from '@gentiandoor/platform/stand-ins';
import {request} from 'undici';
import {eventually} from './eventually.js';
import {RunningDaemon} from './running-daemon.js';

const CAPACITY = {
  processorMillicores: 8_000,
  memoryMegabytes: 64_000,
  accelerators: 0,
};
const TASK_RESOURCES = {...CAPACITY, processorMillicores: 1_000};
const LEAVES_AFTER_MILLISECONDS = 100;

describe('a daemon on the platform', () => {
  const platform = new StandInPlatform({
    services: ['previews'],
    standbyService: 'spare',
    workersPerService: 2,
    capacity: CAPACITY,
    behaviourOf: task => ({
      durationMilliseconds: task.startsWith('f') ? 60_000 : 100,
      end: RunEnd.Done,
      resources: TASK_RESOURCES,
    }),
  });
  let daemon: RunningDaemon;

  before(async () => {
    await platform.start();
    daemon = await RunningDaemon.start(platform);
  });

  after(() => daemon.stop());

  async function call(
    method: 'GET' | 'POST' | 'DELETE',
    path: string,
    body?: object,
  ): Promise<{status: number; body: Record<string, unknown>}> {
    const response = await request(
      `http://127.0.0.1:${daemon.callerPort}${path}`,
      {
        method,
        headers: {host: QUEUE_HOST, 'x-deadline-ms': '3000'},
        body: body && JSON.stringify(body),
      },
    );
    const text = await response.body.text();
    return {
      status: response.statusCode,
      body: JSON.parse(text) as Record<string, unknown>,
    };
  }

  const JOB = {
    spec: 'text',
    steps: [
      {count: 2, cpu: 1_000, mem_mb: 10, estimated_ms: 100},
      {count: 1, cpu: 1_000, mem_mb: 10, estimated_ms: 100, after: [0]},
    ],
  };

  it('becomes ready', async () => {
    const status = await eventually(
      async () => {
        const response = await request(
          `http://127.0.0.1:${daemon.readinessPort}/ready`,
        );
        await response.body.dump();
        return response.statusCode;
      },
      response => response === 200,
    );
    assert.equal(status, 200);
  });

  it('runs a job to completion', async () => {
    const path = '/previews/0000000000000001';
    assert.equal((await call('POST', path, JOB)).status, 200);
    const response = await eventually(
      () => call('GET', path),
      ({body}) => body.state === 'completed',
    );
    assert.deepEqual(response.body, {state: 'completed'});
    assert.equal(platform.startedRuns().length, 3);
  });

  it('cancels a job', async () => {
    const path = '/previews/f000000000000002';
    assert.equal((await call('POST', path, JOB)).status, 200);
    assert.equal((await call('DELETE', path)).status, 200);
    const response = await eventually(
      () => call('GET', path),
      ({body}) => body.state === 'cancelled',
    );
    assert.equal(response.body.state, 'cancelled');
  });

  it('responds at once to requests that it cannot serve', async () => {
    const unknown = await call('GET', '/previews/000000000000dead');
    assert.equal(unknown.status, 410);
    const noQueue = await call('POST', '/other/0000000000000003', JOB);
    assert.equal(noQueue.status, 404);
    const noSteps = await call('POST', '/previews/0000000000000004', {});
    assert.equal(noSteps.status, 400);
    const notAnId = await call('POST', '/previews/x', JOB);
    assert.equal(notAnId.status, 404);
  });

  it('returns the number of pending jobs', async () => {
    const response = await call('GET', '/previews/');
    assert.equal(response.status, 200);
    assert.equal(typeof response.body.pending, 'number');
  });

  it('serves metrics as text', async () => {
    const address = daemon.parts.metricsServer.boundAddress;
    const response = await request(`http://${address}/metrics`);
    assert.match(
      await response.body.text(),
      /gentiandoor_job_submissions\{answer="taken"\} 2/,
    );
  });

  it('records that a caller left before its answer', async () => {
    platform.storeConnection.setFault(StoreFault.Silent, LogStream.Submissions);
    const body = JSON.stringify(JOB);
    const socket = connect(daemon.callerPort, '127.0.0.1');
    socket.write(
      `POST /previews/00000000000000aa HTTP/1.1\r\nHost: ${QUEUE_HOST}\r\nContent-Length: ${body.length}\r\n\r\n${body}`,
    );
    await setTimeout(LEAVES_AFTER_MILLISECONDS);
    socket.destroy();
    const text = await eventually(
      () => daemon.parts.metrics.text(),
      metrics => metrics.includes('callers_left{'),
    );
    assert.match(text, /gentiandoor_callers_left\{method="POST"\} 1/);
  });
});
