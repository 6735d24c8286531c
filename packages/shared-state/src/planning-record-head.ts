import {z} from 'zod';
import {
  nonNegativeInteger,
  recordHeadFields,
  boundedText,
} from './record-head.js';

/** Entries of one batched record: bounded, so that a record stays a short step of the fold. */
export const MAXIMUM_BATCH_ENTRIES = 2000;

/** Fields of a record that only the planner of the current term may write. */
export const plannerHeadFields = {
  ...recordHeadFields,
  term: nonNegativeInteger,
};

/** Fields of a record of an operator (no term) or of the planner (its term). */
export const operatorOrPlannerHeadFields = {
  ...recordHeadFields,
  term: nonNegativeInteger.optional(),
};

/** Fields that name planned work: its VM and the offset that started it. */
export const plannedWorkKeyFields = {
  vm: boundedText,
  startedAt: nonNegativeInteger,
};

/** A batch inside a record. */
export function boundedBatch<Schema extends z.ZodType>(schema: Schema) {
  return z.array(schema).max(MAXIMUM_BATCH_ENTRIES).readonly();
}
