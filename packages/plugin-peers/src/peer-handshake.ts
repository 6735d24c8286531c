import {randomBytes} from 'node:crypto';
import type {WebSocket} from 'ws';
import type {DaemonIdentity} from '@gentiandoor/kernel';
import type {Peer} from '@gentiandoor/shared-state';
import type {FrameInbox} from './frame-inbox.js';
import {PeerEnd, PeerEndError} from './peer-end.js';
import {
  NEWEST_PROTOCOL,
  OLDEST_PROTOCOL,
  decodeHello,
  decodeProof,
  encodeFrame,
  type Hello,
} from './peer-frames.js';
import {
  FrameSeal,
  LinkSide,
  proofMatches,
  proofOf,
  transcriptOf,
} from './peer-seal.js';

const CHALLENGE_BYTES = 32;

/** What the handshake settled. */
export interface LinkTerms {
  readonly peer: Peer;
  readonly outgoing: FrameSeal;
  readonly incoming: FrameSeal;
}

/** Names both sides and proves that both hold the key; throws `PeerEndError`. */
export async function shakeHands(
  socket: WebSocket,
  inbox: FrameInbox,
  side: LinkSide,
  identity: DaemonIdentity,
  key: string,
): Promise<LinkTerms> {
  const ownHello = encodeFrame(helloOf(identity));
  const isDialer = side === LinkSide.Dialer;
  if (isDialer) socket.send(ownHello);
  const otherHello = await receive(inbox);
  const hello = decodeHello(otherHello);
  refuseUnfit(hello, identity);
  if (!isDialer) socket.send(ownHello);
  const transcript = isDialer
    ? transcriptOf(ownHello, otherHello)
    : transcriptOf(otherHello, ownHello);
  const otherSide = isDialer ? LinkSide.Listener : LinkSide.Dialer;
  const prove = () =>
    socket.send(encodeFrame({proof: proofOf(key, side, transcript)}));
  if (isDialer) prove();
  const proof = decodeProof(await receive(inbox));
  if (!proofMatches(proofOf(key, otherSide, transcript), proof))
    throw new PeerEndError(
      PeerEnd.Refused,
      `${hello.name} holds another peer key`,
    );
  if (!isDialer) prove();
  const {name, incarnation, dataCentre} = hello;
  return {
    peer: {name, incarnation, dataCentre},
    outgoing: new FrameSeal(key, side, transcript),
    incoming: new FrameSeal(key, otherSide, transcript),
  };
}

function helloOf(identity: DaemonIdentity): Hello {
  const {name, incarnation, dataCentre} = identity;
  return {
    oldest: OLDEST_PROTOCOL,
    newest: NEWEST_PROTOCOL,
    name,
    incarnation,
    dataCentre,
    challenge: randomBytes(CHALLENGE_BYTES),
  };
}

function refuseUnfit(hello: Hello, identity: DaemonIdentity): void {
  if (hello.incarnation === identity.incarnation)
    throw new PeerEndError(PeerEnd.Doubled, 'the link leads to this daemon');
  if (hello.newest < OLDEST_PROTOCOL || hello.oldest > NEWEST_PROTOCOL)
    throw new PeerEndError(
      PeerEnd.Refused,
      `${hello.name} speaks link protocol ${hello.oldest} to ${hello.newest}, this daemon ${OLDEST_PROTOCOL} to ${NEWEST_PROTOCOL}`,
    );
}

async function receive(inbox: FrameInbox): Promise<Uint8Array> {
  const frame = await inbox.next();
  if (frame) return frame;
  throw new PeerEndError(PeerEnd.Closed, 'closed during the handshake');
}
