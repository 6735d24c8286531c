import assert from 'node:assert/strict';
import {request as openRequest} from 'node:http';
import {after, before, describe, it} from 'node:test';
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
const JOB = {spec: 'text', steps: [{count: 1, cpu: 1_000, mem_mb: 10}]};

describe('a daemon with organisations', () => {
  const platform = new StandInPlatform({
    services: ['previews'],
    standbyService: 'spare',
    workersPerService: 1,
    capacity: CAPACITY,
    behaviourOf: () => ({
      durationMilliseconds: 100,
      end: RunEnd.Done,
      resources: {...CAPACITY, processorMillicores: 1_000},
    }),
  });
  let daemon: RunningDaemon;
  let version = 1;

  function publish(...adviserKeys: string[]): void {
    platform.organisations = [
      {name: 'advisers', keys: adviserKeys},
      {name: 'auditors', keys: ['open-audit']},
    ];
    platform.publishConfiguration(++version);
  }

  before(async () => {
    await platform.start();
    publish('open-one');
    daemon = await RunningDaemon.start(platform);
    await assertEventually(200, () => call('GET', 'open-one'));
  });

  after(() => daemon.stop());

  async function call(
    method: 'GET' | 'POST' | 'DELETE',
    key: string | string[] | undefined,
    path = '',
  ): Promise<number> {
    const headers = {host: QUEUE_HOST, 'x-deadline-ms': '3000'};
    const response = await request(
      `http://127.0.0.1:${daemon.callerPort}/previews/${path}`,
      {
        method,
        headers:
          key === undefined ? headers : {...headers, 'x-credential': key},
        body: method === 'POST' ? JSON.stringify(JOB) : undefined,
      },
    );
    await response.body.dump();
    return response.statusCode;
  }

  async function assertEventually(
    expected: number,
    poll: () => Promise<number>,
  ): Promise<void> {
    assert.equal(
      await eventually(poll, status => status === expected),
      expected,
    );
  }

  it('accepts a key that an organisation holds and rejects all others', async () => {
    assert.equal(await call('POST', 'open-one', '0000000000000001'), 200);
    for (const key of [
      undefined,
      '',
      'open-on',
      'open-one ',
      ['open-one', 'open-audit'],
    ])
      assert.equal(
        await call('POST', key, '0000000000000002'),
        key === 'open-one ' ? 200 : 401,
        `key ${String(key)}`,
      );
  });

  it('shows a job to its organisation only', async () => {
    assert.equal(await call('GET', 'open-one', '0000000000000001'), 200);
    assert.equal(await call('GET', 'open-audit', '0000000000000001'), 410);
    assert.equal(await call('DELETE', 'open-audit', '0000000000000001'), 410);
    assert.equal(await call('POST', 'open-audit', '0000000000000001'), 409);
    assert.equal(await call('GET', undefined, '0000000000000001'), 401);
  });

  it('rejects a call without a key before its body has arrived', async () => {
    const status = await new Promise(resolve => {
      const open = openRequest({
        port: daemon.callerPort,
        path: '/previews/0000000000000003',
        method: 'POST',
        headers: {host: QUEUE_HOST, 'content-length': '5000'},
      });
      open.on('response', response => {
        resolve(response.statusCode);
        open.destroy();
      });
      open.flushHeaders();
    });
    assert.equal(status, 401);
  });

  it('accepts a new key at once and stops accepting a removed one', async () => {
    publish('open-two');
    assert.equal(await call('GET', 'open-two'), 200);
    await assertEventually(401, () => call('GET', 'open-one'));
    assert.equal(await call('GET', 'open-two', '0000000000000001'), 200);
  });

  it('exposes no key in its metrics', async () => {
    const address = daemon.parts.metricsServer.boundAddress;
    const response = await request(`http://${address}/metrics`);
    const text = await response.body.text();
    assert.match(text, /organisation_jobs\{organisation="advisers"/);
    assert.match(text, /calls_refused\{reason="refused"\}/);
    assert.doesNotMatch(text, /open-/);
  });
});
