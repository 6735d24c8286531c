import {z} from 'zod';
import {operatorOrPlannerHeadFields} from './planning-record-head.js';
import {boundedText} from './record-head.js';
import {RecordKind} from './record-kind.js';

/** Shape of a `DrainStarted` record. */
export const drainStartedSchema = z
  .object({
    ...operatorOrPlannerHeadFields,
    kind: z.literal(RecordKind.DrainStarted),
    vm: boundedText,
    reason: boundedText,
  })
  .readonly();

/** Shape of a `DrainEnded` record. */
export const drainEndedSchema = z
  .object({
    ...operatorOrPlannerHeadFields,
    kind: z.literal(RecordKind.DrainEnded),
    vm: boundedText,
    /** Offset at which the drain began that shall end; any drain where it is missing. */
    startedAt: z.number().int().min(0).optional(),
  })
  .readonly();

/** A VM takes no new work by an operator's or planner's decision. */
export type DrainStarted = z.output<typeof drainStartedSchema>;

/** A drained VM takes work again. */
export type DrainEnded = z.output<typeof drainEndedSchema>;
