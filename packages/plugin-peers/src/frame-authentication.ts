import {createHmac, timingSafeEqual} from 'node:crypto';

const TAG_BYTES = 16;
const COUNTER_BYTES = 8;
const LENGTH_BYTES = 4;

/** Which end of a link speaks. */
export enum LinkSide {
  Dialer = 'dialer',
  Listener = 'listener',
}

/** Both hellos as sent: what the proofs and the keys of one link are bound to. */
export function handshakeTranscript(
  dialerHello: Uint8Array,
  listenerHello: Uint8Array,
): Buffer {
  const length = Buffer.alloc(LENGTH_BYTES);
  length.writeUInt32BE(dialerHello.length);
  return Buffer.concat([length, dialerHello, listenerHello]);
}

/** Proof of the key by one side: fresh challenges of both sides keep an old one from being used again. */
export function handshakeProof(
  key: string,
  side: LinkSide,
  transcript: Uint8Array,
): Buffer {
  return createHmac('sha256', key)
    .update(`gentiandoor proof ${side}\n`)
    .update(transcript)
    .digest();
}

/** Compares in constant time, so that a proof cannot be guessed byte by byte. */
export function equalInConstantTime(
  expected: Buffer,
  given: Uint8Array,
): boolean {
  return given.length === expected.length && timingSafeEqual(expected, given);
}

/**
 * Seals frames of one direction of a link. A link without it could be taken over after its
 * handshake by whoever can write into the connection; the count keeps frames in order.
 */
export class FrameAuthenticator {
  private readonly key: Buffer;
  private frameCounter = 0n;

  constructor(key: string, sender: LinkSide, transcript: Uint8Array) {
    this.key = createHmac('sha256', key)
      .update(`gentiandoor link ${sender}\n`)
      .update(transcript)
      .digest();
  }

  /** The frame with its seal in front. */
  prependTag(frame: Uint8Array): Buffer {
    return Buffer.concat([this.nextTag(frame), frame]);
  }

  /** The frame without its seal; undefined when the seal is wrong. */
  verifyAndStripTag(sealed: Uint8Array): Uint8Array | undefined {
    const seal = sealed.subarray(0, TAG_BYTES);
    const frame = sealed.subarray(TAG_BYTES);
    return equalInConstantTime(this.nextTag(frame), seal) ? frame : undefined;
  }

  private nextTag(frame: Uint8Array): Buffer {
    const counter = Buffer.alloc(COUNTER_BYTES);
    counter.writeBigUInt64BE(this.frameCounter++);
    return createHmac('sha256', this.key)
      .update(counter)
      .update(frame)
      .digest()
      .subarray(0, TAG_BYTES);
  }
}
