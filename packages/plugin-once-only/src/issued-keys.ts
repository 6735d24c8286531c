import {createHmac, randomBytes, timingSafeEqual} from 'node:crypto';
import {ErrorKind, RequestError} from '@gentiandoor/kernel';
import type {OnceOnlyOptions} from './once-only-options.js';

const ISSUED_KEY_PREFIX = 'gd1-';
const ISSUED_KEY_PATTERN =
  /^gd1-([0-9a-z]{1,11})-([0-9a-f]{24})-([0-9a-f]{32})$/;
const RANDOM_BYTES = 12;
const MAC_BYTES = 16;
const RADIX = 36;

/**
 * Issues and verifies keys whose age can be determined without a clock: each carries the
 * offset of the claims stream at which it was issued, authenticated with a secret that all
 * daemons share. For a key issued below the oldest retained claim, a request may already have
 * run and its claim been evicted, so the key is refused.
 */
export class IssuedKeys {
  private readonly secrets: readonly string[];

  constructor(options: OnceOnlyOptions) {
    const {key_secret: current, key_secret_previous: previous} = options;
    this.secrets = [current, previous].filter(secret => secret !== undefined);
  }

  /**
   * Returns a new key for `caller`, issued at `offset`; undefined when no secret is
   * configured.
   */
  issue(caller: string, offset: number): string | undefined {
    if (this.secrets.length === 0) return undefined;
    const signedPart = `${offset.toString(RADIX)}-${randomBytes(RANDOM_BYTES).toString('hex')}`;
    return `${ISSUED_KEY_PREFIX}${signedPart}-${computeMac(this.secrets[0], caller, signedPart).toString('hex')}`;
  }

  /**
   * Returns the offset at which a key was issued; undefined for a key chosen by the caller.
   * Throws `RequestError` for a key with the prefix of issued keys but no valid MAC.
   */
  issueOffsetOf(caller: string, key: string): number | undefined {
    if (this.secrets.length === 0 || !key.startsWith(ISSUED_KEY_PREFIX))
      return undefined;
    const [, offset, random, mac] = ISSUED_KEY_PATTERN.exec(key) ?? [];
    if (mac === undefined || !this.hasValidMac(caller, offset, random, mac)) {
      throw new RequestError(
        ErrorKind.KeyInvalid,
        `keys that begin with ${ISSUED_KEY_PREFIX} are issued by the daemons, to one caller`,
      );
    }
    return Number.parseInt(offset, RADIX);
  }

  private hasValidMac(
    caller: string,
    offset: string,
    random: string,
    mac: string,
  ): boolean {
    const macBytes = Buffer.from(mac, 'hex');
    return this.secrets.some(secret =>
      timingSafeEqual(
        computeMac(secret, caller, `${offset}-${random}`),
        macBytes,
      ),
    );
  }
}

function computeMac(
  secret: string,
  caller: string,
  signedPart: string,
): Buffer {
  return createHmac('sha256', secret)
    .update(JSON.stringify([caller, signedPart]))
    .digest()
    .subarray(0, MAC_BYTES);
}
