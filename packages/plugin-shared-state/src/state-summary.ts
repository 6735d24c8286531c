import {z} from 'zod';

const nonNegativeInteger = z.number().int().min(0);

/** Schema of the summary that a daemon sends to its peers. */
export const stateSummarySchema = z.object({
  offset: nonNegativeInteger,
  hash: z.string().max(32),
  /**
   * Highest record format that the daemon reads; states of daemons that differ in it are not
   * compared.
   */
  readsFormat: nonNegativeInteger,
  /** 0 before the first bundle. */
  version: nonNegativeInteger,
  digest: z.string().max(64),
  isLogReachable: z.boolean(),
  /** False while the daemon is still catching up. */
  isServing: z.boolean(),
});

/** What a daemon has folded and which bundle it has in force, as sent to its peers. */
export type StateSummary = z.output<typeof stateSummarySchema>;

/** Requests records from a peer, or its complete state if it no longer keeps them. */
export const recordsRequestSchema = z.object({
  from: nonNegativeInteger,
  snapshot: z.boolean(),
});

const bytesSchema: z.ZodType<Uint8Array> = z.instanceof(Uint8Array);

/** Schema of the response with records or a snapshot. */
export const recordsAnswerSchema = z.object({
  from: nonNegativeInteger,
  payloads: z.array(bytesSchema).optional(),
  snapshot: bytesSchema.optional(),
});

/** The response of a peer: records, a snapshot, or neither when it does not keep the records. */
export type RecordsAnswer = z.output<typeof recordsAnswerSchema>;
