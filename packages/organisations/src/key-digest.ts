import {createHash} from 'node:crypto';

/** Digest of a key, in base64, which is stored and compared instead of the key. */
export type KeyDigest = string & {readonly brand: 'KeyDigest'};

/**
 * Returns the digest of `key`. Looking up a digest takes no longer for a key that is
 * nearly correct, so the timing reveals nothing about a key.
 */
export function digestKey(key: string): KeyDigest {
  return createHash('sha256').update(key).digest('base64') as KeyDigest;
}
