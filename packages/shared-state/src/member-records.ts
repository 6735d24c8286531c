import {z} from 'zod';
import {recordCount, recordHead, recordText} from './record-head.js';
import {RecordKind} from './record-kind.js';

/** Shape of a `MemberJoined` record. */
export const memberJoinedSchema = z
  .object({
    ...recordHead,
    kind: z.literal(RecordKind.MemberJoined),
    name: recordText.min(1),
    incarnation: recordText.min(1),
    dataCentre: recordText,
    /** IP number and port of its peer link. */
    peerAddress: recordText,
    /** Highest record format that it reads; 1 where missing. */
    readsFormat: recordCount.optional(),
  })
  .readonly();

/** Shape of a `MemberLeft` record. */
export const memberLeftSchema = z
  .object({
    ...recordHead,
    kind: z.literal(RecordKind.MemberLeft),
    incarnation: recordText,
    /** Why an operator took it out; missing where the daemon left by itself. */
    reason: recordText.optional(),
  })
  .readonly();

/** Shape of a `FormatRaised` record. */
export const formatRaisedSchema = z
  .object({
    ...recordHead,
    kind: z.literal(RecordKind.FormatRaised),
    format: recordCount,
  })
  .readonly();

/** A daemon's incarnation starts to serve. */
export type MemberJoined = z.output<typeof memberJoinedSchema>;

/** A daemon's incarnation has stopped. */
export type MemberLeft = z.output<typeof memberLeftSchema>;

/** From here on records of this format take effect. */
export type FormatRaised = z.output<typeof formatRaisedSchema>;
