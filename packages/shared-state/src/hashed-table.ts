import xxhash from 'xxhash-wasm';
import {canonicalText} from './canonical-text.js';

const HASH_BITS = 64;
const hasher = await xxhash();

/**
 * Returns a 64-bit hash of text that detects differences between daemons; it is no protection
 * against forgery.
 */
export function hashText(text: string): bigint {
  return hasher.h64(text);
}

/**
 * A part of the folded state: a map of plain, immutable values with a hash that is updated on
 * each change. Without this, each record would cost an iteration over 31,000 VMs.
 */
export class HashedTable<Value> extends Map<string, Value> {
  private hashSum = 0n;

  /** `canonicalForm` returns the plain data that represents a value in the hash. */
  constructor(
    private readonly canonicalForm: (value: Value) => unknown = value => value,
  ) {
    super();
  }

  /** Sum of the hashes of all entries, so that it is independent of their order. */
  get hash(): bigint {
    return this.hashSum;
  }

  override set(key: string, value: Value): this {
    const before = this.get(key);
    if (before !== undefined) this.addToHash(-this.entryHash(key, before));
    this.addToHash(this.entryHash(key, value));
    return super.set(key, value);
  }

  override delete(key: string): boolean {
    const before = this.get(key);
    if (before !== undefined) this.addToHash(-this.entryHash(key, before));
    return super.delete(key);
  }

  override clear(): void {
    this.hashSum = 0n;
    super.clear();
  }

  /** Computes the hash from all entries, for tests and to verify a restored snapshot. */
  recomputeHash(): bigint {
    let sum = 0n;
    for (const [key, value] of this) sum += this.entryHash(key, value);
    return BigInt.asUintN(HASH_BITS, sum);
  }

  private addToHash(hash: bigint): void {
    this.hashSum = BigInt.asUintN(HASH_BITS, this.hashSum + hash);
  }

  private entryHash(key: string, value: Value): bigint {
    return hashText(`${key}\n${canonicalText(this.canonicalForm(value))}`);
  }
}
