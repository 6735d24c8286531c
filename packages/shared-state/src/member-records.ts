import {z} from 'zod';
import {
  nonNegativeInteger,
  recordHeadFields,
  boundedText,
} from './record-head.js';
import {RecordKind} from './record-kind.js';

/** Schema of a `MemberJoined` record. */
export const memberJoinedSchema = z
  .object({
    ...recordHeadFields,
    kind: z.literal(RecordKind.MemberJoined),
    name: boundedText.min(1),
    incarnation: boundedText.min(1),
    dataCentre: boundedText,
    /** IP address and port of the daemon's peer links. */
    peerAddress: boundedText,
    /** Highest record format that the daemon can read; 1 if missing. */
    readsFormat: nonNegativeInteger.optional(),
  })
  .readonly();

/** Schema of a `MemberLeft` record. */
export const memberLeftSchema = z
  .object({
    ...recordHeadFields,
    kind: z.literal(RecordKind.MemberLeft),
    incarnation: boundedText,
    /** Why an operator removed the member; missing if the daemon left by itself. */
    reason: boundedText.optional(),
  })
  .readonly();

/** Schema of a `FormatRaised` record. */
export const formatRaisedSchema = z
  .object({
    ...recordHeadFields,
    kind: z.literal(RecordKind.FormatRaised),
    format: nonNegativeInteger,
  })
  .readonly();

/** An incarnation of a daemon starts serving. */
export type MemberJoined = z.output<typeof memberJoinedSchema>;

/** An incarnation of a daemon has stopped. */
export type MemberLeft = z.output<typeof memberLeftSchema>;

/** From this record on, records of the format take effect. */
export type FormatRaised = z.output<typeof formatRaisedSchema>;
