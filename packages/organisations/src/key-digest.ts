import {createHash} from 'node:crypto';

/** Digest of a key, in base64: what is kept and compared in place of the key. */
export type KeyDigest = string & {readonly brand: 'KeyDigest'};

/** Digest of `key`. Looking a digest up takes no longer for a key that is nearly right, so timing tells nothing of a key. */
export function digestKey(key: string): KeyDigest {
  return createHash('sha256').update(key).digest('base64') as KeyDigest;
}
