import assert from 'node:assert/strict';
import {createHash} from 'node:crypto';
import {after, afterEach, before, beforeEach, describe, it} from 'node:test';
import {MetricName} from '@gentiandoor/kernel';
import {KeyRule} from '@gentiandoor/shared-state';
import {RawTarget} from '@gentiandoor/stand-ins';
import {CallerEdge} from './caller-edge.js';
import {RawCaller, type RawResponse} from './raw-caller.js';

const TAILOR_KEY = 'tailor-key';

interface BadInput {
  readonly what: string;
  readonly lines: readonly string[];
  readonly status: number;
  readonly reason: string;
}

const LONG = 'x'.repeat(5000);

const BAD_INPUTS: readonly BadInput[] = [
  badInput('no HTTP', 400, 'bad_request', 'hello there', '', ''),
  badInput('no Host', 400, 'bad_request', 'GET /desk/x HTTP/1.1', '', ''),
  badInput('two Hosts', 400, 'bad_request', ...get('/desk/x', 'host: other')),
  badInput(
    'two different lengths',
    400,
    'bad_request',
    ...post('/desk/x', 'content-length: 3', 'content-length: 5'),
    'abcde',
  ),
  badInput(
    'one length twice',
    400,
    'bad_request',
    ...post('/desk/x', 'content-length: 3', 'content-length: 3'),
    'abc',
  ),
  badInput(
    'a list of lengths',
    400,
    'bad_request',
    ...post('/desk/x', 'content-length: 3, 3'),
    'abc',
  ),
  badInput(
    'a negative length',
    400,
    'bad_request',
    ...post('/desk/x', 'content-length: -1'),
    '',
  ),
  badInput(
    'a length and chunks',
    400,
    'bad_request',
    ...post('/desk/x', 'content-length: 3', 'transfer-encoding: chunked'),
    '0',
    '',
    'GET /desk/smuggled HTTP/1.1',
    'host: a',
    '',
    '',
  ),
  badInput(
    'chunks that are not the last coding',
    400,
    'bad_request',
    ...post('/desk/x', 'transfer-encoding: chunked, identity'),
    '0',
    '',
    '',
  ),
  badInput(
    'a bad chunk size',
    400,
    'bad_request',
    ...post('/desk/x', 'transfer-encoding: chunked'),
    'zz',
    'abc',
    '',
  ),
  badInput(
    'a folded header',
    400,
    'bad_request',
    'GET /desk/x HTTP/1.1',
    'host: a',
    ' folded',
    '',
    '',
  ),
  badInput(
    'a space before the colon',
    400,
    'bad_request',
    ...get('/desk/x', 'content-length : 3'),
  ),
  badInput(
    'a head over the limit',
    431,
    'head_too_large',
    ...get('/desk/x', `x-long: ${LONG}`),
  ),
  badInput(
    'a length over the limit',
    413,
    'body_too_large',
    ...post('/desk/x', 'content-length: 5000'),
    '',
  ),
  badInput(
    'chunks over the limit',
    413,
    'body_too_large',
    ...post('/desk/x', 'transfer-encoding: chunked'),
    '1388',
    LONG,
    '0',
    '',
    '',
  ),
  badInput('an unknown service', 404, 'unknown_service', ...get('/nothing/x')),
  badInput(
    'a service named like an inherited property',
    404,
    'unknown_service',
    ...get('/constructor/x'),
  ),
  badInput('no path', 400, 'bad_request', ...get('*')),
  badInput('a dot segment', 400, 'bad_request', ...get('/desk/../ledger/x')),
  badInput('a hidden dot segment', 400, 'bad_request', ...get('/desk/%2E./x')),
  badInput(
    'an upgrade',
    501,
    'upgrade_refused',
    ...get('/desk/x', 'connection: upgrade', 'upgrade: websocket'),
  ),
  badInput(
    'CONNECT',
    501,
    'upgrade_refused',
    'CONNECT 10.0.0.1:22 HTTP/1.1',
    'host: a',
    '',
    '',
  ),
  badInput(
    'an unknown expectation',
    417,
    'expectation_refused',
    ...get('/desk/x', 'expect: better'),
  ),
  badInput('no key of a caller', 401, 'unknown_caller', ...get('/counter/x')),
  badInput(
    'a wrong key of a caller',
    401,
    'unknown_caller',
    ...get('/counter/x', 'authorization: Bearer wrong'),
  ),
  badInput('no idempotency key', 428, 'key_required', ...post('/ledger/x'), ''),
  badInput(
    'an empty idempotency key',
    400,
    'key_invalid',
    ...post('/ledger/x', 'idempotency-key: '),
    '',
  ),
  badInput(
    'two idempotency keys',
    400,
    'key_invalid',
    ...post('/ledger/x', 'idempotency-key: a', 'idempotency-key: b'),
    '',
  ),
  badInput(
    'a long idempotency key',
    400,
    'key_invalid',
    ...post('/ledger/x', `idempotency-key: ${'k'.repeat(201)}`),
    '',
  ),
  badInput(
    'a keyed body over the limit',
    413,
    'body_too_large',
    ...post('/ledger/x', 'idempotency-key: k', 'content-length: 600'),
    'x'.repeat(600),
  ),
];

