import {z} from 'zod';

const nonNegativeInteger = z.number().int().min(0);

/** What a daemon has folded and has in force, as told to its peers. */
export const stateSummarySchema = z.object({
  offset: nonNegativeInteger,
  hash: z.string().max(32),
  /** Highest record format that it reads: states of two versions are not compared. */
  readsFormat: nonNegativeInteger,
  /** 0 before the first bundle. */
  version: nonNegativeInteger,
  digest: z.string().max(64),
  isLogReachable: z.boolean(),
  /** False while it is still catching up. */
  isServing: z.boolean(),
});

/** What a daemon has folded and has in force, as told to its peers. */
export type StateSummary = z.output<typeof stateSummarySchema>;

/** Asks a peer for records, or for its state when they are no longer kept. */
export const recordsRequestSchema = z.object({
  from: nonNegativeInteger,
  snapshot: z.boolean(),
});

const bytesSchema: z.ZodType<Uint8Array> = z.instanceof(Uint8Array);

/** What a peer answers: records, or a snapshot, or neither when it has none. */
export const recordsAnswerSchema = z.object({
  from: nonNegativeInteger,
  payloads: z.array(bytesSchema).optional(),
  snapshot: bytesSchema.optional(),
});

/** What a peer answers: records, or a snapshot, or neither when it has none. */
export type RecordsAnswer = z.output<typeof recordsAnswerSchema>;
