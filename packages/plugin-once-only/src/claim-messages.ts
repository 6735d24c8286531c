import {z} from 'zod';
import {ClaimOutcome, type HeldAnswer} from '@gentiandoor/shared-state';

/** Status of an attempt at the daemon that holds its claim. */
export enum ClaimStatus {
  /** Running, or waiting to run. */
  Running = 'running',
  /** A target has run the request. */
  Finished = 'finished',
  /** The outcome is unknown: the request may have been run. */
  Lost = 'lost',
  /** Not run; the claim is being released. */
  Released = 'released',
  /** The daemon has no record of the attempt. */
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
  /** Maximum time to wait for a running request to finish, in milliseconds. */
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

/** Requests the status of an attempt. */
export type ClaimStatusRequest = z.output<typeof claimStatusRequestSchema>;

/** Hands outcomes and answers over before a planned stop. */
export type HandOverMessage = z.output<typeof handOverSchema>;

/** A message about claims from one daemon to another. */
export type ClaimMessage = ClaimStatusRequest | HandOverMessage;

/** The response to `ClaimStatusRequest`. */
export interface ClaimStatusResponse {
  readonly standing: ClaimStatus;
  readonly answer?: HeldAnswer;
}

/** The response to `HandOverMessage`: the number of outcomes accepted. */
export type HandOverResponse = z.output<typeof handOverResponseSchema>;

/** Validates a message. Throws `ZodError` when it is invalid. */
export function parseClaimMessage(message: unknown): ClaimMessage {
  return messageSchema.parse(message);
}

/** Validates a response to `ClaimStatusRequest`. Throws `ZodError` when it is invalid. */
export function parseClaimStatusResponse(
  message: unknown,
): ClaimStatusResponse {
  return claimStatusResponseSchema.parse(message);
}

/** Validates a response to `HandOverMessage`. Throws `ZodError` when it is invalid. */
export function parseHandOverResponse(message: unknown): HandOverResponse {
  return handOverResponseSchema.parse(message);
}
