import {z} from 'zod';
import {
  batched,
  operatorOrPlannerHead,
  plannerHead,
  workName,
} from './fleet-record-head.js';
import {MoveCause} from './fleet-terms.js';
import {recordCount, recordHead, recordText} from './record-head.js';
import {RecordKind} from './record-kind.js';

/** Shape of a `DrainAcknowledged` record. */
export const drainAcknowledgedSchema = z
  .object({
    ...recordHead,
    kind: z.literal(RecordKind.DrainAcknowledged),
    incarnation: recordText,
    acknowledgements: batched(z.object(workName).readonly()),
  })
  .readonly();

/** Shape of a `MoveStarted` record. */
export const moveStartedSchema = z
  .object({
    ...operatorOrPlannerHead,
    kind: z.literal(RecordKind.MoveStarted),
    vm: recordText,
    /** Epoch of the ownership that it ends. */
    epoch: recordCount,
    toPool: recordText,
    cause: z.enum(MoveCause),
    reason: recordText,
  })
  .readonly();

/** Shape of a `MoveAssigned` record. */
export const moveAssignedSchema = z
  .object({
    ...plannerHead,
    ...workName,
    kind: z.literal(RecordKind.MoveAssigned),
    epoch: recordCount,
  })
  .readonly();

/** Shape of a `MoveAborted` record. */
export const moveAbortedSchema = z
  .object({
    ...operatorOrPlannerHead,
    ...workName,
    kind: z.literal(RecordKind.MoveAborted),
    reason: recordText,
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
