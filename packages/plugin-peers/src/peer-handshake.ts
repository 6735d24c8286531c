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

/** Result of a handshake: the peer, and how frames of both directions are authenticated. */
export interface HandshakeResult {
  readonly peer: Peer;
  readonly outgoing: FrameAuthenticator;
  readonly incoming: FrameAuthenticator;
}

/**
 * Exchanges names and proves to each side that the other holds the key. Throws
 * `PeerDisconnectError` or `MalformedFrameError`.
 */
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
  const peerHello = await receive(inbox);
  const hello = decodeHello(peerHello);
  checkHello(hello, identity);
  if (!isDialer) socket.send(ownHello);
  const transcript = isDialer
    ? handshakeTranscript(ownHello, peerHello)
    : handshakeTranscript(peerHello, ownHello);
  const peerSide = isDialer ? LinkSide.Listener : LinkSide.Dialer;
  const sendProof = () =>
    socket.send(encodeFrame({proof: handshakeProof(key, side, transcript)}));
  if (isDialer) sendProof();
  const proof = decodeProof(await receive(inbox));
  if (!equalInConstantTime(handshakeProof(key, peerSide, transcript), proof))
    throw new PeerDisconnectError(
      PeerDisconnectReason.Refused,
      `${hello.name} has a different peer key`,
    );
  if (!isDialer) sendProof();
  const {name, incarnation, dataCentre} = hello;
  return {
    peer: {name, incarnation, dataCentre},
    outgoing: new FrameAuthenticator(key, side, transcript),
    incoming: new FrameAuthenticator(key, peerSide, transcript),
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
      'the link connects to this daemon itself',
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
    'the connection was closed during the handshake',
  );
}
