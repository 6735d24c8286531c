import {z} from 'zod';
import {
  boundedBatch,
  operatorOrPlannerHeadFields,
  plannerHeadFields,
  plannedWorkKeyFields,
} from './planning-record-head.js';
import {MaintenanceOutcome, VmAction, WaveChange} from './record-enums.js';
import {nonNegativeInteger, boundedText} from './record-head.js';
import {RecordKind} from './record-kind.js';

const waveScope = z
  .object({
    pools: boundedBatch(boundedText).optional(),
    dataCentres: boundedBatch(boundedText).optional(),
    /** Only VMs last maintained before this time, in milliseconds since the Unix epoch. */
    notMaintainedSince: nonNegativeInteger.optional(),
  })
  .readonly();

/** Schema of a `WaveStarted` record. */
export const waveStartedSchema = z
  .object({
    ...operatorOrPlannerHeadFields,
    kind: z.literal(RecordKind.WaveStarted),
    wave: boundedText.min(1),
    reason: boundedText,
    scope: waveScope,
  })
  .readonly();

/** Schema of a `WaveChanged` record. */
export const waveChangedSchema = z
  .object({
    ...operatorOrPlannerHeadFields,
    kind: z.literal(RecordKind.WaveChanged),
    wave: boundedText,
    change: z.enum(WaveChange),
    reason: boundedText,
  })
  .readonly();

/** Schema of a `MaintenanceStarted` record. */
export const maintenanceStartedSchema = z
  .object({
    ...plannerHeadFields,
    kind: z.literal(RecordKind.MaintenanceStarted),
    vm: boundedText,
    /** Undefined for a repair. */
    wave: boundedText.optional(),
    reason: boundedText,
  })
  .readonly();

/** Schema of a `MaintenanceAsked` record. */
export const maintenanceAskedSchema = z
  .object({
    ...plannerHeadFields,
    ...plannedWorkKeyFields,
    kind: z.literal(RecordKind.MaintenanceAsked),
    /** Number of the attempt, from 1; must be one more than the previous attempt. */
    attempt: nonNegativeInteger,
    action: z.enum(VmAction),
  })
  .readonly();

/** Schema of a `MaintenanceReturned` record. */
export const maintenanceReturnedSchema = z
  .object({
    ...plannerHeadFields,
    ...plannedWorkKeyFields,
    kind: z.literal(RecordKind.MaintenanceReturned),
  })
  .readonly();

/** Schema of a `MaintenanceEnded` record. */
export const maintenanceEndedSchema = z
  .object({
    ...plannerHeadFields,
    ...plannedWorkKeyFields,
    kind: z.literal(RecordKind.MaintenanceEnded),
    outcome: z.enum(MaintenanceOutcome),
    /** Milliseconds since the Unix epoch; only used to plan later waves. */
    at: nonNegativeInteger,
  })
  .readonly();

/** Selects the VMs of a wave; a VM must meet all conditions. */
export type WaveScope = z.output<typeof waveScope>;

/** Starts a wave for the VMs that its scope covers at this offset. */
export type WaveStarted = z.output<typeof waveStartedSchema>;

/** Holds, resumes, aborts or finishes a wave. */
export type WaveChanged = z.output<typeof waveChangedSchema>;

/** Takes a VM out of service for a wave, or starts its repair. */
export type MaintenanceStarted = z.output<typeof maintenanceStartedSchema>;

/**
 * Announces a request to the platform; written before it, so that a new planner knows of the
 * request.
 */
export type MaintenanceAsked = z.output<typeof maintenanceAskedSchema>;

/** Puts the VM back into service on trial. */
export type MaintenanceReturned = z.output<typeof maintenanceReturnedSchema>;

/** Ends the maintenance or repair of the VM. */
export type MaintenanceEnded = z.output<typeof maintenanceEndedSchema>;
