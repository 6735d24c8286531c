import assert from 'node:assert/strict';
import {after, afterEach, before, beforeEach, describe, it} from 'node:test';
import {request} from 'undici';
import {OutcomeKind} from '@gentiandoor/decisions';
import {RawTargetBehaviour, RawTarget} from '@gentiandoor/stand-ins';
import {CallerEdge, type CallerEdgeOptions} from './caller-edge.js';
import {RawCaller} from './raw-caller.js';

const UNUSED_ADDRESS = '127.0.0.1:1';
const BUFFERED_BYTES = 100;

interface Outcome {
  readonly fault: RawTargetBehaviour;
  readonly method: 'GET' | 'POST';
  readonly status: number;
  readonly reason: string | undefined;
  readonly run: string;
  /** Requests that reached the target. */
  readonly received: number;
}

function outcome(
  fault: RawTargetBehaviour,
  method: 'GET' | 'POST',
  status: number,
  reason: string | undefined,
  run: string,
  received: number,
): Outcome {
  return {fault, method, status, reason, run, received};
}

const OUTCOMES: readonly Outcome[] = [
  outcome(RawTargetBehaviour.None, 'GET', 200, undefined, 'yes', 1),
  outcome(RawTargetBehaviour.None, 'POST', 200, undefined, 'yes', 1),
  outcome(RawTargetBehaviour.Busy, 'GET', 503, 'target_refused', 'no', 2),
  outcome(RawTargetBehaviour.Busy, 'POST', 503, 'target_refused', 'no', 2),
  outcome(
    RawTargetBehaviour.ResetOnRequest,
    'GET',
    502,
    'target_failed',
    'unknown',
    2,
  ),
  outcome(
    RawTargetBehaviour.ResetOnRequest,
    'POST',
    502,
    'target_failed',
    'unknown',
    1,
  ),
  outcome(
    RawTargetBehaviour.NoLength,
    'GET',
    502,
    'answer_malformed',
    'unknown',
    2,
  ),
  outcome(
    RawTargetBehaviour.NoLength,
    'POST',
    502,
    'answer_malformed',
    'unknown',
    1,
  ),
  outcome(
    RawTargetBehaviour.Garbage,
    'POST',
    502,
    'answer_malformed',
    'unknown',
    1,
  ),
  outcome(
    RawTargetBehaviour.Silent,
    'GET',
    504,
    'target_timeout',
    'unknown',
    1,
  ),
  outcome(
    RawTargetBehaviour.Silent,
    'POST',
    504,
    'target_timeout',
    'unknown',
    1,
  ),
];

