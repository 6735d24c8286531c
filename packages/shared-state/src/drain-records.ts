import {z} from 'zod';
import {operatorOrPlannerHeadFields} from './planning-record-head.js';
import {boundedText} from './record-head.js';
import {RecordKind} from './record-kind.js';

/** Schema of a `DrainStarted` record. */
export const drainStartedSchema = z
  .object({
    ...operatorOrPlannerHeadFields,
    kind: z.literal(RecordKind.DrainStarted),
    vm: boundedText,
    reason: boundedText,
  })
  .readonly();

/** Schema of a `DrainEnded` record. */
export const drainEndedSchema = z
  .object({
    ...operatorOrPlannerHeadFields,
    kind: z.literal(RecordKind.DrainEnded),
    vm: boundedText,
    /** Offset that started the drain to end; if missing, any drain of the VM is ended. */
    startedAt: z.number().int().min(0).optional(),
  })
  .readonly();

/** An operator or the planner stops new work on a VM. */
export type DrainStarted = z.output<typeof drainStartedSchema>;

/** A drained VM accepts work again. */
export type DrainEnded = z.output<typeof drainEndedSchema>;
