import {z} from 'zod';
import {
  nonNegativeInteger,
  recordHeadFields,
  boundedText,
} from './record-head.js';

/** Maximum entries of one batched record, so that the fold applies each record quickly. */
export const MAXIMUM_BATCH_ENTRIES = 2000;

/** Header fields of records that only the planner of the current term may write. */
export const plannerHeadFields = {
  ...recordHeadFields,
  term: nonNegativeInteger,
};

/**
 * Header fields of records that an operator (without term) or the planner (with its term) may
 * write.
 */
export const operatorOrPlannerHeadFields = {
  ...recordHeadFields,
  term: nonNegativeInteger.optional(),
};

/** Fields that identify planned work: its VM and the offset that started it. */
export const plannedWorkKeyFields = {
  vm: boundedText,
  startedAt: nonNegativeInteger,
};

/** Returns the schema of a batch of at most `MAXIMUM_BATCH_ENTRIES` entries. */
export function boundedBatch<Schema extends z.ZodType>(schema: Schema) {
  return z.array(schema).max(MAXIMUM_BATCH_ENTRIES).readonly();
}
