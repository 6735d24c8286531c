import {
  createHash,
  createPrivateKey,
  createPublicKey,
  generateKeyPairSync,
  sign,
  verify,
} from 'node:crypto';

/** An Ed25519 key pair (DER, base64). */
export interface OperatorKeys {
  readonly publicKey: string;
  readonly privateKey: string;
}

/** Returns the SHA-256 digest of a text, in hexadecimal. */
export function sha256Hex(text: string): string {
  return createHash('sha256').update(text, 'utf8').digest('hex');
}

/** Generates a new key pair for an operator. */
export function generateOperatorKeys(): OperatorKeys {
  const pair = generateKeyPairSync('ed25519');
  return {
    publicKey: pair.publicKey
      .export({type: 'spki', format: 'der'})
      .toString('base64'),
    privateKey: pair.privateKey
      .export({type: 'pkcs8', format: 'der'})
      .toString('base64'),
  };
}

/** Signs a bundle for a sign-off; the signature covers its version and digest. */
export function signBundle(
  privateKey: string,
  version: number,
  digest: string,
): string {
  const key = createPrivateKey({
    key: Buffer.from(privateKey, 'base64'),
    format: 'der',
    type: 'pkcs8',
  });
  return sign(null, signedText(version, digest), key).toString('base64');
}

/** Whether the key made `signature` for this version and digest; false for malformed input. */
export function verifyBundle(
  publicKey: string,
  version: number,
  digest: string,
  signature: string,
): boolean {
  try {
    const key = createPublicKey({
      key: Buffer.from(publicKey, 'base64'),
      format: 'der',
      type: 'spki',
    });
    return verify(
      null,
      signedText(version, digest),
      key,
      Buffer.from(signature, 'base64'),
    );
  } catch {
    return false;
  }
}

function signedText(version: number, digest: string): Buffer {
  return Buffer.from(`gentiandoor bundle ${version} ${digest}`, 'utf8');
}