describe('bad input', () => {
  const target = new RawTarget();
  let edge: CallerEdge;

  before(() => target.start());
  after(() => target.stop());
  beforeEach(async () => {
    target.received.length = 0;
    target.receivedBytes = 0;
    edge = new CallerEdge({
      targets: [target.address],
      settings: {
        head_bytes: 4096,
        body_bytes: 4096,
        keyed_body_bytes: 512,
        progress_milliseconds: 500,
        head_milliseconds: 1000,
      },
      services: {
        desk: {},
        ledger: {keyRule: KeyRule.Required},
        counter: {callersOnly: true},
      },
      callers: {
        tailor: {
          team: 'guild',
          keyDigest: createHash('sha256').update(TAILOR_KEY).digest('hex'),
        },
      },
    });
    await edge.start();
  });
  afterEach(() => edge.stop());

  for (const {what, lines, status, reason} of BAD_INPUTS) {
    it(`${what} gets ${status} ${reason}, and nothing is sent to a target`, async () => {
      const caller = new RawCaller(edge.address);
      caller.send(...lines);
      const answer = await caller.readResponse();
      caller.destroy();
      assert.equal(answer.status, status);
      assert.equal(headerOf(answer, 'gentiandoor-reason'), reason);
      assert.equal(headerOf(answer, 'gentiandoor-run'), 'no');
      assert.equal(target.receivedBytes, 0);
      assert.equal(edge.metrics.value(MetricName.Refusals, {reason}), 1);
    });
  }

  describe('an incomplete body', () => {
    // The caller announces ten bytes, sends four and then nothing. A short body is buffered
    // before a target is chosen, so no target gets the request and no slot is held.
    it('gets 408 and nothing is sent to a target', async () => {
      const caller = new RawCaller(edge.address);
      caller.send(...post('/desk/x', 'content-length: 10'), 'part');
      const answer = await caller.readResponse();
      assert.equal(answer.status, 408);
      assert.equal(headerOf(answer, 'gentiandoor-run'), 'no');
      assert.equal(headerOf(answer, 'retry-after'), '1');
      assert.equal(target.receivedBytes, 0);
      caller.destroy();
    });
  });

  describe('a head that never ends', () => {
    it('gets 408 and the connection closes', async () => {
      const caller = new RawCaller(edge.address);
      caller.send('GET /desk/x HTTP/1.1', 'host: a');
      const answer = await caller.readResponse();
      assert.equal(answer.status, 408);
      await caller.untilClosed();
    });
  });

  describe('malformed bytes after a valid request', () => {
    // The first request is in flight when the second, malformed one is read. A 400 written at
    // once would be taken for the response to the first one, and its "not run" would be false.
    it('the valid one gets its own response and then the connection closes', async () => {
      const caller = new RawCaller(edge.address);
      caller.send(...get('/desk/x'), 'garbage with no sense', '', '');
      const answer = await caller.readResponse();
      assert.equal(answer.status, 200);
      assert.equal(answer.body, 'whole');
      await caller.untilClosed();
      assert.equal(caller.received, '');
      assert.equal(target.received.length, 1);
    });
  });

  describe('a key of a known caller', () => {
    it('is accepted, and the target gets the name and not the key', async () => {
      const caller = new RawCaller(edge.address);
      caller.send(...get('/counter/x', `authorization: Bearer ${TAILOR_KEY}`));
      assert.equal((await caller.readResponse()).status, 200);
      const [{head}] = target.received;
      assert.match(head, /^gentiandoor-caller: tailor$/m);
      assert.doesNotMatch(head, /authorization/i);
      caller.destroy();
    });
  });

  describe('more headers than Node.js keeps by default', () => {
    // The default limit silently drops headers after the 2000th: the target would get a
    // different request from the one that the caller sent.
    it('all reach the target', async () => {
      const wide = new CallerEdge({
        targets: [target.address],
        settings: {head_bytes: 65_536},
      });
      await wide.start();
      const caller = new RawCaller(wide.address);
      const short = Array.from({length: 2500}, () => 'a:b');
      caller.send(...get('/desk/x', ...short, 'x-last: 1'));
      assert.equal((await caller.readResponse()).status, 200);
      assert.match(target.received[0].head, /^x-last: 1$/m);
      caller.destroy();
      await wide.stop();
    });
  });

  describe('an offer of HTTP/2 in clear text', () => {
    it('is ignored and the request is served', async () => {
      const caller = new RawCaller(edge.address);
      caller.send(
        ...get(
          '/desk/x',
          'connection: upgrade, http2-settings',
          'upgrade: h2c',
          'http2-settings: AA',
        ),
      );
      assert.equal((await caller.readResponse()).status, 200);
      assert.doesNotMatch(target.received[0].head, /http2-settings|upgrade/i);
      caller.destroy();
    });
  });

  describe('a request target in absolute form', () => {
    it('is served by its path', async () => {
      const caller = new RawCaller(edge.address);
      caller.send(...get('http://any.example/desk/x?q=1'));
      assert.equal((await caller.readResponse()).status, 200);
      assert.match(target.received[0].head, /^GET \/desk\/x\?q=1 /);
      caller.destroy();
    });
  });

  describe('Expect: 100-continue', () => {
    it('is refused before the body is sent', async () => {
      const caller = new RawCaller(edge.address);
      caller.send(
        ...post('/nothing/x', 'expect: 100-continue', 'content-length: 4'),
        '',
      );
      assert.equal((await caller.readResponse()).status, 404);
      await caller.untilClosed();
    });

    it('gets 100 Continue when the request is accepted', async () => {
      const caller = new RawCaller(edge.address);
      caller.send(
        ...post('/desk/x', 'expect: 100-continue', 'content-length: 4'),
        '',
      );
      assert.equal((await caller.readResponse()).status, 100);
      assert.equal(target.receivedBytes, 0);
      caller.send('body');
      assert.equal((await caller.readResponse()).status, 200);
      assert.equal(target.received[0].body, 'body');
      assert.doesNotMatch(target.received[0].head, /^expect/im);
      caller.destroy();
    });
  });
});

function badInput(
  what: string,
  status: number,
  reason: string,
  ...lines: string[]
): BadInput {
  return {what, lines, status, reason};
}

function get(path: string, ...headers: string[]): string[] {
  return [`GET ${path} HTTP/1.1`, 'host: a', ...headers, '', ''];
}

/** Returns the head of a POST; the next line starts the body. */
function post(path: string, ...headers: string[]): string[] {
  return [`POST ${path} HTTP/1.1`, 'host: a', ...headers, ''];
}

function headerOf(answer: RawResponse, name: string): string | undefined {
  return new RegExp(`^${name}: (.*)$`, 'im').exec(answer.head)?.[1];
}
