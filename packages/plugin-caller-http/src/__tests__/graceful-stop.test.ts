import assert from 'node:assert/strict';
import {after, afterEach, before, beforeEach, describe, it} from 'node:test';
import {LogEvent} from '@gentiandoor/kernel';
import {RawTargetBehaviour, RawTarget} from '@gentiandoor/stand-ins';
import {CallerEdge} from './caller-edge.js';
import {RawCaller} from './raw-caller.js';

const BUSY_CALLERS = 20;
const GET = ['GET /desk/x HTTP/1.1', 'host: a', '', ''];

describe('graceful stop of the caller edge', () => {
  const target = new RawTarget();
  let edge: CallerEdge;

  before(() => target.start());
  after(() => target.stop());
  beforeEach(async () => {
    target.behaviour = RawTargetBehaviour.None;
    target.received.length = 0;
    edge = new CallerEdge({
      targets: [target.address],
      settings: {
        drain_grace_milliseconds: 50,
        drain_milliseconds: 20_000,
        keep_alive_milliseconds: 3000,
      },
    });
    await edge.start();
  });
  afterEach(() => edge.stop());

  describe('under steady load on keep-alive connections', () => {
    // Twenty callers send one request after another, each on its own connection, when the
    // stop begins. Each continues until a response says that the connection closes. A request
    // without a complete response was cut by the stop.
    it('responds to every request that was sent', async () => {
      let answered = 0;
      const callers = Array.from({length: BUSY_CALLERS}, async () => {
        const caller = new RawCaller(edge.address);
        for (;;) {
          caller.send(...GET);
          const {status, head} = await caller.readResponse();
          assert.equal(status, 200);
          answered++;
          if (/^connection: close$/im.test(head)) return;
        }
      });
      await until(() => answered > 10 * BUSY_CALLERS);
      const drained = stopGracefully(edge);
      await Promise.all(callers);
      await drained;
      assert.equal(target.received.length, answered);
      assert.equal(edge.server.inFlightCounts.requests, 0);
    });
  });

  describe('with a connection that is idle when the stop begins', () => {
    // An earlier response announced that the connection is kept alive, and the caller sends its
    // next request just as the stop begins. If the idle connection were closed, the request would
    // be lost.
    it('responds to a request that arrives within the keep-alive time', async () => {
      const caller = new RawCaller(edge.address);
      caller.send(...GET);
      const first = await caller.readResponse();
      assert.match(first.head, /^keep-alive: timeout=/im);
      const drained = stopGracefully(edge);
      await until(() => edge.server.port === 0);
      caller.send(...GET);
      const {status, head} = await caller.readResponse();
      assert.equal(status, 200);
      assert.match(head, /^connection: close$/im);
      await drained;
    });
  });

  describe('with pipelined requests', () => {
    // Two requests are in flight on one connection when the stop begins. If the first response
    // said that the connection closes, the second request would run and never get a response.
    it('responds to all accepted requests and closes after the last', async () => {
      target.behaviour = RawTargetBehaviour.Silent;
      const caller = new RawCaller(edge.address);
      caller.send(
        'POST /desk/1 HTTP/1.1',
        'host: a',
        'content-length: 0',
        '',
        '',
      );
      caller.send(
        'POST /desk/2 HTTP/1.1',
        'host: a',
        'content-length: 0',
        '',
        '',
      );
      await until(() => target.received.length === 2);
      const drained = stopGracefully(edge);
      target.writeUnasked('HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone');
      const first = await caller.readResponse();
      const second = await caller.readResponse();
      assert.doesNotMatch(first.head, /^connection: close$/im);
      assert.match(second.head, /^connection: close$/im);
      await drained;
    });
  });

  describe('that is forced to end', () => {
    it('logs how many requests it aborted', async () => {
      target.behaviour = RawTargetBehaviour.Silent;
      const caller = new RawCaller(edge.address);
      caller.send(
        'POST /desk/x HTTP/1.1',
        'host: a',
        'content-length: 0',
        '',
        '',
      );
      caller.send('GET /desk/y HTTP/1.1', 'host: a', '', '');
      await until(() => target.received.length === 2);
      await edge.server.stop();
      assert.deepEqual(edge.warnings, [
        {
          event: LogEvent.DaemonStopForced,
          fields: {requests: 2, nonIdempotent: 1},
        },
      ]);
      await caller.untilClosed();
    });
  });

  describe('with a response that is still outstanding', () => {
    it('waits for the response', async () => {
      target.behaviour = RawTargetBehaviour.Silent;
      const caller = new RawCaller(edge.address);
      caller.send(
        'POST /desk/x HTTP/1.1',
        'host: a',
        'content-length: 0',
        '',
        '',
      );
      await until(() => target.received.length === 1);
      let over = false;
      const drained = stopGracefully(edge).then(() => {
        over = true;
      });
      await until(() => edge.server.port === 0);
      assert.equal(over, false);
      target.writeUnasked('HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone');
      assert.equal((await caller.readResponse()).body, 'done');
      await drained;
    });
  });
});

function stopGracefully(edge: CallerEdge): Promise<void> {
  edge.drainState.begin();
  return edge.server.drain();
}

async function until(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise(resolve => setTimeout(resolve, 2));
}
