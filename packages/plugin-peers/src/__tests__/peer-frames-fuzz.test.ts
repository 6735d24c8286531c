import assert from 'node:assert/strict';
import {EventEmitter} from 'node:events';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {Packr} from 'msgpackr';
import type {WebSocket} from 'ws';
import {MemoryMetrics, MetricName, SystemClock} from '@gentiandoor/kernel';
import {PeerTopic} from '@gentiandoor/shared-state';
import {FrameInbox} from '../frame-inbox.js';
import {PeerDisconnectReason} from '../peer-disconnect.js';
import {
  FrameKind,
  MalformedFrameError,
  decodeFrame,
  decodeHello,
  decodeProof,
  encodeFrame,
} from '../peer-frames.js';
import {PeerLink} from '../peer-link.js';
import {FrameAuthenticator, LinkSide} from '../frame-authentication.js';
import {peersOptions} from '../peers-options.js';

const RUNS = {
  seed: 20_265,
  numRuns: Number(process.env.GENTIANDOOR_FUZZ_RUNS ?? 500),
};
const KEY = 'a key for tests only';
const TRANSCRIPT = Buffer.from('both hellos');
const packr = new Packr({useRecords: false});

const validFrame = encodeFrame({
  kind: FrameKind.Request,
  topic: PeerTopic.TargetSummary,
  id: 1,
  body: {pools: {desk: {waiting: true}}},
});
/** A valid frame with bytes replaced. */
const mutatedFrame = fc
  .tuple(fc.nat({max: validFrame.length - 1}), fc.uint8Array({maxLength: 8}))
  .map(([from, bytes]) => {
    const frame = Uint8Array.from(validFrame);
    frame.set(bytes.subarray(0, validFrame.length - from), from);
    return frame;
  });
const unusualFrame = fc
  .record(
    {
      kind: fc.oneof(fc.constantFrom(...Object.values(FrameKind)), fc.string()),
      topic: fc.oneof(
        fc.constantFrom(...Object.values(PeerTopic)),
        fc.constantFrom('constructor', '__proto__'),
      ),
      id: fc.oneof(fc.integer(), fc.double(), fc.string()),
      body: fc.jsonValue(),
      error: fc.string(),
    },
    {requiredKeys: []},
  )
  .map(frame => Uint8Array.from(packr.pack(frame)));
const anyFrame = fc.oneof(
  fc.uint8Array({maxLength: 80}),
  mutatedFrame,
  unusualFrame,
);

/** The part of a WebSocket that a link uses, without a network. */
class FakeSocket extends EventEmitter {
  readonly OPEN = 1;
  readonly readyState = 1;
  readonly bufferedAmount = 0;
  readonly isPaused = false;

  send(): void {}
  ping(): void {}
  pause(): void {}
  resume(): void {}
  terminate(): void {
    this.emit('close');
  }
}

function startLink(): {
  socket: FakeSocket;
  metrics: MemoryMetrics;
  ended: Promise<PeerDisconnectReason>;
} {
  const socket = new FakeSocket();
  const metrics = new MemoryMetrics();
  const real = socket as unknown as WebSocket;
  const peer = {name: 'entry-2', incarnation: 'entry-2-1', dataCentre: 'a'};
  const link = new PeerLink(
    real,
    new FrameInbox(real),
    {
      peer,
      outgoing: new FrameAuthenticator(KEY, LinkSide.Listener, TRANSCRIPT),
      incoming: new FrameAuthenticator(KEY, LinkSide.Dialer, TRANSCRIPT),
    },
    LinkSide.Listener,
    {
      clock: new SystemClock(),
      metrics,
      options: peersOptions.parse({listen: '127.0.0.1:0', key: KEY}),
      handlers: new Map(),
    },
  );
  return {socket, metrics, ended: link.run()};
}

describe('frames from a peer', () => {
  for (const decode of [decodeFrame, decodeHello, decodeProof]) {
    it(`are decoded or rejected with a MalformedFrameError: ${decode.name}`, () => {
      fc.assert(
        fc.property(anyFrame, frame => {
          try {
            decode(frame);
          } catch (error) {
            assert.ok(error instanceof MalformedFrameError, String(error));
          }
        }),
        RUNS,
      );
    });
  }

  it('without a valid authentication tag close the link before they are decoded', async () => {
    await fc.assert(
      fc.asyncProperty(anyFrame, async frame => {
        const {socket, metrics, ended} = startLink();
        socket.emit('message', frame);
        assert.equal(await ended, PeerDisconnectReason.Malformed);
        const read = {direction: 'in'};
        assert.equal(metrics.value(MetricName.PeerMessages, read), 0);
      }),
      RUNS,
    );
  });

  // A peer running a faulty version has the key and sends frames that this daemon cannot
  // decode. The link must close with a counted reason, and no error may escape its task.
  it('with a valid authentication tag are handled or close the link', async () => {
    await fc.assert(
      fc.asyncProperty(fc.array(anyFrame, {maxLength: 5}), async frames => {
        const {socket, ended} = startLink();
        const authenticator = new FrameAuthenticator(
          KEY,
          LinkSide.Dialer,
          TRANSCRIPT,
        );
        for (const frame of frames)
          socket.emit('message', authenticator.prependTag(frame));
        setImmediate(() => socket.emit('close'));
        const end = await ended;
        assert.ok(
          [
            PeerDisconnectReason.Malformed,
            PeerDisconnectReason.Closed,
          ].includes(end),
          end,
        );
      }),
      RUNS,
    );
  });
});
