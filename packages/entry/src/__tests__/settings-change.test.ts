import assert from 'node:assert/strict';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {connect, createServer, type AddressInfo, type Socket} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {after, before, describe, it} from 'node:test';
import {RunEnd} from '@gentiandoor/jobs';
import {SilentLogger, splitAddress} from '@gentiandoor/kernel';
import {readPlatformSettings} from '@gentiandoor/platform';
import {
  QUEUE_HOST,
  StandInPlatform,
  standInSettings,
} from '@gentiandoor/platform/stand-ins';
import {request} from 'undici';
import {SettingsWatcher} from '../settings-watcher.js';
import {wireEntry, type EntryParts} from '../wiring.js';
import {freePort} from './free-port.js';
import {stopDaemon} from './running-daemon.js';

const CAPACITY = {
  processorMillicores: 8_000,
  memoryMegabytes: 64_000,
  accelerators: 0,
};
const JOBS = 30;
const JOB_GAP_MILLISECONDS = 60;
const MAXIMUM_POLLS = 200;

/** A proxy in front of the store that a test can shut down. */
class Forwarder {
  private readonly sockets = new Set<Socket>();
  private readonly server = createServer(socket => this.forward(socket));

  constructor(private readonly target: string) {}

  async start(): Promise<string> {
    await new Promise<void>(resolve => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  close(): void {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  private forward(socket: Socket): void {
    const {host, port} = splitAddress(this.target);
    const upstream = connect(port, host);
    for (const side of [socket, upstream]) {
      this.sockets.add(side);
      side.on('error', () => side.destroy());
      side.on('close', () => {
        this.sockets.delete(side);
        socket.destroy();
        upstream.destroy();
      });
    }
    socket.pipe(upstream).pipe(socket);
  }
}

function pause(milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds));
}

describe('a daemon whose settings file changes under load', () => {
  const platform = new StandInPlatform({
    services: ['previews'],
    standbyService: 'spare',
    workersPerService: 2,
    capacity: CAPACITY,
    behaviourOf: () => ({
      durationMilliseconds: 50,
      end: RunEnd.Done,
      resources: {...CAPACITY, processorMillicores: 1_000},
    }),
  });
  let folder: string;
  let path: string;
  let ports: {callers: number; readiness: number};
  let parts: EntryParts;
  let callerAddress: string;
  let watcher: SettingsWatcher;
  let forwarder: Forwarder;

  /** Writes the settings file with `store` as the address of the store, by default the real one. */
  function write(store?: string): void {
    const settings = standInSettings(platform, 'one', ports) as {
      platform: {address: string};
    };
    if (store) settings.platform.address = store;
    writeFileSync(path, JSON.stringify(settings));
  }

  before(async () => {
    await platform.start();
    folder = mkdtempSync(join(tmpdir(), 'settings-'));
    path = join(folder, 'node.json');
    ports = {callers: await freePort(), readiness: await freePort()};
    write();
    const direct = readPlatformSettings(path).storeAddress;
    forwarder = new Forwarder(direct);
    write(await forwarder.start());
    const settings = readPlatformSettings(path);
    parts = wireEntry(settings, {metricsPort: await freePort()});
    const read = () => readPlatformSettings(path);
    watcher = new SettingsWatcher(
      settings,
      read,
      parts.clock,
      new SilentLogger(),
    );
    await parts.lifeCycle.start();
    callerAddress = parts.callerServer.boundAddress;
  });

  after(async () => {
    await stopDaemon(parts, platform);
    forwarder.close();
    rmSync(folder, {recursive: true});
  });

  async function call(
    method: 'GET' | 'POST',
    id: string,
  ): Promise<{status: number; state: unknown}> {
    const response = await request(`http://${callerAddress}/previews/${id}`, {
      method,
      headers: {host: QUEUE_HOST, 'x-deadline-ms': '3000'},
      body:
        method === 'POST'
          ? JSON.stringify({
              spec: 'text',
              steps: [{count: 1, cpu: 1_000, mem_mb: 10, estimated_ms: 50}],
            })
          : undefined,
    });
    const body = JSON.parse(await response.body.text()) as {state?: unknown};
    return {status: response.statusCode, state: body.state};
  }

  // Guards against a daemon that keeps using the old address of the store: its callers
  // would be refused or get stale answers permanently. The address changes in the file
  // while jobs arrive, and the old one goes down a moment later: every call of the
  // coordinator, the intake and the reads must use the new one from then on.
  it('uses the new settings and runs every job that it accepted', async () => {
    for (let round = 0; (await call('GET', 'f'.repeat(16))).status !== 410;) {
      assert.ok(++round < MAXIMUM_POLLS);
      await pause(JOB_GAP_MILLISECONDS);
    }
    const accepted: string[] = [];
    for (let index = 0; index < JOBS; index++) {
      const id = index.toString(16).padStart(16, '0');
      const {status} = await call('POST', id);
      if (status === 200) accepted.push(id);
      if (index === JOBS / 3) {
        write();
        watcher.reload();
        forwarder.close();
      }
      await pause(JOB_GAP_MILLISECONDS);
    }
    assert.ok(
      accepted.length >= JOBS - 2,
      `${accepted.length} of ${JOBS} accepted`,
    );
    for (const id of accepted)
      for (let round = 0; (await call('GET', id)).state !== 'completed';) {
        assert.ok(++round < MAXIMUM_POLLS, `${id} is not done`);
        await pause(JOB_GAP_MILLISECONDS);
      }
    const runs = platform.startedRuns();
    assert.equal(new Set(runs.map(run => run.task)).size, accepted.length);
  });
});
