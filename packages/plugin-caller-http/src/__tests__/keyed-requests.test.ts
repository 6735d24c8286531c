import assert from 'node:assert/strict';
import {after, afterEach, before, beforeEach, describe, it} from 'node:test';
import {request} from 'undici';
import type {
  HeldAnswer,
  KeyedRequestDecision,
  IdempotencyGuard,
} from '@gentiandoor/shared-state';
import {RawTargetBehaviour, RawTarget} from '@gentiandoor/stand-ins';
import {CallerEdge} from './caller-edge.js';
import {RawCaller} from './raw-caller.js';

/** Lets every request run and records how each claim ended. */
class RecordingIdempotencyGuard implements IdempotencyGuard {
  readonly ends: string[] = [];
  held: HeldAnswer | undefined;
  began = 0;

  async begin(): Promise<KeyedRequestDecision> {
    this.began++;
    return {
      run: true,
      claim: {
        finish: answer => {
          this.held = answer;
          this.ends.push(answer ? 'finish' : 'finish without answer');
        },
        release: () => this.ends.push('release'),
        lose: () => this.ends.push('lose'),
      },
    };
  }
}

describe('a request with an idempotency key', () => {
  const target = new RawTarget();
  let edge: CallerEdge;

  before(() => target.start());
  after(() => target.stop());
  beforeEach(() => {
    target.behaviour = RawTargetBehaviour.None;
    target.received.length = 0;
  });
  afterEach(() => edge.stop());

  async function startEdge(onceOnly?: IdempotencyGuard): Promise<void> {
    edge = new CallerEdge({
      targets: [target.address],
      services: {desk: {deadlineMilliseconds: 1000}},
      settings: {held_answer_bytes: 10},
      onceOnly,
    });
    await edge.start();
  }

  async function post(key: string, body: string, path = '/desk/x') {
    const answer = await request(`http://${edge.address}${path}`, {
      method: 'POST',
      headers: {'idempotency-key': key},
      body,
    });
    return {
      status: answer.statusCode,
      headers: answer.headers,
      text: await answer.body.text(),
    };
  }

  describe('that is sent again after its response', () => {
    it('gets the held answer, marked as replayed, and does not run again', async () => {
      await startEdge();
      const first = await post('k1', 'crest');
      const second = await post('k1', 'crest');
      assert.equal(first.headers['gentiandoor-replayed'], undefined);
      assert.equal(second.headers['gentiandoor-replayed'], 'yes');
      assert.equal(second.headers['gentiandoor-run'], 'yes');
      assert.deepEqual([second.status, second.text], [200, 'whole']);
      assert.equal(target.received.length, 1);
    });
  });

  describe('whose held answer is larger than the caller\u2019s buffer', () => {
    // The replayed response is written and ended at once, and the caller reads it in parts. It must
    // arrive complete, and the connection must still serve the caller's next request.
    it('gets the complete answer and the connection stays usable', async () => {
      const body = Buffer.alloc(1_000_000, 'x');
      edge = new CallerEdge({
        targets: [target.address],
        settings: {progress_milliseconds: 500},
        onceOnly: {
          begin: async () => ({
            run: false,
            answer: {
              status: 200,
              headers: ['content-length', String(body.length)],
              body,
            },
          }),
        },
      });
      await edge.start();
      const caller = new RawCaller(edge.address);
      const head = ['POST /desk/x HTTP/1.1', 'host: a', 'idempotency-key: k'];
      caller.send(...head, 'content-length: 0', '', '');
      assert.equal((await caller.readResponse()).body.length, body.length);
      target.behaviour = RawTargetBehaviour.Silent;
      caller.send('GET /desk/y HTTP/1.1', 'host: a', '', '');
      await until(() => target.received.length === 1);
      caller.destroy();
    });
  });

  describe('that is sent again with another body or path', () => {
    it('is refused and does not run', async () => {
      await startEdge();
      await post('k1', 'crest');
      for (const again of [
        await post('k1', 'logo'),
        await post('k1', 'crest', '/desk/y'),
      ]) {
        assert.equal(again.status, 422);
        assert.equal(again.headers['gentiandoor-reason'], 'key_reused');
      }
      assert.equal(target.received.length, 1);
    });
  });

  describe('whose caller disconnected before the response', () => {
    // The caller sends a request, disconnects, and retries with the same key. The first run
    // continues to its end, so the retry gets its response and the target runs the work once.
    it('gets the response of that run on a retry', async () => {
      await startEdge();
      target.behaviour = RawTargetBehaviour.Silent;
      const caller = new RawCaller(edge.address);
      caller.send(
        'POST /desk/x HTTP/1.1',
        'host: a',
        'idempotency-key: k1',
        'content-length: 5',
        '',
        'crest',
      );
      await until(() => target.received.length === 1);
      caller.destroy();
      target.writeUnasked('HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone');
      await until(() => edge.router.inUse === 0);
      const again = await post('k1', 'crest');
      assert.equal(again.text, 'done');
      assert.equal(target.received.length, 1);
    });
  });

  describe('ends its claim exactly once', () => {
    const ends: ReadonlyArray<readonly [RawTargetBehaviour, string]> = [
      [RawTargetBehaviour.None, 'finish'],
      [RawTargetBehaviour.SpoofedHeaders, 'finish'],
      [RawTargetBehaviour.Busy, 'release'],
      [RawTargetBehaviour.ResetOnRequest, 'lose'],
      [RawTargetBehaviour.ResetInBody, 'lose'],
      [RawTargetBehaviour.NoLength, 'lose'],
      [RawTargetBehaviour.Silent, 'lose'],
    ];
    for (const [fault, end] of ends) {
      it(`by ${end} for target behaviour ${fault}`, async () => {
        const onceOnly = new RecordingIdempotencyGuard();
        await startEdge(onceOnly);
        target.behaviour = fault;
        await post('k1', 'crest').catch(() => undefined);
        await until(() => edge.server.inFlightCounts.requests === 0);
        assert.deepEqual(onceOnly.ends, [end]);
      });
    }

    it('by release when no target can be reached', async () => {
      const onceOnly = new RecordingIdempotencyGuard();
      edge = new CallerEdge({targets: ['127.0.0.1:1'], onceOnly});
      await edge.start();
      const answer = await post('k1', 'crest');
      assert.equal(answer.headers['gentiandoor-run'], 'no');
      assert.deepEqual(onceOnly.ends, ['release']);
    });

    it('without an answer when the response is too large to hold', async () => {
      const onceOnly = new RecordingIdempotencyGuard();
      await startEdge(onceOnly);
      target.behaviour = RawTargetBehaviour.Silent;
      const answer = post('k1', 'crest');
      await until(() => target.received.length === 1);
      target.writeUnasked(
        'HTTP/1.1 200 OK\r\ncontent-length: 11\r\n\r\neleven long',
      );
      assert.equal((await answer).text, 'eleven long');
      assert.deepEqual(onceOnly.ends, ['finish without answer']);
    });
  });

  describe('that is refused before its key is looked up', () => {
    // The first attempt ran; then the bundle lost the service, or the retry reached a daemon that
    // has no bundle yet. Told "not run", the caller would send the work under a new key.
    it('is reported as unknown, not as "not run"', async () => {
      await startEdge();
      const {headers} = await post('k1', 'crest', '/gone/x');
      assert.equal(headers['gentiandoor-reason'], 'unknown_service');
      assert.equal(headers['gentiandoor-run'], 'unknown');
    });

    it('is reported as "not run" when it has no key', async () => {
      await startEdge();
      const {headers, body} = await request(`http://${edge.address}/gone/x`, {
        method: 'POST',
        body: 'crest',
      });
      await body.dump();
      assert.equal(headers['gentiandoor-run'], 'no');
    });
  });

  describe('on an idempotent method', () => {
    it('needs no claim', async () => {
      const onceOnly = new RecordingIdempotencyGuard();
      await startEdge(onceOnly);
      const answer = await request(`http://${edge.address}/desk/x`, {
        headers: {'idempotency-key': 'k1'},
      });
      await answer.body.dump();
      assert.equal(answer.statusCode, 200);
      assert.equal(onceOnly.began, 0);
    });
  });
});

async function until(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise(resolve => setTimeout(resolve, 2));
}
