import {z} from 'zod';
import {
  boundedText,
  jobFields,
  MAXIMUM_BATCH_ENTRIES,
} from '@gentiandoor/shared-state';

/** Shorter than the id of a record, since `/jobs/cancel` appends the position of each batch. */
const MAXIMUM_REQUEST_ID_LENGTH = 180;

const operatorFields = {
  operator: boundedText.min(1).default('operator'),
  requestId: boundedText.min(1).max(MAXIMUM_REQUEST_ID_LENGTH).optional(),
};
const scope = z.strictObject({
  pools: z.array(boundedText).max(MAXIMUM_BATCH_ENTRIES).optional(),
  dataCentres: z.array(boundedText).max(MAXIMUM_BATCH_ENTRIES).optional(),
  notMaintainedSince: z.number().int().min(0).optional(),
});

/** Body of POST /fleet/drains. */
export const drainRequestSchema = z.strictObject({
  ...operatorFields,
  vm: boundedText,
  reason: boundedText.min(1),
});

/** Body of POST /fleet/returns. */
export const returnRequestSchema = z.strictObject({
  ...operatorFields,
  vm: boundedText,
});

/** Body of POST /fleet/moves. */
export const moveRequestSchema = z.strictObject({
  ...operatorFields,
  action: z.enum(['start', 'abort']),
  vm: boundedText,
  toPool: boundedText.optional(),
  reason: boundedText.min(1),
});

/** Body of POST /fleet/waves. */
export const waveRequestSchema = z.strictObject({
  ...operatorFields,
  action: z.enum(['start', 'hold', 'resume', 'abort']),
  wave: boundedText.min(1),
  reason: boundedText.min(1),
  scope: scope.default({}),
});

/** Body of POST /fleet/members/removals. */
export const memberRemovalRequestSchema = z.strictObject({
  ...operatorFields,
  name: boundedText.min(1),
  reason: boundedText.min(1),
});

/** Body of POST /jobs. */
export const jobRequestSchema = z.strictObject({
  ...operatorFields,
  ...jobFields,
  jobClass: boundedText.default('default'),
});

/** Body of POST /jobs/cancel. */
export const cancelRequestSchema = z.strictObject({
  ...operatorFields,
  keys: z.array(boundedText).min(1).max(100_000),
});
