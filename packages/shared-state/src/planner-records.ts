import {z} from 'zod';
import {boundedBatch, plannerHeadFields} from './planning-record-head.js';
import {VmCondition} from './record-enums.js';
import {
  nonNegativeInteger,
  recordHeadFields,
  boundedText,
} from './record-head.js';
import {RecordKind} from './record-kind.js';

/** Shape of a `PlannerTaken` record. */
export const plannerTakenSchema = z
  .object({
    ...recordHeadFields,
    kind: z.literal(RecordKind.PlannerTaken),
    expectedTerm: nonNegativeInteger,
    /** Incarnation of the daemon that plans from here on. */
    holder: boundedText,
  })
  .readonly();

/** Shape of a `PlannerRenewed` record. */
export const plannerRenewedSchema = z
  .object({...plannerHeadFields, kind: z.literal(RecordKind.PlannerRenewed)})
  .readonly();

/** Shape of a `VmReported` record. */
export const vmReportedSchema = z
  .object({
    ...plannerHeadFields,
    kind: z.literal(RecordKind.VmReported),
    reports: boundedBatch(
      z.object({vm: boundedText, condition: z.enum(VmCondition)}).readonly(),
    ),
  })
  .readonly();

/** A daemon takes the planner's role; compare-and-set on the term. */
export type PlannerTaken = z.output<typeof plannerTakenSchema>;

/** The planner is alive and had nothing else to write. */
export type PlannerRenewed = z.output<typeof plannerRenewedSchema>;

/** Conditions that changed, so that all folds count alike. */
export type VmReported = z.output<typeof vmReportedSchema>;

/** Condition of one VM. */
export type VmReport = VmReported['reports'][number];
