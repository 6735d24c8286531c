import {z} from 'zod';
import {
  boundedBatch,
  operatorOrPlannerHeadFields,
  plannerHeadFields,
  plannedWorkKeyFields,
} from './planning-record-head.js';
import {MoveCause} from './record-enums.js';
import {
  nonNegativeInteger,
  recordHeadFields,
  boundedText,
} from './record-head.js';
import {RecordKind} from './record-kind.js';

/** Shape of a `DrainAcknowledged` record. */
export const drainAcknowledgedSchema = z
  .object({
    ...recordHeadFields,
    kind: z.literal(RecordKind.DrainAcknowledged),
    incarnation: boundedText,
    acknowledgements: boundedBatch(z.object(plannedWorkKeyFields).readonly()),
  })
  .readonly();

/** Shape of a `MoveStarted` record. */
export const moveStartedSchema = z
  .object({
    ...operatorOrPlannerHeadFields,
    kind: z.literal(RecordKind.MoveStarted),
    vm: boundedText,
    /** Epoch of the ownership that it ends. */
    epoch: nonNegativeInteger,
    toPool: boundedText,
    cause: z.enum(MoveCause),
    reason: boundedText,
  })
  .readonly();

/** Shape of a `MoveAssigned` record. */
export const moveAssignedSchema = z
  .object({
    ...plannerHeadFields,
    ...plannedWorkKeyFields,
    kind: z.literal(RecordKind.MoveAssigned),
    epoch: nonNegativeInteger,
  })
  .readonly();

/** Shape of a `MoveAborted` record. */
export const moveAbortedSchema = z
  .object({
    ...operatorOrPlannerHeadFields,
    ...plannedWorkKeyFields,
    kind: z.literal(RecordKind.MoveAborted),
    reason: boundedText,
  })
  .readonly();

/** A daemon has no exchange left on these VMs and starts no new one. */
export type DrainAcknowledged = z.output<typeof drainAcknowledgedSchema>;

/** One planned stop that a daemon no longer routes to. */
export type DrainAcknowledgement =
  DrainAcknowledged['acknowledgements'][number];

/** The owner releases a VM towards another pool. */
export type MoveStarted = z.output<typeof moveStartedSchema>;

/** The VM belongs to the new pool, with the next epoch. */
export type MoveAssigned = z.output<typeof moveAssignedSchema>;

/** The VM stays with its old pool. */
export type MoveAborted = z.output<typeof moveAbortedSchema>;
