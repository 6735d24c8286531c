import {createHash} from 'node:crypto';

const MAXIMUM_DIGESTS = 200_000;

/**
 * Digests of records that were received from peers instead of the log. When the log can be
 * read again, it must hold the same bytes at the same offsets. This detects a record that a
 * peer has forged; the state built from it is discarded.
 */
export class UnverifiedRecords {
  private readonly digests = new Map<number, string>();

  get size(): number {
    return this.digests.size;
  }

  add(offset: number, payload: Uint8Array): void {
    this.digests.set(offset, payloadDigest(payload));
    if (this.digests.size <= MAXIMUM_DIGESTS) return;
    const [oldest] = this.digests.keys();
    this.digests.delete(oldest);
  }

  /**
   * Returns false when the log holds a different record at this offset; the offset is then no
   * longer kept.
   */
  verify(offset: number, payload: Uint8Array): boolean {
    const digest = this.digests.get(offset);
    this.digests.delete(offset);
    return digest === undefined || digest === payloadDigest(payload);
  }

  clear(): void {
    this.digests.clear();
  }
}

function payloadDigest(payload: Uint8Array): string {
  return createHash('sha256').update(payload).digest('base64');
}
