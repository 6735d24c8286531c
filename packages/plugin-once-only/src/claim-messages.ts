import {z} from 'zod';
import {ClaimEnd, type HeldAnswer} from '@gentiandoor/shared-state';

/** Where a try stands at the daemon that has it. */
export enum Standing {
  /** It runs, or waits to run. */
  Running = 'running',
  /** A target ran it. */
  Finished = 'finished',
  /** It may have been run. */
  Lost = 'lost',
  /** It was not run, and its claim is being given back. */
  Released = 'released',
  /** The daemon knows nothing of it. */
  Unknown = 'unknown',
}

/** Kinds of messages under `PeerTopic.KeyedAnswer`. */
export enum ClaimMessageKind {
  Ask = 'ask',
  HandOver = 'hand_over',
}

const answerSchema = z.object({
  status: z.number(),
  headers: z.array(z.string()).readonly(),
  body: z.custom<Uint8Array>(value => value instanceof Uint8Array),
});

const namedEndSchema = z.object({
  holder: z.string(),
  attempt: z.number(),
  end: z.enum(ClaimEnd),
  answer: answerSchema.optional(),
});

const askSchema = z.object({
  kind: z.literal(ClaimMessageKind.Ask),
  holder: z.string(),
  key: z.string(),
  attempt: z.number(),
  /** Longest wait for the end of a running request, in milliseconds. */
  waitMilliseconds: z.number(),
});

const handOverSchema = z.object({
  kind: z.literal(ClaimMessageKind.HandOver),
  ends: z.array(namedEndSchema).readonly(),
});

const messageSchema = z.discriminatedUnion('kind', [askSchema, handOverSchema]);

const standingSchema = z.object({
  standing: z.enum(Standing),
  answer: answerSchema.optional(),
});

const handedOverSchema = z.object({taken: z.number()});

/** Asks where a try stands. */
export type AskMessage = z.output<typeof askSchema>;

/** Hands ends and answers over before a planned stop. */
export type HandOverMessage = z.output<typeof handOverSchema>;

/** A message of one daemon to another about claims. */
export type ClaimMessage = AskMessage | HandOverMessage;

/** The answer to `AskMessage`. */
export interface StandingAnswer {
  readonly standing: Standing;
  readonly answer?: HeldAnswer;
}

/** The answer to `HandOverMessage`: how many ends were taken in. */
export type HandedOver = z.output<typeof handedOverSchema>;

/** Checks a message; throws `ZodError`. */
export function parseClaimMessage(message: unknown): ClaimMessage {
  return messageSchema.parse(message);
}

/** Checks an answer to `AskMessage`; throws `ZodError`. */
export function parseStanding(message: unknown): StandingAnswer {
  return standingSchema.parse(message);
}

/** Checks an answer to `HandOverMessage`; throws `ZodError`. */
export function parseHandedOver(message: unknown): HandedOver {
  return handedOverSchema.parse(message);
}
