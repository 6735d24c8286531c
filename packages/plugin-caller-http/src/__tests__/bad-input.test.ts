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
  bad('no HTTP', 400, 'bad_request', 'hello there', '', ''),
  bad('no Host', 400, 'bad_request', 'GET /desk/x HTTP/1.1', '', ''),
  bad('two Hosts', 400, 'bad_request', ...get('/desk/x', 'host: other')),
  bad(
    'two different lengths',
    400,
    'bad_request',
    ...post('/desk/x', 'content-length: 3', 'content-length: 5'),
    'abcde',
  ),
  bad(
    'one length twice',
    400,
    'bad_request',
    ...post('/desk/x', 'content-length: 3', 'content-length: 3'),
    'abc',
  ),
  bad(
    'a list of lengths',
    400,
    'bad_request',
    ...post('/desk/x', 'content-length: 3, 3'),
    'abc',
  ),
  bad(
    'a negative length',
    400,
    'bad_request',
    ...post('/desk/x', 'content-length: -1'),
    '',
  ),
  bad(
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
  bad(
    'chunks that are not the last coding',
    400,
    'bad_request',
    ...post('/desk/x', 'transfer-encoding: chunked, identity'),
    '0',
    '',
    '',
  ),
  bad(
    'a bad chunk size',
    400,
    'bad_request',
    ...post('/desk/x', 'transfer-encoding: chunked'),
    'zz',
    'abc',
    '',
  ),
  bad(
    'a folded header',
    400,
    'bad_request',
    'GET /desk/x HTTP/1.1',
    'host: a',
    ' folded',
    '',
    '',
  ),
  bad(
    'a space before the colon',
    400,
    'bad_request',
    ...get('/desk/x', 'content-length : 3'),
  ),
  bad(
    'a head over the limit',
    431,
    'head_too_large',
    ...get('/desk/x', `x-long: ${LONG}`),
  ),
  bad(
    'a length over the limit',
    413,
    'body_too_large',
    ...post('/desk/x', 'content-length: 5000'),
    '',
  ),
  bad(
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
  bad('an unknown service', 404, 'unknown_service', ...get('/nothing/x')),
  bad(
    'a service named as what objects inherit',
    404,
    'unknown_service',
    ...get('/constructor/x'),
  ),
  bad('no path', 400, 'bad_request', ...get('*')),
  bad('a dot segment', 400, 'bad_request', ...get('/desk/../ledger/x')),
  bad('a hidden dot segment', 400, 'bad_request', ...get('/desk/%2E./x')),
  bad(
    'an upgrade',
    501,
    'upgrade_refused',
    ...get('/desk/x', 'connection: upgrade', 'upgrade: websocket'),
  ),
  bad(
    'CONNECT',
    501,
    'upgrade_refused',
    'CONNECT 10.0.0.1:22 HTTP/1.1',
    'host: a',
    '',
    '',
  ),
  bad(
    'an unknown expectation',
    417,
    'expectation_refused',
    ...get('/desk/x', 'expect: better'),
  ),
  bad('no key of a caller', 401, 'unknown_caller', ...get('/counter/x')),
  bad(
    'a wrong key of a caller',
    401,
    'unknown_caller',
    ...get('/counter/x', 'authorization: Bearer wrong'),
  ),
  bad('no idempotency key', 428, 'key_required', ...post('/ledger/x'), ''),
  bad(
    'an empty idempotency key',
    400,
    'key_invalid',
    ...post('/ledger/x', 'idempotency-key: '),
    '',
  ),
  bad(
    'two idempotency keys',
    400,
    'key_invalid',
    ...post('/ledger/x', 'idempotency-key: a', 'idempotency-key: b'),
    '',
  ),
  bad(
    'a long idempotency key',
    400,
    'key_invalid',
    ...post('/ledger/x', `idempotency-key: ${'k'.repeat(201)}`),
    '',
  ),
  bad(
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
    it(`${what} is answered ${status} ${reason}, and nothing goes to a target`, async () => {
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

  describe('a half-sent body', () => {
    // The caller announces ten bytes, sends four and then nothing. The body is short, so it
    // is read whole before a target is chosen: no target hears of it and no slot is held.
    it('is answered 408 and nothing goes to a target', async () => {
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
    it('is answered 408 and the connection closes', async () => {
      const caller = new RawCaller(edge.address);
      caller.send('GET /desk/x HTTP/1.1', 'host: a');
      const answer = await caller.readResponse();
      assert.equal(answer.status, 408);
      await caller.untilClosed();
    });
  });

  describe('malformed bytes behind a good request', () => {
    // The first request is being served when the second, malformed one is read. A 400 written
    // at once would be taken for the first one's answer, and "not run" would be false.
    it('the good one gets its own answer and then the connection closes', async () => {
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
    it('is let in, and the target learns the name and not the key', async () => {
      const caller = new RawCaller(edge.address);
      caller.send(...get('/counter/x', `authorization: Bearer ${TAILOR_KEY}`));
      assert.equal((await caller.readResponse()).status, 200);
      const [{head}] = target.received;
      assert.match(head, /^gentiandoor-caller: tailor$/m);
      assert.doesNotMatch(head, /authorization/i);
      caller.destroy();
    });
  });

  describe('more headers than node keeps by default', () => {
    // The parser's own limit drops headers after the 2000th without a word: the target would
    // get another request than the caller sent.
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
    it('is passed over and the request is served', async () => {
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

  describe('a request with the whole address in its first line', () => {
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

    it('is answered with Continue when the body is wanted', async () => {
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

function bad(
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

/** The head of a POST; the next line begins the body. */
function post(path: string, ...headers: string[]): string[] {
  return [`POST ${path} HTTP/1.1`, 'host: a', ...headers, ''];
}

function headerOf(answer: RawResponse, name: string): string | undefined {
  return new RegExp(`^${name}: (.*)$`, 'im').exec(answer.head)?.[1];
}
