import {createHash} from 'node:crypto';
import {Packr} from 'msgpackr';
import {z} from 'zod';

/** Maximum bytes of a snapshot in one record; far below the maximum record size of a log. */
export const CHUNK_BYTES = 128_000;
const MAXIMUM_CHUNKS = 8192;
/** Maximum incomplete snapshots kept; the oldest is evicted first. */
const MAXIMUM_PARTIAL_SNAPSHOTS = 4;
const CHUNK_FORMAT = 1;

const packr = new Packr({useRecords: false});
const count = z.number().int().min(0);
const bytes: z.ZodType<Uint8Array> = z.instanceof(Uint8Array);
const chunkSchema = z.object({
  format: z.literal(CHUNK_FORMAT),
  offset: count,
  digest: z.string().max(64),
  index: count.max(MAXIMUM_CHUNKS),
  chunks: count.min(1).max(MAXIMUM_CHUNKS),
  bytes,
});
type Chunk = z.output<typeof chunkSchema>;

/** A snapshot whose bytes are complete and match the digest; its content is not yet verified. */
export interface AssembledSnapshot {
  /** Offset of the fleet stream up to which the snapshot was folded. */
  readonly offset: number;
  readonly digest: string;
  readonly bytes: Uint8Array;
}

/** Returns the SHA-256 digest of a snapshot, in hexadecimal. */
export function snapshotDigest(snapshot: Uint8Array): string {
  return createHash('sha256').update(snapshot).digest('hex');
}

/** Splits a snapshot into records for the snapshots stream, which can be assembled in any order. */
export function splitSnapshot(
  offset: number,
  snapshot: Uint8Array,
): Uint8Array[] {
  const digest = snapshotDigest(snapshot);
  const chunks = Math.max(1, Math.ceil(snapshot.length / CHUNK_BYTES));
  return Array.from({length: chunks}, (_, index) => {
    const from = index * CHUNK_BYTES;
    const bytes = snapshot.subarray(from, from + CHUNK_BYTES);
    const chunk: Chunk = {
      format: CHUNK_FORMAT,
      offset,
      digest,
      index,
      chunks,
      bytes,
    };
    return packr.pack(chunk);
  });
}

/** Assembles snapshots from the records of the snapshots stream; never throws. */
export class SnapshotAssembler {
  private readonly partialSnapshots = new Map<
    string,
    Array<Uint8Array | undefined>
  >();

  /** `onInvalid` is called for each record or snapshot that is skipped. */
  constructor(private readonly onInvalid: (detail: string) => void) {}

  /** Adds the next record; returns the snapshot if this was its last missing chunk. */
  addChunk(payload: Uint8Array): AssembledSnapshot | undefined {
    const chunk = readChunk(payload);
    if (!chunk) {
      this.onInvalid('a record of the snapshots stream cannot be read');
      return undefined;
    }
    const key = `${chunk.offset}/${chunk.digest}/${chunk.chunks}`;
    const parts = this.partialSnapshotOf(key, chunk.chunks);
    parts[chunk.index] = chunk.bytes;
    const present = parts.filter(part => part !== undefined);
    if (present.length < chunk.chunks) return undefined;
    this.partialSnapshots.delete(key);
    return this.verify(chunk, Buffer.concat(present));
  }

  /** Reports the snapshots that are still incomplete and drops them. */
  reportIncomplete(): void {
    for (const key of this.partialSnapshots.keys())
      this.onInvalid(`snapshot ${key} is half written`);
    this.partialSnapshots.clear();
  }

  private verify(
    chunk: Chunk,
    bytes: Uint8Array,
  ): AssembledSnapshot | undefined {
    const {offset, digest} = chunk;
    if (snapshotDigest(bytes) === digest) return {offset, digest, bytes};
    this.onInvalid(`snapshot at offset ${offset} does not match its digest`);
    return undefined;
  }

  private partialSnapshotOf(
    key: string,
    chunks: number,
  ): Array<Uint8Array | undefined> {
    const existing = this.partialSnapshots.get(key);
    if (existing) return existing;
    const parts = new Array<Uint8Array | undefined>(chunks).fill(undefined);
    this.partialSnapshots.set(key, parts);
    if (this.partialSnapshots.size > MAXIMUM_PARTIAL_SNAPSHOTS) {
      const [oldest] = this.partialSnapshots.keys();
      this.partialSnapshots.delete(oldest);
      this.onInvalid(`snapshot ${oldest} is half written`);
    }
    return parts;
  }
}

function readChunk(payload: Uint8Array): Chunk | undefined {
  try {
    const chunk = chunkSchema.parse(packr.unpack(payload));
    return chunk.index < chunk.chunks ? chunk : undefined;
  } catch {
    return undefined;
  }
}
