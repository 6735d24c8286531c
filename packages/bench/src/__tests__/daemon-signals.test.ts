import assert from 'node:assert/strict';
import {fork, type ChildProcess} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {after, before, beforeEach, describe, it} from 'node:test';
import {fileURLToPath} from 'node:url';
import {request} from 'undici';
import {LogEvent} from '@gentiandoor/kernel';
import {TargetFault, type TargetServer} from '@gentiandoor/stand-ins';
import {Deployment} from '../deployment.js';
import {freeAddress} from '../processes/child-process.js';
import {oneRackBundle} from '../one-rack-bundle.js';

const PROGRAM = fileURLToPath(
  new URL('../../../daemon/lib/bin/gentiandoor-daemon.js', import.meta.url),
);
const VM = 'hall-a-r1-1';

describe('daemon program', () => {
  const deployment = new Deployment();
  const directory = mkdtempSync(join(tmpdir(), 'signals-'));
  let target: TargetServer;
  let started = 0;

  before(async () => {
    await deployment.startPlatform();
    await deployment.startRack({
      name: 'hall-a-r1',
      dataCentre: 'hall-a',
      vms: [VM],
    });
    target = deployment.targets.get(VM) as TargetServer;
    await deployment.rollOut(
      oneRackBundle({
        publicKey: deployment.operator.publicKey,
        service: 'desk',
        vms: VM,
      }),
    );
  });
  after(async () => {
    await deployment.stop();
    rmSync(directory, {recursive: true});
  });
  beforeEach(() => {
    target.faults.clear();
    target.executedRequests.length = 0;
  });

  async function startDaemon() {
    const callerAddress = await freeAddress();
    const adminAddress = await freeAddress();
    const name = `entry-${++started}`;
    const settings = join(directory, `${name}.ini`);
    writeFileSync(
      settings,
      deployment.settingsOf(name, 'hall-a', {
        callerListen: callerAddress,
        adminListen: adminAddress,
        callerHttp: {drain_grace_milliseconds: 50},
      }),
    );
    const child = fork(PROGRAM, ['--settings', settings], {silent: true});
    const output = collect(child);
    await waitUntilStatus(adminAddress, 200);
    return {child, output, callerAddress, adminAddress};
  }

  describe('on one SIGTERM', () => {
    it('exits with 0 when nothing is in flight', async () => {
      const {child} = await startDaemon();
      child.kill('SIGTERM');
      assert.equal(await waitForExit(child), 0);
    });
  });

  describe('on a second SIGTERM', () => {
    // A POST is in flight at a silent target when the graceful stop begins. The daemon reports
    // not ready and waits for it until a second signal forces the stop; the log counts the
    // aborted requests.
    it('exits with 1 and logs the requests that it aborted', async () => {
      target.faults.add(TargetFault.Silent);
      const {child, output, callerAddress, adminAddress} = await startDaemon();
      const response = request(`http://${callerAddress}/desk/x`, {
        method: 'POST',
        body: 'crest',
      });
      const cut = assert.rejects(response);
      await waitUntil(() => target.executedRequests.length === 1);
      child.kill('SIGTERM');
      await waitUntilStatus(adminAddress, 503);
      child.kill('SIGTERM');
      assert.equal(await waitForExit(child), 1);
      await cut;
      const line = output
        .join('')
        .split('\n')
        .find(text => text.includes(`"event":${LogEvent.DaemonStopForced}`));
      const fields = JSON.parse(line ?? '{}') as Record<string, unknown>;
      assert.deepEqual([fields.requests, fields.nonIdempotent], [1, 1]);
    });
  });
});

function collect(child: ChildProcess): string[] {
  const output: string[] = [];
  child.stdout?.on('data', (chunk: Buffer) => output.push(chunk.toString()));
  child.stderr?.on('data', (chunk: Buffer) => output.push(chunk.toString()));
  return output;
}

function waitForExit(child: ChildProcess): Promise<number | null> {
  return new Promise(resolve => child.once('close', resolve));
}

async function waitUntilStatus(address: string, status: number): Promise<void> {
  for (;;) {
    try {
      const response = await request(`http://${address}/health/ready`);
      await response.body.dump();
      if (response.statusCode === status) return;
    } catch {
      // The daemon is not listening yet.
    }
    await pause();
  }
}

async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) await pause();
}

function pause(): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, 10));
}
