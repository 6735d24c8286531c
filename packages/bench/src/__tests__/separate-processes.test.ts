import assert from 'node:assert/strict';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {after, describe, it} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {request} from 'undici';
import {LogEvent} from '@gentiandoor/kernel';
import {ProgramPath, ProgramRun} from '../processes/program-run.js';
import {oneRackBundle} from '../one-rack-bundle.js';

const ADMIN_KEY = 'admin-key-for-tests-only';
const VMS = ['hall-a-r1-1', 'hall-a-r1-2'];
const STEP_MILLISECONDS = 20;
const MAXIMUM_STEPS = 1500;

interface RunningDaemon {
  readonly run: ProgramRun;
  readonly caller: string;
  readonly admin: string;
}

describe('complete path in separate processes', () => {
  const directory = mkdtempSync(join(tmpdir(), 'separate-'));
  const started: ProgramRun[] = [];

  after(async () => {
    for (const run of started) await run.end('SIGKILL');
    rmSync(directory, {recursive: true});
  });

  function start(program: ProgramPath, args: readonly string[]): ProgramRun {
    const run = new ProgramRun(program, args);
    started.push(run);
    return run;
  }

  function write(name: string, text: string): string {
    const path = join(directory, name);
    writeFileSync(path, text);
    return path;
  }

  async function command(admin: string, ...words: string[]): Promise<string> {
    const args = [...words, '--admin', admin, '--key', ADMIN_KEY];
    const run = new ProgramRun(ProgramPath.Cli, args);
    const code = await run.ended;
    assert.equal(code, 0, `${words.join(' ')}: ${run.errors}`);
    return run.output;
  }

  async function startDaemon(
    name: string,
    platform: string,
    operatorKey: string,
  ): Promise<RunningDaemon> {
    const settings = write(
      `${name}.ini`,
      formatSettings(name, platform, operatorKey),
    );
    const run = start(ProgramPath.Daemon, ['--settings', settings]);
    const {input} = await run.line(
      new RegExp(`"event":${LogEvent.DaemonStarted}\\b`),
    );
    const {addresses} = JSON.parse(input) as {
      addresses: Record<string, string>;
    };
    return {
      run,
      caller: addresses['caller-http'],
      admin: addresses.admin,
    };
  }

  // An operator rolls out the first bundle with the command line and callers use both daemons. One
  // is killed after it ran a keyed request, and the caller retries with the same key at the other.
  // The retry is told the outcome of the first request and no target executes it again, since the
  // claim is in the platform's log and not in the killed daemon.
  it('rolls out, serves, drains, survives a kill and stops gracefully', async () => {
    const standIns = start(ProgramPath.StandIns, [
      '--print-runs',
      '--vms',
      VMS.map(vm => `${vm}:hall-a:hall-a-r1`).join(),
    ]);
    const [, platform] = await standIns.line(/^platform (\S+)$/);
    await standIns.line(new RegExp(`^target ${VMS[1]} `));

    const keys = JSON.parse(
      await command('127.0.0.1:1', 'keys', 'make', '--json'),
    ) as {publicKey: string; privateKey: string};
    const first = await startDaemon('entry-1', platform, keys.publicKey);
    const second = await startDaemon('entry-2', platform, keys.publicKey);

    const bundle = write(
      'first.ini',
      oneRackBundle({
        publicKey: keys.publicKey,
        service: 'desk',
        vms: 'hall-a-r1-[1-2]',
      }),
    );
    const keyFile = write('kerry.key', `private_key = ${keys.privateKey}\n`);
    const {admin} = first;
    assert.match(
      await command(admin, 'bundle', 'check', bundle),
      /no problem found/,
    );
    await command(admin, 'bundle', 'propose', bundle);
    const signOff = ['--operator', 'kerry', '--private-key', keyFile];
    await command(admin, 'bundle', 'sign-off', '1', ...signOff);
    assert.match(
      await command(admin, 'bundle', 'status'),
      /in force: version 1/,
    );

    for (const daemon of [first, second]) {
      await waitUntilReady(daemon);
      assert.equal((await send(daemon, 'GET', 'x')).status, 200);
    }

    await waitUntilMembers(first, 2);
    await command(admin, 'vm', 'drain', VMS[0], '--reason', 'disk light');
    await waitUntilDrained(() => command(admin, 'vm', 'list', '--json'));

    const before = await send(first, 'POST', 'once', 'key-of-the-caller');
    assert.equal(before.status, 200);
    assert.equal(await first.run.end('SIGKILL'), null);
    assert.equal((await send(second, 'GET', 'y')).status, 200);
    const again = await send(second, 'POST', 'once', 'key-of-the-caller');
    assert.ok(['yes', 'unknown'].includes(again.run), JSON.stringify(again));
    assert.match(again.reason, /^key_/);
    await standIns.line(/^ran \S+ GET \/desk\/y$/);
    assert.equal(standIns.count(/^ran \S+ POST \/desk\/once$/), 1);
    assert.equal(standIns.count(new RegExp(`^ran ${VMS[0]} .*/desk/y$`)), 0);

    assert.equal(await second.run.end('SIGTERM'), 0);
  });

  describe('daemon program with invalid settings', () => {
    const whole = formatSettings('entry-1', '127.0.0.1:1', 'none');
    const cases: ReadonlyArray<readonly [string, string, RegExp]> = [
      [
        'a missing key',
        whole.replace('data_centre = hall-a\n', ''),
        /\[daemon\] data_centre: expected the data centre of this daemon/,
      ],
      [
        'an unknown key',
        whole.replace('[caller-http]\n', '[caller-http]\ncolour = red\n'),
        /\[caller-http\] unknown key colour: expected only documented keys/,
      ],
      [
        'a wrong value',
        whole.replace(
          '[admin]\nlisten = 127.0.0.1:0',
          '[admin]\nlisten = here',
        ),
        /\[admin\] listen: expected an IP number with a port/,
      ],
      [
        'a doubled key',
        whole.replace('name = entry-1\n', 'name = entry-1\nname = entry-2\n'),
        /:\d+: \[daemon\] key name stands twice: expected it once/,
      ],
      [
        'an unknown section',
        `${whole}[colours]\n`,
        /unknown section \[colours\]: expected one of daemon, /,
      ],
    ];
    for (const [name, text, message] of cases) {
      it(`exits with 2 and names the file, section, key and expected value: ${name}`, async () => {
        assert.notEqual(text, whole);
        const path = write('wrong.ini', text);
        const run = start(ProgramPath.Daemon, ['--settings', path]);
        assert.equal(await run.ended, 2);
        assert.match(run.errors, message);
        assert.ok(run.errors.includes(path), run.errors);
      });
    }
  });
});