describe('request outcomes', () => {
  const target = new RawTarget();
  let edge: CallerEdge | undefined;

  before(() => target.start());
  after(() => target.stop());
  beforeEach(() => {
    target.behaviour = RawTargetBehaviour.None;
    target.received.length = 0;
  });
  afterEach(async () => {
    await edge?.stop();
    edge = undefined;
  });

  async function startEdge(parts: Partial<CallerEdgeOptions> = {}) {
    edge = new CallerEdge({
      targets: [target.address],
      services: {desk: {deadlineMilliseconds: 1500}},
      settings: {
        buffered_body_bytes: BUFFERED_BYTES,
        progress_milliseconds: 500,
      },
      ...parts,
    });
    await edge.start();
    return edge;
  }

  for (const {fault, method, status, reason, run, received} of OUTCOMES) {
    // The target treats every request alike. What the caller is told must be true of all
    // attempts together, and a request that must not run twice is sent once.
    it(`${method} with target behaviour ${fault}: ${status}, run ${run}`, async () => {
      const {address} = await startEdge();
      target.behaviour = fault;
      const answer = await request(`http://${address}/desk/x`, {
        method,
        body: method === 'POST' ? 'crest' : null,
      });
      await answer.body.dump();
      assert.equal(answer.statusCode, status);
      assert.equal(answer.headers['gentiandoor-run'], run);
      assert.equal(answer.headers['gentiandoor-reason'], reason);
      assert.equal(target.received.length, received);
    });
  }

  for (const fault of [
    RawTargetBehaviour.ResetInBody,
    RawTargetBehaviour.CloseInBody,
    RawTargetBehaviour.CloseInChunks,
    RawTargetBehaviour.SilentInBody,
  ]) {
    // The head and part of the body are already sent when the target's response breaks off.
    // Only an aborted connection tells the caller: no last chunk or full length may follow.
    it(`a response truncated by ${fault} is truncated for the caller too`, async () => {
      const {address} = await startEdge({
        targetSettings: {progress_milliseconds: 500},
      });
      target.behaviour = fault;
      const caller = new RawCaller(address);
      caller.send('GET /desk/x HTTP/1.1', 'host: a', '', '');
      await caller.untilClosed();
      assert.match(caller.received, /part/);
      assert.doesNotMatch(caller.received, /\r\n0\r\n\r\n$/);
      assert.equal(edge?.router.inUse, 0);
    });
  }

  describe('when a response to HTTP/1.0 is truncated', () => {
    // A response without a length to an HTTP/1.0 caller ends with its connection. If that
    // closed cleanly, the caller would take a partial response for a complete one.
    it('the connection is reset', async () => {
      const {address} = await startEdge();
      target.behaviour = RawTargetBehaviour.CloseInChunks;
      const caller = new RawCaller(address);
      caller.send('GET /desk/x HTTP/1.0', '', '');
      await caller.untilClosed();
      assert.equal(caller.wasReset, true);
    });

    it('by a forced stop, the connection is reset too', async () => {
      const {address, server} = await startEdge();
      target.behaviour = RawTargetBehaviour.Silent;
      const caller = new RawCaller(address);
      caller.send('GET /desk/x HTTP/1.0', '', '');
      await until(() => target.received.length === 1);
      target.writeUnasked(
        'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\npart\r\n',
      );
      await caller.until(bytes => bytes.includes('part'));
      await server.stop();
      await caller.untilClosed();
      assert.equal(caller.wasReset, true);
    });
  });

  describe('when one target refuses connections', () => {
    it('a POST is retried on another one, since nothing was sent', async () => {
      const {address, router} = await startEdge({
        targets: [UNUSED_ADDRESS, target.address],
      });
      const answer = await request(`http://${address}/desk/x`, {
        method: 'POST',
        body: 'crest',
      });
      assert.equal(answer.statusCode, 200);
      await answer.body.dump();
      assert.equal(target.received.length, 1);
      assert.equal(router.retries, 1);
    });
  });

  describe('when the first attempt may have run and the second was refused', () => {
    // A GET reaches the first target, whose connection is lost; the second target says "not
    // run". Reporting "not run" would be false: the first target may have run it.
    it('the outcome is unknown', async () => {
      const busy = new RawTarget();
      await busy.start();
      busy.behaviour = RawTargetBehaviour.Busy;
      target.behaviour = RawTargetBehaviour.ResetOnRequest;
      const {address} = await startEdge({
        targets: [target.address, busy.address],
      });
      const answer = await request(`http://${address}/desk/x`);
      await answer.body.dump();
      await busy.stop();
      assert.equal(busy.received.length, 1);
      assert.equal(answer.headers['gentiandoor-run'], 'unknown');
    });
  });

  describe('when the caller disconnects after a POST was sent', () => {
    // The target is working on the POST when the caller disconnects. Closing the connection
    // would not stop the work, and a released slot would give the target more requests than
    // it has slots.
    it('the slot is held until the target responds', async () => {
      const {address, router, server} = await startEdge({
        services: {desk: {deadlineMilliseconds: 60_000}},
      });
      target.behaviour = RawTargetBehaviour.Silent;
      const caller = new RawCaller(address);
      caller.send(
        'POST /desk/x HTTP/1.1',
        'host: a',
        'content-length: 2',
        '',
        'ab',
      );
      await until(() => target.received.length === 1);
      caller.destroy();
      await waitForSocketEvents();
      assert.equal(router.inUse, 1);
      assert.deepEqual(server.inFlightCounts, {requests: 1, nonIdempotent: 1});
      target.writeUnasked('HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n');
      await until(() => router.inUse === 0);
      assert.equal(server.inFlightCounts.requests, 0);
    });
  });

  describe('when the caller disconnects after a GET was sent', () => {
    it('the exchange is aborted and the slot is released', async () => {
      const {address, router} = await startEdge();
      target.behaviour = RawTargetBehaviour.Silent;
      const caller = new RawCaller(address);
      caller.send('GET /desk/x HTTP/1.1', 'host: a', '', '');
      await until(() => target.received.length === 1);
      caller.destroy();
      await until(() => router.inUse === 0);
      await until(() => target.openConnections === 0);
    });
  });

  describe('when a streamed body stops halfway', () => {
    // The body is larger than the buffer, so the target already has its first part when the
    // caller stops sending. "Not run" could be false: the target has seen some of it.
    it('the outcome is unknown', async () => {
      const {address} = await startEdge();
      const caller = new RawCaller(address);
      caller.send(
        'POST /desk/x HTTP/1.1',
        'host: a',
        'content-length: 1000',
        '',
        'x'.repeat(BUFFERED_BYTES + 1),
      );
      const answer = await caller.readResponse();
      assert.equal(answer.status, 408);
      assert.match(answer.head, /^gentiandoor-run: unknown$/m);
      assert.match(answer.head, /^gentiandoor-reason: body_timeout$/m);
      caller.destroy();
    });
  });

  describe('when a streamed body becomes malformed', () => {
    it('the outcome is unknown and the connection closes', async () => {
      const {address} = await startEdge();
      const caller = new RawCaller(address);
      caller.send(
        'POST /desk/x HTTP/1.1',
        'host: a',
        'transfer-encoding: chunked',
        '',
        'c8',
        'x'.repeat(200),
        '',
      );
      await until(() => target.receivedBytes > 200);
      caller.send('zz', '');
      const answer = await caller.readResponse();
      assert.equal(answer.status, 400);
      assert.match(answer.head, /^gentiandoor-run: unknown$/m);
      await caller.untilClosed();
    });
  });

  describe('when the response arrives before the body has ended', () => {
    // The target responds to the head alone while the caller is still sending. The caller gets
    // the complete response, and the rest of the first body must not be taken for the next
    // request on the same connection.
    it('the caller gets it, and the next request gets its own response', async () => {
      const {address} = await startEdge();
      target.behaviour = RawTargetBehaviour.EarlyAnswer;
      const caller = new RawCaller(address);
      caller.send(
        'POST /desk/early HTTP/1.1',
        'host: a',
        'content-length: 300',
        '',
        'x'.repeat(BUFFERED_BYTES + 1),
      );
      assert.equal((await caller.readResponse()).status, 200);
      caller.send('x'.repeat(299 - BUFFERED_BYTES));
      target.behaviour = RawTargetBehaviour.None;
      caller.send('GET /desk/next HTTP/1.1', 'host: a', '', '');
      assert.equal((await caller.readResponse()).body, 'whole');
      const last = target.received.at(-1);
      assert.match(last?.head ?? '', /^GET \/desk\/next /);
      caller.destroy();
    });
  });

  describe('outcome reported to the router', () => {
    const reports: ReadonlyArray<
      readonly [RawTargetBehaviour, OutcomeKind, boolean]
    > = [
      [RawTargetBehaviour.None, OutcomeKind.Succeeded, false],
      [RawTargetBehaviour.Leaving, OutcomeKind.Succeeded, true],
      [RawTargetBehaviour.Busy, OutcomeKind.Busy, false],
      [RawTargetBehaviour.ResetOnRequest, OutcomeKind.ConnectionLost, false],
      [RawTargetBehaviour.ResetInBody, OutcomeKind.Truncated, false],
      [RawTargetBehaviour.Silent, OutcomeKind.TimedOut, false],
    ];
    for (const [fault, kind, leaving] of reports) {
      it(`is ${kind} for target behaviour ${fault}`, async () => {
        const {address, router} = await startEdge();
        target.behaviour = fault;
        const caller = new RawCaller(address);
        caller.send(
          'POST /desk/x HTTP/1.1',
          'host: a',
          'content-length: 0',
          '',
          '',
        );
        await until(() => router.outcomes.length > 0);
        const [outcome] = router.outcomes;
        assert.deepEqual([outcome.kind, outcome.leaving], [kind, leaving]);
        caller.destroy();
      });
    }
  });

  describe('headers', () => {
    it('of the system itself cannot be set by either side', async () => {
      const {address} = await startEdge();
      target.behaviour = RawTargetBehaviour.SpoofedHeaders;
      const answer = await request(`http://${address}/desk/x`, {
        headers: {
          'gentiandoor-caller': 'someone',
          te: 'trailers',
          'x-kept': '1',
        },
      });
      await answer.body.dump();
      assert.equal(answer.headers['gentiandoor-run'], 'yes');
      assert.equal(answer.headers['gentiandoor-replayed'], undefined);
      assert.equal(answer.headers['x-hop'], undefined);
      assert.equal(answer.headers['proxy-authenticate'], undefined);
      assert.equal(answer.headers['x-kept'], '1');
      const [{head}] = target.received;
      assert.doesNotMatch(head, /gentiandoor-caller|^te:/im);
      assert.match(head, /^x-kept: 1$/m);
      assert.match(head, /^via: 1\.1 gentiandoor$/m);
      assert.match(head, /^x-forwarded-for: 127\.0\.0\.1$/m);
    });

    it('in trailers are forwarded, except the system\u2019s own', async () => {
      const {address} = await startEdge();
      target.behaviour = RawTargetBehaviour.Trailers;
      const answer = await request(`http://${address}/desk/x`);
      assert.equal(await answer.body.text(), 'whole');
      assert.deepEqual({...answer.trailers}, {'x-sum': '17'});
    });
  });

  describe('HEAD', () => {
    it('gets the length of the body and no body', async () => {
      const {address} = await startEdge();
      const caller = new RawCaller(address);
      caller.send(
        'HEAD /desk/x HTTP/1.1',
        'host: a',
        'connection: close',
        '',
        '',
      );
      await caller.untilClosed();
      assert.match(caller.received, /content-length: 5\r\n/i);
      assert.match(caller.received, /\r\n\r\n$/);
    });
  });

  describe('when the target refuses with a Retry-After header', () => {
    it('the caller gets the same Retry-After', async () => {
      const {address} = await startEdge();
      target.behaviour = RawTargetBehaviour.Busy;
      const answer = await request(`http://${address}/desk/x`);
      await answer.body.dump();
      assert.equal(answer.headers['retry-after'], '7');
    });
  });
});

async function until(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise(resolve => setTimeout(resolve, 2));
}

/** Waits until data already in transit on sockets has arrived. */
async function waitForSocketEvents(): Promise<void> {
  for (let turn = 0; turn < 10; turn++)
    await new Promise(resolve => setTimeout(resolve, 2));
}
