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

/** Shape of a `WaveStarted` record. */
export const waveStartedSchema = z
  .object({
    ...operatorOrPlannerHeadFields,
    kind: z.literal(RecordKind.WaveStarted),
    wave: boundedText.min(1),
    reason: boundedText,
    scope: waveScope,
  })
  .readonly();

/** Shape of a `WaveChanged` record. */
export const waveChangedSchema = z
  .object({
    ...operatorOrPlannerHeadFields,
    kind: z.literal(RecordKind.WaveChanged),
    wave: boundedText,
    change: z.enum(WaveChange),
    reason: boundedText,
  })
  .readonly();

/** Shape of a `MaintenanceStarted` record. */
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

/** Shape of a `MaintenanceAsked` record. */
export const maintenanceAskedSchema = z
  .object({
    ...plannerHeadFields,
    ...plannedWorkKeyFields,
    kind: z.literal(RecordKind.MaintenanceAsked),
    /** Counts from 1; must be one above the attempts before. */
    attempt: nonNegativeInteger,
    action: z.enum(VmAction),
  })
  .readonly();

/** Shape of a `MaintenanceReturned` record. */
export const maintenanceReturnedSchema = z
  .object({
    ...plannerHeadFields,
    ...plannedWorkKeyFields,
    kind: z.literal(RecordKind.MaintenanceReturned),
  })
  .readonly();

/** Shape of a `MaintenanceEnded` record. */
export const maintenanceEndedSchema = z
  .object({
    ...plannerHeadFields,
    ...plannedWorkKeyFields,
    kind: z.literal(RecordKind.MaintenanceEnded),
    outcome: z.enum(MaintenanceOutcome),
    /** Milliseconds since the Unix epoch; for planning of later waves only. */
    at: nonNegativeInteger,
  })
  .readonly();

/** Which VMs a wave covers; all conditions must hold. */
export type WaveScope = z.output<typeof waveScope>;

/** A wave over the VMs that its scope covers at this offset. */
export type WaveStarted = z.output<typeof waveStartedSchema>;

/** A wave is held, resumed, aborted or finished. */
export type WaveChanged = z.output<typeof waveChangedSchema>;

/** A VM leaves service for a wave, or its repair begins. */
export type MaintenanceStarted = z.output<typeof maintenanceStartedSchema>;

/** The platform is about to be asked: written first, so that a successor knows. */
export type MaintenanceAsked = z.output<typeof maintenanceAskedSchema>;

/** The VM is back and takes work again, on trial. */
export type MaintenanceReturned = z.output<typeof maintenanceReturnedSchema>;

/** Maintenance or repair of the VM is over. */
export type MaintenanceEnded = z.output<typeof maintenanceEndedSchema>;
