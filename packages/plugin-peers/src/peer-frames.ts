import {Packr} from 'msgpackr';
import {z} from 'zod';
import {PeerTopic} from '@gentiandoor/shared-state';

/** Range of versions of the link protocol that this program supports. */
export const OLDEST_PROTOCOL_VERSION = 1;
export const NEWEST_PROTOCOL_VERSION = 1;

const packr = new Packr({useRecords: false});
const MAXIMUM_NAME_LENGTH = 200;
const CHALLENGE_BYTES = 32;

const name = z.string().min(1).max(MAXIMUM_NAME_LENGTH);
const bytesSchema = z.instanceof(Uint8Array);

const helloSchema = z.object({
  oldest: z.number().int(),
  newest: z.number().int(),
  name,
  incarnation: name,
  dataCentre: name,
  challenge: bytesSchema.refine(value => value.length === CHALLENGE_BYTES),
});
const proofSchema = z.object({proof: bytesSchema});
const topic = z.enum(PeerTopic);
const requestIdSchema = z.number().int().min(0);

/** Kinds of frames on an established link. */
export enum FrameKind {
  Message = 'message',
  Request = 'request',
  Answer = 'answer',
  Failure = 'failure',
}

const frameSchema = z.discriminatedUnion('kind', [
  z.object({kind: z.literal(FrameKind.Message), topic, body: z.unknown()}),
  z.object({
    kind: z.literal(FrameKind.Request),
    topic,
    id: requestIdSchema,
    body: z.unknown(),
  }),
  z.object({
    kind: z.literal(FrameKind.Answer),
    id: requestIdSchema,
    body: z.unknown(),
  }),
  z.object({
    kind: z.literal(FrameKind.Failure),
    id: requestIdSchema,
    error: z.string(),
  }),
]);

/** First frame that each side sends in the handshake. */
export type Hello = z.output<typeof helloSchema>;

/** A frame on an established link. */
export type Frame = z.output<typeof frameSchema>;

/** Thrown for a frame that violates the protocol; closes the link. */
export class MalformedFrameError extends Error {}

/** Encodes a frame of any kind. */
export function encodeFrame(frame: Frame | Hello | {proof: Uint8Array}) {
  return packr.pack(frame);
}

/** Decodes and validates a hello. Throws `MalformedFrameError`. */
export function decodeHello(payload: Uint8Array): Hello {
  return decode(helloSchema, payload);
}

/** Decodes and validates a proof. Throws `MalformedFrameError`. */
export function decodeProof(payload: Uint8Array): Uint8Array {
  return decode(proofSchema, payload).proof;
}

/** Decodes and validates a frame. Throws `MalformedFrameError`. */
export function decodeFrame(payload: Uint8Array): Frame {
  return decode(frameSchema, payload);
}

function decode<Value>(schema: z.ZodType<Value>, payload: Uint8Array): Value {
  let value: unknown;
  try {
    value = packr.unpack(payload);
  } catch {
    throw new MalformedFrameError('the frame is not valid MessagePack');
  }
  const result = schema.safeParse(value);
  if (result.success) return result.data;
  throw new MalformedFrameError(result.error.issues[0].message);
}