function formatSettings(
  name: string,
  platform: string,
  operatorKey: string,
): string {
  return `[daemon]
name = ${name}
data_centre = hall-a
[metrics]
[platform-log]
address = ${platform}
[platform-leases]
address = ${platform}
[platform-list]
address = ${platform}
poll_milliseconds = 200
[shared-state]
trusted_operators = kerry:${operatorKey}
[peers]
listen = 127.0.0.1:0
key = peer-key-for-tests-only
[target-http]
[caller-http]
listen = 127.0.0.1:0
drain_grace_milliseconds = 50
[admin]
listen = 127.0.0.1:0
key = ${ADMIN_KEY}
`;
}

async function send(
  daemon: RunningDaemon,
  method: 'GET' | 'POST',
  path: string,
  key?: string,
) {
  const response = await request(`http://${daemon.caller}/desk/${path}`, {
    method,
    headers: key === undefined ? {} : {'idempotency-key': key},
    body: method === 'POST' ? 'crest' : undefined,
  });
  await response.body.dump();
  const {headers, statusCode: status} = response;
  const run = String(headers['gentiandoor-run']);
  return {status, run, reason: String(headers['gentiandoor-reason'])};
}

async function waitUntilReady({admin}: RunningDaemon): Promise<void> {
  for (let step = 0; step < MAXIMUM_STEPS; step++) {
    const response = await request(`http://${admin}/health/ready`);
    await response.body.dump();
    if (response.statusCode === 200) return;
    await pause(STEP_MILLISECONDS);
  }
  assert.fail('expected the daemon to become ready');
}

async function waitUntilMembers(
  {admin}: RunningDaemon,
  count: number,
): Promise<void> {
  for (let step = 0; step < MAXIMUM_STEPS; step++) {
    const response = await request(`http://${admin}/status`, {
      headers: {authorization: `Bearer ${ADMIN_KEY}`},
    });
    const {members} = (await response.body.json()) as {members: unknown[]};
    if (members.length === count) return;
    await pause(STEP_MILLISECONDS);
  }
  assert.fail('expected all daemons to become members');
}

async function waitUntilDrained(list: () => Promise<string>): Promise<void> {
  for (let step = 0; step < MAXIMUM_STEPS; step++) {
    const vms = JSON.parse(await list()) as Array<{
      id: string;
      work?: {waitsFor: readonly string[]};
    }>;
    const work = vms.find(vm => vm.id === VMS[0])?.work;
    if (work && work.waitsFor.length === 0) return;
    await pause(STEP_MILLISECONDS);
  }
  assert.fail('expected the VM to be drained');
}
