import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {ExchangeEnd, VirtualClock} from '@gentiandoor/kernel';
import {RawTargetBehaviour, RawTarget} from '@gentiandoor/stand-ins';
import {POST, TransportFixture, outgoingRequest} from './transport-fixture.js';

const UNUSED_ADDRESS = '127.0.0.1:1';

describe('a request is written to a target at most once', () => {
  const target = new RawTarget();
  let fixture: TransportFixture;

  beforeEach(async () => {
    await target.start();
    target.received.length = 0;
    target.behaviour = RawTargetBehaviour.None;
    fixture = new TransportFixture();
  });

  afterEach(async () => {
    await fixture.stop();
    await target.stop();
  });

  describe('when nothing listens', () => {
    it('is reported as not sent', async () => {
      const {result} = await fixture.send(UNUSED_ADDRESS, POST);
      assert.equal(result.end, ExchangeEnd.NotSent);
    });
  });

  describe('when the connection cannot be opened in time', () => {
    // The caller aborts while the connection is still opening: the exchange ends at once, and
    // nothing is written when the connection opens later.
    it('is reported as not sent', async () => {
      const sink = {onHead() {}, onData: () => true, onEnd() {}};
      const exchange = fixture.transport.startExchange(
        {id: 'a', address: target.address},
        POST,
        sink,
      );
      exchange.abort();
      assert.equal((await exchange.done).end, ExchangeEnd.NotSent);
      await fixture.send(target.address, outgoingRequest());
      assert.deepEqual(methods(target), ['GET']);
    });
  });

  for (const fault of [
    RawTargetBehaviour.ResetOnRequest,
    RawTargetBehaviour.CloseOnRequest,
    RawTargetBehaviour.ResetInHead,
  ]) {
    for (const request of [
      POST,
      outgoingRequest(),
      outgoingRequest({method: 'PUT'}),
    ]) {
      describe(`with target behaviour ${fault} on a ${request.method}`, () => {
        // The target reads the request and then the connection ends without a response. The
        // request may have run: a library that resends it by itself would run it twice.
        it('reaches the target once and is reported as connection lost', async () => {
          target.behaviour = fault;
          const {result} = await fixture.send(target.address, request);
          assert.equal(result.end, ExchangeEnd.ConnectionLost);
          target.behaviour = RawTargetBehaviour.None;
          await fixture.send(target.address, outgoingRequest({path: '/after'}));
          const paths = target.received.map(item => item.head.split(' ')[1]);
          assert.deepEqual(paths, ['/x', '/after']);
        });
      });
    }
  }

  describe('when the target closes an idle connection as the request is written', () => {
    // The target closes a kept connection, and before that is noticed here, the next request
    // takes it. The request either moves to a new connection, still unwritten, or ends as
    // connection lost; it must never be written to both.
    for (let round = 0; round < 5; round++) {
      it(`reaches the target at most once, round ${round}`, async () => {
        await fixture.send(target.address, outgoingRequest());
        target.received.length = 0;
        target.closeConnections();
        if (round % 2 === 1) await new Promise(setImmediate);
        const {result, sink} = await fixture.send(target.address, POST);
        if (result.end === ExchangeEnd.Complete) {
          assert.equal(sink.body, 'whole');
          assert.deepEqual(methods(target), ['POST']);
        } else {
          assert.ok(target.received.length <= 1);
          assert.notEqual(result.end, ExchangeEnd.Complete);
        }
      });
    }
  });

  describe('when a connection was idle for longer than proven_milliseconds', () => {
    it('a non-idempotent request opens a new one, an idempotent one does not', async () => {
      const clock = new VirtualClock();
      const timed = new TransportFixture(
        {idle_milliseconds: 3000, proven_milliseconds: 500},
        clock,
      );
      await timed.send(target.address, outgoingRequest());
      clock.advance(499);
      await timed.send(target.address, POST);
      clock.advance(501);
      await timed.send(target.address, outgoingRequest());
      clock.advance(501);
      await timed.send(target.address, POST);
      const used = target.received.map(item => item.connection);
      const first = used[0];
      assert.deepEqual(used, [first, first, first, first + 1]);
      await timed.stop();
    });
  });

  describe('when the target announced that the connection closes', () => {
    it('it is no longer counted and the next request opens a new one', async () => {
      target.behaviour = RawTargetBehaviour.AnnouncedClose;
      await fixture.send(target.address, outgoingRequest());
      assert.equal(fixture.transport.openConnections(target.address), 0);
      await fixture.send(target.address, POST);
      const [first, second] = target.received.map(item => item.connection);
      assert.notEqual(first, second);
    });
  });

  describe('when a target announces a keep-alive timeout', () => {
    it('its connection closes after that time, less a margin', async () => {
      const hinted = new TransportFixture({idle_milliseconds: 60_000});
      target.behaviour = RawTargetBehaviour.KeepAliveHint;
      await hinted.send(target.address, outgoingRequest());
      assert.equal(hinted.transport.openConnections(target.address), 1);
      while (hinted.transport.openConnections(target.address) > 0)
        await new Promise(resolve => setTimeout(resolve, 50));
      await hinted.stop();
    });
  });

  describe('when all connections that a target may have are in use', () => {
    it('ends as not sent, and a later request succeeds once one is free', async () => {
      target.behaviour = RawTargetBehaviour.Silent;
      const first = fixture.send(
        target.address,
        outgoingRequest({responseHeadTimeoutMilliseconds: 200}),
        1,
      );
      const second = await fixture.send(target.address, POST, 1);
      assert.equal(second.result.end, ExchangeEnd.NotSent);
      assert.equal((await first).result.end, ExchangeEnd.TimedOut);
      target.behaviour = RawTargetBehaviour.None;
      const third = await fixture.send(target.address, POST, 1);
      assert.equal(third.result.end, ExchangeEnd.Complete);
      assert.equal(fixture.transport.openConnections(target.address), 1);
    });
  });
});

function methods(target: RawTarget): string[] {
  return target.received.map(item => item.head.split(' ')[0]);
}
