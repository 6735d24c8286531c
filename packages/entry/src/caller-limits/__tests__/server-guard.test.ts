import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, request, type IncomingMessage} from 'node:http';
import {connect, type AddressInfo, type Socket} from 'node:net';
import {afterEach, describe, it} from 'node:test';
import {
  MemoryMetrics,
  MetricName,
  SilentLogger,
  VirtualClock,
} from '@gentiandoor/kernel';
import {ServerGuard, type RequestHandler} from '../server-guard.js';
import type {ServerLimits} from '../server-limits.js';

const LIMITS = {connections: 3, requestsPerConnection: 2, requests: 2};

/** Passes a request on until it is answered by the test. */
class HeldRequests {
  private readonly answers: Array<() => void> = [];

  readonly handle: RequestHandler = (_request, response) =>
    new Promise(resolve => {
      this.answers.push(() => {
        response.end();
        resolve();
      });
    });

  get count(): number {
    return this.answers.length;
  }

  answerAll(): void {
    for (const answer of this.answers.splice(0)) answer();
  }
}

describe('ServerGuard', () => {
  const closers: Array<() => void> = [];

  afterEach(() => {
    for (const close of closers.splice(0)) close();
  });

  async function serve(limits: Partial<ServerLimits> = {}) {
    const metrics = new MemoryMetrics();
    const held = new HeldRequests();
    const guard = new ServerGuard(
      'callers',
      {...LIMITS, ...limits},
      {
        clock: new VirtualClock(),
        logger: new SilentLogger(),
        metrics,
      },
    );
    const server = createServer(guard.guard(held.handle));
    guard.attach(server);
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    closers.push(() => {
      server.closeAllConnections();
      server.close();
    });
    const {port} = server.address() as AddressInfo;
    return {port, held, metrics};
  }

  function open(port: number, sent: string): Socket {
    const socket = connect(port, '127.0.0.1');
    socket.on('error', () => undefined);
    socket.resume();
    socket.write(sent);
    closers.push(() => socket.destroy());
    return socket;
  }

  function call(port: number, method: string): Promise<IncomingMessage> {
    return new Promise((resolve, reject) => {
      request({port, host: '127.0.0.1', method, agent: false})
        .on('response', response => resolve(response.resume()))
        .on('error', reject)
        .end();
    });
  }

  async function until(isTrue: () => boolean): Promise<void> {
    while (!isTrue()) await new Promise(resolve => setTimeout(resolve, 5));
  }

  const GET = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n';

  it('turns away the requests beyond those that it works on', async () => {
    const {port, held, metrics} = await serve();
    const first = [call(port, 'GET'), call(port, 'GET')];
    await until(() => held.count === 2);
    const query = await call(port, 'GET');
    assert.equal(query.statusCode, 503);
    assert.equal(query.headers['retry-after'], '1');
    assert.equal(query.headers.connection, 'close');
    // A submission may have been accepted before, so it is not told that it never runs.
    assert.equal((await call(port, 'POST')).statusCode, 504);
    held.answerAll();
    for (const {statusCode} of await Promise.all(first))
      assert.equal(statusCode, 200);
    const again = call(port, 'GET');
    await until(() => held.count === 1);
    held.answerAll();
    assert.equal((await again).statusCode, 200);
    const tags = {server: 'callers', reason: 'requests_under_way'};
    assert.equal(metrics.value(MetricName.RequestsTurnedAway, tags), 2);
  });

  it('closes a connection that sends too many requests ahead', async () => {
    const {port, held, metrics} = await serve({requests: 10});
    await once(open(port, GET.repeat(500)), 'close');
    assert.equal(held.count, 2);
    const tags = {server: 'callers', reason: 'requests_ahead'};
    assert.equal(metrics.value(MetricName.ConnectionsClosed, tags), 1);
  });

  it('closes a connection without a complete request for a new one', async () => {
    const {port, held} = await serve();
    const half = [open(port, 'GET /'), open(port, 'GET /'), open(port, 'GET')];
    await Promise.all(half.map(socket => once(socket, 'connect')));
    const answered = call(port, 'GET');
    await once(half[0], 'close');
    await until(() => held.count === 1);
    held.answerAll();
    assert.equal((await answered).statusCode, 200);
    assert.ok(!half[1].destroyed && !half[2].destroyed);
  });

  it('closes a new connection when all others are of use', async () => {
    const {port, held} = await serve({requests: 10});
    const calls = [0, 1, 2].map(() => call(port, 'GET'));
    await until(() => held.count === 3);
    await assert.rejects(call(port, 'GET'));
    held.answerAll();
    for (const {statusCode} of await Promise.all(calls))
      assert.equal(statusCode, 200);
  });
});
