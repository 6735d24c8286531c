import {z} from 'zod';
import {
  nonNegativeInteger,
  recordHeadFields,
  boundedText,
} from './record-head.js';
import {RecordKind} from './record-kind.js';

/** Shape of a `MemberJoined` record. */
export const memberJoinedSchema = z
  .object({
    ...recordHeadFields,
    kind: z.literal(RecordKind.MemberJoined),
    name: boundedText.min(1),
    incarnation: boundedText.min(1),
    dataCentre: boundedText,
    /** IP number and port of its peer link. */
    peerAddress: boundedText,
    /** Highest record format that it reads; 1 where missing. */
    readsFormat: nonNegativeInteger.optional(),
  })
  .readonly();

/** Shape of a `MemberLeft` record. */
export const memberLeftSchema = z
  .object({
    ...recordHeadFields,
    kind: z.literal(RecordKind.MemberLeft),
    incarnation: boundedText,
    /** Why an operator took it out; missing where the daemon left by itself. */
    reason: boundedText.optional(),
  })
  .readonly();

/** Shape of a `FormatRaised` record. */
export const formatRaisedSchema = z
  .object({
    ...recordHeadFields,
    kind: z.literal(RecordKind.FormatRaised),
    format: nonNegativeInteger,
  })
  .readonly();

/** A daemon's incarnation starts to serve. */
export type MemberJoined = z.output<typeof memberJoinedSchema>;

/** A daemon's incarnation has stopped. */
export type MemberLeft = z.output<typeof memberLeftSchema>;

/** From here on records of this format take effect. */
export type FormatRaised = z.output<typeof formatRaisedSchema>;
