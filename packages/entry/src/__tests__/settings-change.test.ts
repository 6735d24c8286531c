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

const ROOM = {
  processorMillicores: 8_000,
  memoryMegabytes: 64_000,
  accelerators: 0,
};
const JOBS = 30;
const JOB_GAP_MILLISECONDS = 60;
const LONGEST_WAIT_ROUNDS = 200;

/** A way to the store that can be taken away. */
class Forwarder {
  private readonly open = new Set<Socket>();
  private readonly server = createServer(socket => this.forward(socket));

  constructor(private readonly target: string) {}

  async start(): Promise<string> {
    await new Promise<void>(resolve => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  end(): void {
    this.server.close();
    for (const socket of this.open) socket.destroy();
  }

  private forward(socket: Socket): void {
    const {host, port} = splitAddress(this.target);
    const further = connect(port, host);
    for (const one of [socket, further]) {
      this.open.add(one);
      one.on('error', () => one.destroy());
      one.on('close', () => {
        this.open.delete(one);
        socket.destroy();
        further.destroy();
      });
    }
    socket.pipe(further).pipe(socket);
  }
}

function pause(milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds));
}

describe('a daemon whose settings file changes while work goes on', () => {
  const platform = new StandInPlatform({
    services: ['previews'],
    standbyService: 'spare',
    workersPerService: 2,
    room: ROOM,
    behaviourOf: () => ({
      durationMilliseconds: 50,
      end: RunEnd.Done,
      resources: {...ROOM, processorMillicores: 1_000},
    }),
  });
  let folder: string;
  let path: string;
  let ports: {callers: number; readiness: number};
  let parts: EntryParts;
  let callers: string;
  let watch: SettingsWatcher;
  let forwarder: Forwarder;

  /** Writes the settings file with the store at `store`, or where it is. */
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
    watch = new SettingsWatcher(
      settings,
      read,
      parts.clock,
      new SilentLogger(),
    );
    await parts.lifeCycle.start();
    callers = parts.callerServer.boundAddress;
  });

  after(async () => {
    await stopDaemon(parts, platform);
    forwarder.end();
    rmSync(folder, {recursive: true});
  });

  async function call(
    method: 'GET' | 'POST',
    id: string,
  ): Promise<{status: number; state: unknown}> {
    const answer = await request(`http://${callers}/previews/${id}`, {
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
    const body = JSON.parse(await answer.body.text()) as {state?: unknown};
    return {status: answer.statusCode, state: body.state};
  }

  // Callers of one daemon are refused, or hear old answers, for good. The store moves to another address,
  // the file says so while jobs come, and the old address is dead a moment later: every call must go by the
  // new one from then on, those of the coordinator, of the intake and of the reads alike.
  it('goes on by the new ones, and runs every job that it took', async () => {
    for (let round = 0; (await call('GET', 'f'.repeat(16))).status !== 410;) {
      assert.ok(++round < LONGEST_WAIT_ROUNDS);
      await pause(JOB_GAP_MILLISECONDS);
    }
    const taken: string[] = [];
    for (let index = 0; index < JOBS; index++) {
      const id = index.toString(16).padStart(16, '0');
      const {status} = await call('POST', id);
      if (status === 200) taken.push(id);
      if (index === JOBS / 3) {
        write();
        watch.reload();
        forwarder.end();
      }
      await pause(JOB_GAP_MILLISECONDS);
    }
    assert.ok(taken.length >= JOBS - 2, `${taken.length} of ${JOBS} taken`);
    for (const id of taken)
      for (let round = 0; (await call('GET', id)).state !== 'completed';) {
        assert.ok(++round < LONGEST_WAIT_ROUNDS, `${id} is not done`);
        await pause(JOB_GAP_MILLISECONDS);
      }
    const runs = platform.startedRuns();
    assert.equal(new Set(runs.map(run => run.task)).size, taken.length);
  });
});
