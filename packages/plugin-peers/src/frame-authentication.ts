import {createHmac, timingSafeEqual} from 'node:crypto';

const TAG_BYTES = 16;
const COUNTER_BYTES = 8;
const LENGTH_BYTES = 4;

/** The side of a link that sends a proof or frame. */
export enum LinkSide {
  Dialer = 'dialer',
  Listener = 'listener',
}

/** Returns both hellos as sent; the proofs and keys of a link are bound to this transcript. */
export function handshakeTranscript(
  dialerHello: Uint8Array,
  listenerHello: Uint8Array,
): Buffer {
  const length = Buffer.alloc(LENGTH_BYTES);
  length.writeUInt32BE(dialerHello.length);
  return Buffer.concat([length, dialerHello, listenerHello]);
}

/**
 * Returns one side's proof that it holds the key. Fresh challenges of both sides prevent
 * replay of an old proof.
 */
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

/**
 * Compares in constant time, so that timing doesn't let an attacker guess a proof byte by
 * byte.
 */
export function equalInConstantTime(
  expected: Buffer,
  actual: Uint8Array,
): boolean {
  return actual.length === expected.length && timingSafeEqual(expected, actual);
}

/**
 * Authenticates the frames of one direction of a link. Without it, anyone who can write to
 * the connection could take the link over after its handshake. A frame counter in the MAC
 * detects reordered and repeated frames.
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

  /** Returns the frame prefixed with its authentication tag. */
  prependTag(frame: Uint8Array): Buffer {
    return Buffer.concat([this.nextTag(frame), frame]);
  }

  /** Returns the frame without its tag; undefined when the tag is wrong. */
  verifyAndStripTag(taggedFrame: Uint8Array): Uint8Array | undefined {
    const tag = taggedFrame.subarray(0, TAG_BYTES);
    const frame = taggedFrame.subarray(TAG_BYTES);
    return equalInConstantTime(this.nextTag(frame), tag) ? frame : undefined;
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
