import {createHash} from 'node:crypto';

const MAXIMUM_DIGESTS = 200_000;

/**
 * Digests of records that came from peers and not from the log. When the log can be read
 * again, the same offsets are read there and must hold the same bytes: a record that a peer
 * made up is found, and the state it made is given up.
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

  /** False when the log holds another record at this offset; the offset is settled. */
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
