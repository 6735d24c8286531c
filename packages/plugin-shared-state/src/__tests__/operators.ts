import {createPrivateKey, createPublicKey} from 'node:crypto';
import {type OperatorKeys} from '@gentiandoor/shared-state';

/** PKCS8 prefix of an Ed25519 private key; the 32 bytes of the key follow. */
const PKCS8_PREFIX = Buffer.from('302e020100300506032b657004220420', 'hex');
const KEY_BYTES = 32;

/** Returns the same key pair for a seed in each run, so that sessions have the same digests. */
export function operatorKeysFromSeed(seed: number): OperatorKeys {
  const der = Buffer.concat([PKCS8_PREFIX, Buffer.alloc(KEY_BYTES, seed)]);
  const privateKey = createPrivateKey({key: der, format: 'der', type: 'pkcs8'});
  const publicKey = createPublicKey(privateKey).export({
    type: 'spki',
    format: 'der',
  });
  return {
    publicKey: publicKey.toString('base64'),
    privateKey: der.toString('base64'),
  };
}
