import assert from 'node:assert/strict';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {after, before, describe, it} from 'node:test';
import {RunEnd} from '@gentiandoor/jobs';
import {readPlatformSettings} from '@gentiandoor/platform';
import {
  QUEUE_HOST,
  StandInPlatform,
  standInSettings,
} from '@gentiandoor/platform/stand-ins';
import {request} from 'undici';
import {wireEntry, type EntryParts} from '../wiring.js';
import {freePort} from './free-port.js';

const ROOM = {
  processorMillicores: 8_000,
  memoryMegabytes: 64_000,
  accelerators: 0,
};
const TASK_ROOM = {...ROOM, processorMillicores: 1_000};
const GIVE_UP_ROUNDS = 400;
const ROUND_MILLISECONDS = 50;

/** Asks again until the answer is as wanted: the daemon works in real time here. */
async function eventually<Answer>(
  ask: () => Promise<Answer>,
  wanted: (answer: Answer) => boolean,
): Promise<Answer> {
  for (let round = 0; ; round++) {
    const answer = await ask();
    if (wanted(answer) || round === GIVE_UP_ROUNDS) return answer;
    await new Promise(resolve => {
      setTimeout(resolve, ROUND_MILLISECONDS);
    });
  }
}

describe('a daemon on the platform', () => {
  const platform = new StandInPlatform({
    services: ['previews'],
    standbyService: 'spare',
    workersPerService: 2,
    room: ROOM,
    behaviourOf: task => ({
      durationMilliseconds: task.startsWith('f') ? 60_000 : 100,
      end: RunEnd.Done,
      room: TASK_ROOM,
    }),
  });
  let folder: string;
  let parts: EntryParts;
  let callers: number;
  let readiness: number;

  before(async () => {
    await platform.start();
    folder = mkdtempSync(join(tmpdir(), 'entry-'));
    callers = await freePort();
    readiness = await freePort();
    const path = join(folder, 'node.json');
    const settings = standInSettings(platform, 'one', {callers, readiness});
    writeFileSync(path, JSON.stringify(settings));
    parts = wireEntry(readPlatformSettings(path), {
      metricsPort: await freePort(),
    });
    await parts.lifeCycle.start();
  });

  after(async () => {
    await parts.coordinator.drain();
    await parts.lifeCycle.stop();
    await parts.storeCalls.stop();
    await parts.workerCalls.stop();
    platform.stop();
    rmSync(folder, {recursive: true});
  });

  async function call(
    method: 'GET' | 'POST' | 'DELETE',
    path: string,
    body?: object,
  ): Promise<{status: number; body: Record<string, unknown>}> {
    const answer = await request(`http://127.0.0.1:${callers}${path}`, {
      method,
      headers: {host: QUEUE_HOST, 'x-deadline-ms': '3000'},
      body: body && JSON.stringify(body),
    });
    const text = await answer.body.text();
    return {
      status: answer.statusCode,
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
        const answer = await request(`http://127.0.0.1:${readiness}/ready`);
        await answer.body.dump();
        return answer.statusCode;
      },
      answer => answer === 200,
    );
    assert.equal(status, 200);
  });

  it('runs a job to its end', async () => {
    const path = '/previews/0000000000000001';
    assert.equal((await call('POST', path, JOB)).status, 200);
    const answer = await eventually(
      () => call('GET', path),
      ({body}) => body.state === 'completed',
    );
    assert.deepEqual(answer.body, {state: 'completed'});
    assert.equal(platform.begunRuns().length, 3);
  });

  it('cancels a job', async () => {
    const path = '/previews/f000000000000002';
    assert.equal((await call('POST', path, JOB)).status, 200);
    assert.equal((await call('DELETE', path)).status, 200);
    const answer = await eventually(
      () => call('GET', path),
      ({body}) => body.state === 'cancelled',
    );
    assert.equal(answer.body.state, 'cancelled');
  });

  it('answers what it cannot serve at once', async () => {
    const unknown = await call('GET', '/previews/000000000000dead');
    assert.equal(unknown.status, 410);
    const noQueue = await call('POST', '/other/0000000000000003', JOB);
    assert.equal(noQueue.status, 404);
    const noSteps = await call('POST', '/previews/0000000000000004', {});
    assert.equal(noSteps.status, 400);
    const notAnId = await call('POST', '/previews/x', JOB);
    assert.equal(notAnId.status, 404);
  });

  it('counts the jobs that wait', async () => {
    const answer = await call('GET', '/previews/');
    assert.equal(answer.status, 200);
    assert.equal(typeof answer.body.pending, 'number');
  });

  it('shows metrics as text', async () => {
    const address = parts.metricsPort.boundAddress;
    const answer = await request(`http://${address}/metrics`);
    assert.match(
      await answer.body.text(),
      /gentiandoor_job_submissions\{answer="taken"\} 2/,
    );
  });
});
