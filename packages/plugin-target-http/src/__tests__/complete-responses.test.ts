import assert from 'node:assert/strict';
import {after, afterEach, before, beforeEach, describe, it} from 'node:test';
import {ExchangeEnd} from '@gentiandoor/kernel';
import {
  SilentDropProxy,
  RawTargetBehaviour,
  RawTarget,
} from '@gentiandoor/stand-ins';
import {POST, TransportFixture, outgoingRequest} from './transport-fixture.js';

describe('a response is complete or reported as incomplete', () => {
  const target = new RawTarget();
  let fixture: TransportFixture;

  before(() => target.start());
  after(() => target.stop());
  beforeEach(() => {
    target.behaviour = RawTargetBehaviour.None;
    target.received.length = 0;
    fixture = new TransportFixture({progress_milliseconds: 500});
  });
  afterEach(() => fixture.stop());

  const endOfFault: ReadonlyArray<readonly [RawTargetBehaviour, ExchangeEnd]> =
    [
      [RawTargetBehaviour.None, ExchangeEnd.Complete],
      [RawTargetBehaviour.ResetInBody, ExchangeEnd.Truncated],
      [RawTargetBehaviour.CloseInBody, ExchangeEnd.Truncated],
      [RawTargetBehaviour.CloseInChunks, ExchangeEnd.Truncated],
      [RawTargetBehaviour.SilentInBody, ExchangeEnd.Truncated],
      [RawTargetBehaviour.NoLength, ExchangeEnd.Malformed],
      [RawTargetBehaviour.LengthAndChunks, ExchangeEnd.Malformed],
      [RawTargetBehaviour.TwoLengths, ExchangeEnd.Malformed],
      [RawTargetBehaviour.Garbage, ExchangeEnd.Malformed],
      [RawTargetBehaviour.OversizedHead, ExchangeEnd.Malformed],
      [RawTargetBehaviour.Upgrade, ExchangeEnd.ConnectionLost],
      [RawTargetBehaviour.Interim, ExchangeEnd.Complete],
      [RawTargetBehaviour.Trailers, ExchangeEnd.Complete],
      [RawTargetBehaviour.AnnouncedClose, ExchangeEnd.Complete],
    ];
  for (const [fault, end] of endOfFault) {
    // The target's response is truncated, duplicated or framed in two ways. Only a response
    // that is provably complete may end as such; all others end with a destroyed connection.
    it(`ends as ${end} for target behaviour ${fault}`, async () => {
      target.behaviour = fault;
      const {result, sink} = await fixture.send(target.address, POST);
      assert.equal(result.end, end);
      assert.equal(sink.ended, end === ExchangeEnd.Complete);
      if (end === ExchangeEnd.Complete) assert.equal(sink.body, 'whole');
      assert.equal(target.received.length, 1);
    });
  }

  for (const fault of [
    RawTargetBehaviour.LongBody,
    RawTargetBehaviour.TwoAnswers,
  ]) {
    describe(`with target behaviour ${fault}`, () => {
      // More bytes follow the response on its connection. If the connection were reused, the
      // next caller would get them as the start of its own response.
      it('the extra bytes reach no caller', async () => {
        target.behaviour = fault;
        const first = await fixture.send(target.address, outgoingRequest());
        assert.equal(first.sink.body, 'whole');
        target.behaviour = RawTargetBehaviour.None;
        const second = await fixture.send(target.address, POST);
        assert.equal(second.result.end, ExchangeEnd.Complete);
        assert.equal(second.sink.body, 'whole');
        const [one, two] = target.received.map(item => item.connection);
        assert.notEqual(one, two);
      });
    });
  }

  describe('when bytes arrive on an idle connection', () => {
    // A late second response arrives after the first exchange ended and before the next one
    // starts. The connection must not carry another exchange.
    it('the next request does not get them as its response', async () => {
      await fixture.send(target.address, outgoingRequest());
      target.writeUnasked('HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwrong');
      for (let turn = 0; turn < 5; turn++)
        await new Promise(resolve => setTimeout(resolve, 5));
      const {result, sink} = await fixture.send(target.address, POST);
      assert.equal(result.end, ExchangeEnd.Complete);
      assert.equal(sink.body, 'whole');
    });
  });

  describe('when the response arrives before the request\u2019s body has ended', () => {
    // The target responds to the head alone, as for a body that it rejects. The caller gets this
    // response; the connection, with half a request on it, is not reused.
    it('is complete and its connection is not reused', async () => {
      target.behaviour = RawTargetBehaviour.EarlyAnswer;
      const {result, sink} = await fixture.send(
        target.address,
        outgoingRequest({method: 'POST', idempotent: false, body: endless()}),
      );
      assert.equal(result.end, ExchangeEnd.Complete);
      assert.equal(sink.body, 'whole');
      target.behaviour = RawTargetBehaviour.None;
      await fixture.send(target.address, outgoingRequest());
      const [one, two] = target.received.map(item => item.connection);
      assert.notEqual(one, two);
    });
  });

  describe('when the response arrives after the deadline', () => {
    it('ends as timed out and the late response reaches no caller', async () => {
      target.behaviour = RawTargetBehaviour.Silent;
      const {result} = await fixture.send(
        target.address,
        outgoingRequest({responseHeadTimeoutMilliseconds: 50}),
      );
      assert.equal(result.end, ExchangeEnd.TimedOut);
      target.writeUnasked('HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nlate');
      target.behaviour = RawTargetBehaviour.None;
      const next = await fixture.send(target.address, POST);
      assert.equal(next.sink.body, 'whole');
    });
  });
});

describe('when the network silently drops all open connections', () => {
  const target = new RawTarget();
  let path: SilentDropProxy;
  let fixture: TransportFixture;

  before(async () => {
    await target.start();
    path = new SilentDropProxy(target.address);
    await path.start();
    fixture = new TransportFixture({idle_milliseconds: 60_000});
  });
  after(async () => {
    await fixture.stop();
    await path.stop();
    await target.stop();
  });

  // Five idle connections are open when the network drops them. The first idempotent request takes
  // one and waits for its deadline. That timeout closes the other four, so the second request uses
  // a new connection. Otherwise five callers in turn would each wait for a whole deadline.
  it('one caller waits for its deadline and the next does not', async () => {
    await Promise.all(
      Array.from({length: 5}, () =>
        fixture.send(path.address, outgoingRequest()),
      ),
    );
    assert.equal(fixture.transport.openConnections(path.address), 5);
    path.dropOpenConnections();
    const first = await fixture.send(
      path.address,
      outgoingRequest({responseHeadTimeoutMilliseconds: 50}),
    );
    assert.equal(first.result.end, ExchangeEnd.TimedOut);
    assert.equal(fixture.transport.openConnections(path.address), 0);
    const second = await fixture.send(path.address, POST);
    assert.equal(second.result.end, ExchangeEnd.Complete);
    const posts = target.received.filter(item => item.head.startsWith('POST'));
    assert.equal(posts.length, 1);
  });
});

async function* endless(): AsyncGenerator<Buffer> {
  for (;;) {
    yield Buffer.from('part');
    await new Promise(resolve => setTimeout(resolve, 5));
  }
}
