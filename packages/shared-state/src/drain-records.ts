import {z} from 'zod';
import {operatorOrPlannerHead} from './fleet-record-head.js';
import {recordText} from './record-head.js';
import {RecordKind} from './record-kind.js';

/** Shape of a `DrainStarted` record. */
export const drainStartedSchema = z
  .object({
    ...operatorOrPlannerHead,
    kind: z.literal(RecordKind.DrainStarted),
    vm: recordText,
    reason: recordText,
  })
  .readonly();

/** Shape of a `DrainEnded` record. */
export const drainEndedSchema = z
  .object({
    ...operatorOrPlannerHead,
    kind: z.literal(RecordKind.DrainEnded),
    vm: recordText,
    /** Offset at which the drain began that shall end; any drain where it is missing. */
    startedAt: z.number().int().min(0).optional(),
  })
  .readonly();

/** A VM takes no new work by an operator's or planner's decision. */
export type DrainStarted = z.output<typeof drainStartedSchema>;

/** A drained VM takes work again. */
export type DrainEnded = z.output<typeof drainEndedSchema>;
