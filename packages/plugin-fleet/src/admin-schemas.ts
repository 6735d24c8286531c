import {z} from 'zod';
import {recordText, jobFields, MOST_BATCHED} from '@gentiandoor/shared-state';

/** Shorter than an id of a record: `/jobs/cancel` adds the place of each batch. */
const LONGEST_REQUEST_ID = 180;

const operatorFields = {
  operator: recordText.min(1).default('operator'),
  requestId: recordText.min(1).max(LONGEST_REQUEST_ID).optional(),
};
const scope = z.strictObject({
  pools: z.array(recordText).max(MOST_BATCHED).optional(),
  dataCentres: z.array(recordText).max(MOST_BATCHED).optional(),
  notMaintainedSince: z.number().int().min(0).optional(),
});

/** Body of POST /fleet/drains. */
export const drainRequest = z.strictObject({
  ...operatorFields,
  vm: recordText,
  reason: recordText.min(1),
});

/** Body of POST /fleet/returns. */
export const returnRequest = z.strictObject({
  ...operatorFields,
  vm: recordText,
});

/** Body of POST /fleet/moves. */
export const moveRequest = z.strictObject({
  ...operatorFields,
  action: z.enum(['start', 'abort']),
  vm: recordText,
  toPool: recordText.optional(),
  reason: recordText.min(1),
});

/** Body of POST /fleet/waves. */
export const waveRequest = z.strictObject({
  ...operatorFields,
  action: z.enum(['start', 'hold', 'resume', 'abort']),
  wave: recordText.min(1),
  reason: recordText.min(1),
  scope: scope.default({}),
});

/** Body of POST /fleet/members/removals. */
export const memberRemovalRequest = z.strictObject({
  ...operatorFields,
  name: recordText.min(1),
  reason: recordText.min(1),
});

/** Body of POST /jobs. */
export const jobRequest = z.strictObject({
  ...operatorFields,
  ...jobFields,
  jobClass: recordText.default('default'),
});

/** Body of POST /jobs/cancel. */
export const cancelRequest = z.strictObject({
  ...operatorFields,
  keys: z.array(recordText).min(1).max(100_000),
});
