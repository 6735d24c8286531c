import {randomBytes} from 'node:crypto';
import type {WebSocket} from 'ws';
import type {DaemonIdentity} from '@gentiandoor/kernel';
import type {Peer} from '@gentiandoor/shared-state';
import type {FrameInbox} from './frame-inbox.js';
import {PeerDisconnectReason, PeerDisconnectError} from './peer-disconnect.js';
import {
  NEWEST_PROTOCOL_VERSION,
  OLDEST_PROTOCOL_VERSION,
  decodeHello,
  decodeProof,
  encodeFrame,
  type Hello,
} from './peer-frames.js';
import {
  FrameAuthenticator,
  LinkSide,
  equalInConstantTime,
  handshakeProof,
  handshakeTranscript,
} from './frame-authentication.js';

const CHALLENGE_BYTES = 32;

/** What the handshake settled. */
export interface HandshakeResult {
  readonly peer: Peer;
  readonly outgoing: FrameAuthenticator;
  readonly incoming: FrameAuthenticator;
}

/** Names both sides and proves that both hold the key; throws `PeerEndError`. */
export async function performHandshake(
  socket: WebSocket,
  inbox: FrameInbox,
  side: LinkSide,
  identity: DaemonIdentity,
  key: string,
): Promise<HandshakeResult> {
  const ownHello = encodeFrame(helloOf(identity));
  const isDialer = side === LinkSide.Dialer;
  if (isDialer) socket.send(ownHello);
  const otherHello = await receive(inbox);
  const hello = decodeHello(otherHello);
  checkHello(hello, identity);
  if (!isDialer) socket.send(ownHello);
  const transcript = isDialer
    ? handshakeTranscript(ownHello, otherHello)
    : handshakeTranscript(otherHello, ownHello);
  const otherSide = isDialer ? LinkSide.Listener : LinkSide.Dialer;
  const prove = () =>
    socket.send(encodeFrame({proof: handshakeProof(key, side, transcript)}));
  if (isDialer) prove();
  const proof = decodeProof(await receive(inbox));
  if (!equalInConstantTime(handshakeProof(key, otherSide, transcript), proof))
    throw new PeerDisconnectError(
      PeerDisconnectReason.Refused,
      `${hello.name} holds another peer key`,
    );
  if (!isDialer) prove();
  const {name, incarnation, dataCentre} = hello;
  return {
    peer: {name, incarnation, dataCentre},
    outgoing: new FrameAuthenticator(key, side, transcript),
    incoming: new FrameAuthenticator(key, otherSide, transcript),
  };
}

function helloOf(identity: DaemonIdentity): Hello {
  const {name, incarnation, dataCentre} = identity;
  return {
    oldest: OLDEST_PROTOCOL_VERSION,
    newest: NEWEST_PROTOCOL_VERSION,
    name,
    incarnation,
    dataCentre,
    challenge: randomBytes(CHALLENGE_BYTES),
  };
}

function checkHello(hello: Hello, identity: DaemonIdentity): void {
  if (hello.incarnation === identity.incarnation)
    throw new PeerDisconnectError(
      PeerDisconnectReason.Duplicate,
      'the link leads to this daemon',
    );
  if (
    hello.newest < OLDEST_PROTOCOL_VERSION ||
    hello.oldest > NEWEST_PROTOCOL_VERSION
  )
    throw new PeerDisconnectError(
      PeerDisconnectReason.Refused,
      `${hello.name} speaks link protocol ${hello.oldest} to ${hello.newest}, this daemon ${OLDEST_PROTOCOL_VERSION} to ${NEWEST_PROTOCOL_VERSION}`,
    );
}

async function receive(inbox: FrameInbox): Promise<Uint8Array> {
  const frame = await inbox.next();
  if (frame) return frame;
  throw new PeerDisconnectError(
    PeerDisconnectReason.Closed,
    'closed during the handshake',
  );
}
