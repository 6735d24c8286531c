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

/** Schema of a `DrainAcknowledged` record. */
export const drainAcknowledgedSchema = z
  .object({
    ...recordHeadFields,
    kind: z.literal(RecordKind.DrainAcknowledged),
    incarnation: boundedText,
    acknowledgements: boundedBatch(z.object(plannedWorkKeyFields).readonly()),
  })
  .readonly();

/** Schema of a `MoveStarted` record. */
export const moveStartedSchema = z
  .object({
    ...operatorOrPlannerHeadFields,
    kind: z.literal(RecordKind.MoveStarted),
    vm: boundedText,
    /** Epoch of the ownership that the move ends. */
    epoch: nonNegativeInteger,
    toPool: boundedText,
    cause: z.enum(MoveCause),
    reason: boundedText,
  })
  .readonly();

/** Schema of a `MoveAssigned` record. */
export const moveAssignedSchema = z
  .object({
    ...plannerHeadFields,
    ...plannedWorkKeyFields,
    kind: z.literal(RecordKind.MoveAssigned),
    epoch: nonNegativeInteger,
  })
  .readonly();

/** Schema of a `MoveAborted` record. */
export const moveAbortedSchema = z
  .object({
    ...operatorOrPlannerHeadFields,
    ...plannedWorkKeyFields,
    kind: z.literal(RecordKind.MoveAborted),
    reason: boundedText,
  })
  .readonly();

/** A daemon has no exchange left on these VMs and starts no new ones. */
export type DrainAcknowledged = z.output<typeof drainAcknowledgedSchema>;

/** Identifies planned work on a VM that a daemon no longer routes to. */
export type DrainAcknowledgement =
  DrainAcknowledged['acknowledgements'][number];

/** Starts a move of a VM from its owner to another pool. */
export type MoveStarted = z.output<typeof moveStartedSchema>;

/** Assigns the VM to the new pool with the next epoch. */
export type MoveAssigned = z.output<typeof moveAssignedSchema>;

/** Aborts a move; the VM stays in its old pool. */
export type MoveAborted = z.output<typeof moveAbortedSchema>;
