import assert from 'node:assert/strict';
import net from 'node:net';
import {after, before, describe, it} from 'node:test';
import fc from 'fast-check';
import {AdminRoutes, MetricName, splitAddress} from '@gentiandoor/kernel';
import {request} from 'undici';
import {ADMIN_KEY, Deployment, type RunningDaemon} from '../deployment.js';

const RUNS = {
  seed: 20_264,
  numRuns: Math.min(Number(process.env.GENTIANDOOR_FUZZ_RUNS ?? 60), 300),
};
const BODY_BYTES = 8_388_608;
const AUTHORIZED = {authorization: `Bearer ${ADMIN_KEY}`};

const anyName = fc.oneof(
  fc.constantFrom('constructor', '__proto__', 'start', 'abort', 'hold', ''),
  fc.string({maxLength: 5}),
);
/** Bodies with the fields that the paths expect; their values are often valid. */
const plausibleBody = fc.record(
  {
    operator: anyName,
    requestId: anyName,
    vm: anyName,
    reason: anyName,
    action: fc.constantFrom('start', 'abort', 'hold', 'resume'),
    wave: anyName,
    toPool: anyName,
    scope: fc.constant({}),
    keys: fc.array(anyName, {maxLength: 3}),
    text: anyName,
    version: fc.integer(),
    digest: anyName,
    signature: anyName,
  },
  {requiredKeys: []},
);
/** Fields that each path expects; additional fields make a body malformed. */
const FIELDS: ReadonlyMap<string, readonly string[]> = new Map([
  ['/fleet/drains', ['vm', 'reason']],
  ['/fleet/returns', ['vm']],
  ['/fleet/moves', ['vm', 'reason', 'action', 'toPool']],
  ['/fleet/waves', ['wave', 'reason', 'action', 'scope']],
  ['/jobs/cancel', ['keys']],
  ['/bundles/sign-offs', ['version', 'digest', 'operator', 'signature']],
  ['/bundles/proposals', ['text']],
]);

describe('admin port', {timeout: 60_000}, () => {
  const deployment = new Deployment();
  let daemon: RunningDaemon;
  let posts: string[];

  before(async () => {
    await deployment.startPlatform();
    daemon = await deployment.startDaemon('entry-1', 'hall-a');
    posts = daemon.daemon
      .resolve<AdminRoutes>('adminRoutes')
      .list()
      .filter(route => route.startsWith('POST '))
      .map(route => route.slice('POST '.length));
  });

  after(() => deployment.stop());

  async function post(
    path: string,
    body: string | Buffer,
    headers: Record<string, string> = AUTHORIZED,
  ): Promise<{status: number; text: string}> {
    const response = await request(`http://${daemon.adminAddress}${path}`, {
      method: 'POST',
      body,
      headers,
    });
    return {status: response.statusCode, text: await response.body.text()};
  }

  async function get(address: string, path: string): Promise<number> {
    const response = await request(`http://${address}${path}`, {
      headers: AUTHORIZED,
    });
    await response.body.dump();
    return response.statusCode;
  }

  it('responds with 400 to a body that is not JSON on each path', async () => {
    assert.ok(posts.length >= 8);
    for (const path of posts) {
      for (const body of ['{', '', '{"text": "a', '\u0000']) {
        const {status, text} = await post(path, body);
        assert.equal(status, 400, path);
        assert.match(text, /expected a JSON body/);
      }
    }
  });

  it('responds with 400 to any JSON that does not form a record', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.nat(),
        fc.jsonValue({maxDepth: 3}),
        async (place, value) => {
          const path = posts[place % posts.length];
          const {status, text} = await post(path, JSON.stringify(value));
          assert.equal(status, 400, text);
        },
      ),
      RUNS,
    );
  });

  it('responds with 200, 400 or 409 to any body with the expected fields', async () => {
    const seen = new Set<number>();
    await fc.assert(
      fc.asyncProperty(
        fc.constantFrom(...FIELDS),
        plausibleBody,
        async ([path, fields], near) => {
          const picked = Object.entries(near).filter(([name]) =>
            fields.includes(name),
          );
          const body = JSON.stringify(Object.fromEntries(picked));
          const {status, text} = await post(path, body);
          assert.ok([200, 400, 409].includes(status), `${status} ${text}`);
          seen.add(status);
        },
      ),
      RUNS,
    );
    assert.ok(seen.has(400) && seen.has(409));
  });

  // Found by the property tests above: such a record was appended to the log although no fold
  // could read it, and the operator got an "outcome unknown" only after five seconds.
  for (const [path, body] of [
    [
      '/bundles/sign-offs',
      {version: -1, digest: '', operator: 'kerry', signature: ''},
    ],
    ['/jobs/cancel', {keys: ['a'], requestId: 'x'.repeat(200)}],
  ] as const) {
    it(`immediately refuses a record that the fold could not read: ${path}`, async () => {
      const {status} = await post(path, JSON.stringify(body));
      assert.equal(status, 400);
    });
  }

  it('responds with 413 to a body over the limit and keeps serving', async () => {
    const {status, text} = await post(
      '/bundles/proposals',
      Buffer.alloc(BODY_BYTES + 1, 'x'),
    );
    assert.equal(status, 413);
    assert.match(text, /up to 8388608 bytes/);
    assert.equal(await get(daemon.adminAddress, '/status'), 200);
  });

  it('responds with 401 on any path without the key and reads no body', async () => {
    for (const path of [...posts, '/nothing']) {
      for (const key of ['', 'Bearer ', `Bearer ${ADMIN_KEY}x`, ADMIN_KEY]) {
        const response = await post(path, '{', {authorization: key});
        assert.equal(response.status, 401, path);
        assert.doesNotMatch(response.text, new RegExp(ADMIN_KEY));
      }
    }
    assert.equal(await get(daemon.adminAddress, '/nothing'), 404);
  });

  it('is not reachable through the caller port', async () => {
    for (const path of ['/status', '/metrics', '/health/live', '/fleet/vms']) {
      const status = await get(daemon.callerAddress, path);
      assert.ok([404, 503].includes(status), `${path}: ${status}`);
    }
  });
});

describe('port at its connection limit', {timeout: 60_000}, () => {
  // Guards against a client that keeps opening connections: connections up to the limit are
  // accepted, the next one is closed immediately and counted, and a new one is accepted only after
  // another has closed.
  for (const port of ['admin', 'caller'] as const) {
    it(`closes the next connection immediately and counts it: ${port}`, async () => {
      const deployment = new Deployment();
      await deployment.startPlatform();
      const bound = {connections: 2};
      const plan = port === 'admin' ? {admin: bound} : {callerHttp: bound};
      const {daemon, adminAddress, callerAddress} =
        await deployment.startDaemon('entry-1', 'hall-a', plan);
      const address = port === 'admin' ? adminAddress : callerAddress;
      const open = () => net.connect(splitAddress(address));
      const kept = [open(), open()];
      for (const socket of kept) await once(socket, 'connect');
      const refused = open();
      refused.on('error', () => undefined);
      await once(refused, 'close');
      const metrics = daemon.resolve<{
        memory: {value(name: MetricName, tags: object): number};
      }>('metrics').memory;
      assert.ok(metrics.value(MetricName.ConnectionsRefused, {port}) >= 1);
      for (const socket of kept) socket.destroy();
      await deployment.stop();
    });
  }
});

function once(socket: net.Socket, event: string): Promise<void> {
  return new Promise(resolve => socket.once(event, () => resolve()));
}
