import {z} from 'zod';
import {recordCount, recordHead, recordText} from './record-head.js';
import {RecordKind} from './record-kind.js';

/** Shape of a `SnapshotTaken` record. */
export const snapshotTakenSchema = z
  .object({
    ...recordHead,
    kind: z.literal(RecordKind.SnapshotTaken),
    offset: recordCount,
    digest: recordText,
    bytes: recordCount,
    at: recordCount,
  })
  .readonly();

/** A snapshot stands whole in the snapshots stream. */
export type SnapshotTaken = z.output<typeof snapshotTakenSchema>;
