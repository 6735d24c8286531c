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
 * Keys that tell their age without a clock: each carries the offset of the claims stream
 * at which it was issued, marked with a secret that all daemons share. A key born below
 * the horizon of the claims that are kept may have been run and forgotten: it is refused.
 */
export class IssuedKeys {
  private readonly secrets: readonly string[];

  constructor(options: OnceOnlyOptions) {
    const {key_secret: current, key_secret_previous: previous} = options;
    this.secrets = [current, previous].filter(secret => secret !== undefined);
  }

  /** A new key of `caller`, born at `offset`; undefined without a secret. */
  issue(caller: string, offset: number): string | undefined {
    if (this.secrets.length === 0) return undefined;
    const head = `${offset.toString(RADIX)}-${randomBytes(RANDOM_BYTES).toString('hex')}`;
    return `${ISSUED_KEY_PREFIX}${head}-${computeMac(this.secrets[0], caller, head).toString('hex')}`;
  }

  /**
   * The offset at which a key was issued; undefined for a key of the caller's own.
   * Throws `RequestError` for one that looks issued and is not.
   */
  issueOffsetOf(caller: string, key: string): number | undefined {
    if (this.secrets.length === 0 || !key.startsWith(ISSUED_KEY_PREFIX))
      return undefined;
    const [, offset, random, given] = ISSUED_KEY_PATTERN.exec(key) ?? [];
    if (
      given === undefined ||
      !this.hasValidMac(caller, offset, random, given)
    ) {
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
    given: string,
  ): boolean {
    const bytes = Buffer.from(given, 'hex');
    return this.secrets.some(secret =>
      timingSafeEqual(computeMac(secret, caller, `${offset}-${random}`), bytes),
    );
  }
}

function computeMac(secret: string, caller: string, head: string): Buffer {
  return createHmac('sha256', secret)
    .update(JSON.stringify([caller, head]))
    .digest()
    .subarray(0, MAC_BYTES);
}
