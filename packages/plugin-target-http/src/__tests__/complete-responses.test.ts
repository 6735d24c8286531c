import assert from 'node:assert/strict';
import {after, afterEach, before, beforeEach, describe, it} from 'node:test';
import {ExchangeEnd} from '@gentiandoor/kernel';
import {
  SilentDropProxy,
  RawTargetBehaviour,
  RawTarget,
} from '@gentiandoor/stand-ins';
import {POST, TransportFixture, outgoingRequest} from './transport-fixture.js';

describe('an answer is whole or told as not whole', () => {
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
    // The target's answer is cut, doubled or framed in two ways. Only an answer that is
    // provably whole may end as whole; all others end with the connection destroyed.
    it(`ends as ${end} when the target does ${fault}`, async () => {
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
    describe(`when the target does ${fault}`, () => {
      // More bytes follow the answer on its connection. Were the connection used again, the
      // next caller would get them as the beginning of its own answer.
      it('nobody gets the rest', async () => {
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

  describe('when bytes come on an unused connection', () => {
    // A late second answer arrives after the first exchange ended and before the next one
    // begins. The connection must not carry another exchange.
    it('the next request does not get them as its answer', async () => {
      await fixture.send(target.address, outgoingRequest());
      target.writeUnasked('HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwrong');
      for (let turn = 0; turn < 5; turn++)
        await new Promise(resolve => setTimeout(resolve, 5));
      const {result, sink} = await fixture.send(target.address, POST);
      assert.equal(result.end, ExchangeEnd.Complete);
      assert.equal(sink.body, 'whole');
    });
  });

  describe('when the answer comes before the request\u2019s body has ended', () => {
    // The target answers on the head alone, as for a body it will not take. The caller gets
    // this answer; the connection, with half a request on it, is not used again.
    it('is whole and its connection is not used again', async () => {
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

  describe('when the answer comes after the deadline', () => {
    it('ends as timed out and the late answer reaches nobody', async () => {
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

describe('when the path forgets all open connections', () => {
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

  // Five connections are open and unused when the path forgets them. The first idempotent
  // request takes one and waits for its deadline. That silence closes the other four, so
  // the second request already goes over a new connection. Without it, five callers in turn
  // would each wait for a whole deadline.
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
