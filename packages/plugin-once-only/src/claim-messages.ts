import {z} from 'zod';
import {ClaimOutcome, type HeldAnswer} from '@gentiandoor/shared-state';

/** Where a try stands at the daemon that has it. */
export enum ClaimStatus {
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
  StatusRequest = 'ask',
  HandOver = 'hand_over',
}

const answerSchema = z.object({
  status: z.number(),
  headers: z.array(z.string()).readonly(),
  body: z.custom<Uint8Array>(value => value instanceof Uint8Array),
});

const attemptOutcomeSchema = z.object({
  holder: z.string(),
  attempt: z.number(),
  end: z.enum(ClaimOutcome),
  answer: answerSchema.optional(),
});

const claimStatusRequestSchema = z.object({
  kind: z.literal(ClaimMessageKind.StatusRequest),
  holder: z.string(),
  key: z.string(),
  attempt: z.number(),
  /** Longest wait for the end of a running request, in milliseconds. */
  waitMilliseconds: z.number(),
});

const handOverSchema = z.object({
  kind: z.literal(ClaimMessageKind.HandOver),
  ends: z.array(attemptOutcomeSchema).readonly(),
});

const messageSchema = z.discriminatedUnion('kind', [
  claimStatusRequestSchema,
  handOverSchema,
]);

const claimStatusResponseSchema = z.object({
  standing: z.enum(ClaimStatus),
  answer: answerSchema.optional(),
});

const handOverResponseSchema = z.object({taken: z.number()});

/** Asks where a try stands. */
export type ClaimStatusRequest = z.output<typeof claimStatusRequestSchema>;

/** Hands ends and answers over before a planned stop. */
export type HandOverMessage = z.output<typeof handOverSchema>;

/** A message of one daemon to another about claims. */
export type ClaimMessage = ClaimStatusRequest | HandOverMessage;

/** The answer to `AskMessage`. */
export interface ClaimStatusResponse {
  readonly standing: ClaimStatus;
  readonly answer?: HeldAnswer;
}

/** The answer to `HandOverMessage`: how many ends were taken in. */
export type HandOverResponse = z.output<typeof handOverResponseSchema>;

/** Checks a message; throws `ZodError`. */
export function parseClaimMessage(message: unknown): ClaimMessage {
  return messageSchema.parse(message);
}

/** Checks an answer to `AskMessage`; throws `ZodError`. */
export function parseClaimStatusResponse(
  message: unknown,
): ClaimStatusResponse {
  return claimStatusResponseSchema.parse(message);
}

/** Checks an answer to `HandOverMessage`; throws `ZodError`. */
export function parseHandOverResponse(message: unknown): HandOverResponse {
  return handOverResponseSchema.parse(message);
}
