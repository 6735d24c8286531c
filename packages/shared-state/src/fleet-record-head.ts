import {z} from 'zod';
import {recordCount, recordHead, recordText} from './record-head.js';

/** Entries of one batched record: bounded, so that a record stays a short step of the fold. */
export const MOST_BATCHED = 2000;

/** Fields of a record that only the planner of the current term may write. */
export const plannerHead = {...recordHead, term: recordCount};

/** Fields of a record of an operator (no term) or of the planner (its term). */
export const operatorOrPlannerHead = {
  ...recordHead,
  term: recordCount.optional(),
};

/** Fields that name planned work: its VM and the offset that started it. */
export const workName = {vm: recordText, startedAt: recordCount};

/** A batch inside a record. */
export function batched<Schema extends z.ZodType>(schema: Schema) {
  return z.array(schema).max(MOST_BATCHED).readonly();
}
