import {z} from 'zod';
import {
  batched,
  operatorOrPlannerHead,
  plannerHead,
  workName,
} from './fleet-record-head.js';
import {MaintenanceOutcome, VmAction, WaveChange} from './fleet-terms.js';
import {recordCount, recordText} from './record-head.js';
import {RecordKind} from './record-kind.js';

const waveScope = z
  .object({
    pools: batched(recordText).optional(),
    dataCentres: batched(recordText).optional(),
    /** Only VMs last maintained before this time, in milliseconds since the Unix epoch. */
    notMaintainedSince: recordCount.optional(),
  })
  .readonly();

/** Shape of a `WaveStarted` record. */
export const waveStartedSchema = z
  .object({
    ...operatorOrPlannerHead,
    kind: z.literal(RecordKind.WaveStarted),
    wave: recordText.min(1),
    reason: recordText,
    scope: waveScope,
  })
  .readonly();

/** Shape of a `WaveChanged` record. */
export const waveChangedSchema = z
  .object({
    ...operatorOrPlannerHead,
    kind: z.literal(RecordKind.WaveChanged),
    wave: recordText,
    change: z.enum(WaveChange),
    reason: recordText,
  })
  .readonly();

/** Shape of a `MaintenanceStarted` record. */
export const maintenanceStartedSchema = z
  .object({
    ...plannerHead,
    kind: z.literal(RecordKind.MaintenanceStarted),
    vm: recordText,
    /** Undefined for a repair. */
    wave: recordText.optional(),
    reason: recordText,
  })
  .readonly();

/** Shape of a `MaintenanceAsked` record. */
export const maintenanceAskedSchema = z
  .object({
    ...plannerHead,
    ...workName,
    kind: z.literal(RecordKind.MaintenanceAsked),
    /** Counts from 1; must be one above the attempts before. */
    attempt: recordCount,
    action: z.enum(VmAction),
  })
  .readonly();

/** Shape of a `MaintenanceReturned` record. */
export const maintenanceReturnedSchema = z
  .object({
    ...plannerHead,
    ...workName,
    kind: z.literal(RecordKind.MaintenanceReturned),
  })
  .readonly();

/** Shape of a `MaintenanceEnded` record. */
export const maintenanceEndedSchema = z
  .object({
    ...plannerHead,
    ...workName,
    kind: z.literal(RecordKind.MaintenanceEnded),
    outcome: z.enum(MaintenanceOutcome),
    /** Milliseconds since the Unix epoch; for planning of later waves only. */
    at: recordCount,
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
