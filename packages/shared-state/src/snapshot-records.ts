import {z} from 'zod';
import {
  nonNegativeInteger,
  recordHeadFields,
  boundedText,
} from './record-head.js';
import {RecordKind} from './record-kind.js';

/** Schema of a `SnapshotTaken` record. */
export const snapshotTakenSchema = z
  .object({
    ...recordHeadFields,
    kind: z.literal(RecordKind.SnapshotTaken),
    offset: nonNegativeInteger,
    digest: boundedText,
    bytes: nonNegativeInteger,
    at: nonNegativeInteger,
  })
  .readonly();

/** A snapshot was stored completely in the snapshots stream. */
export type SnapshotTaken = z.output<typeof snapshotTakenSchema>;
