import {z} from 'zod';
import {boundedBatch, plannerHeadFields} from './planning-record-head.js';
import {VmCondition} from './record-enums.js';
import {
  nonNegativeInteger,
  recordHeadFields,
  boundedText,
} from './record-head.js';
import {RecordKind} from './record-kind.js';

/** Schema of a `PlannerTaken` record. */
export const plannerTakenSchema = z
  .object({
    ...recordHeadFields,
    kind: z.literal(RecordKind.PlannerTaken),
    expectedTerm: nonNegativeInteger,
    /** Incarnation of the daemon that becomes the planner. */
    holder: boundedText,
  })
  .readonly();

/** Schema of a `PlannerRenewed` record. */
export const plannerRenewedSchema = z
  .object({...plannerHeadFields, kind: z.literal(RecordKind.PlannerRenewed)})
  .readonly();

/** Schema of a `VmReported` record. */
export const vmReportedSchema = z
  .object({
    ...plannerHeadFields,
    kind: z.literal(RecordKind.VmReported),
    reports: boundedBatch(
      z.object({vm: boundedText, condition: z.enum(VmCondition)}).readonly(),
    ),
  })
  .readonly();

/** A daemon becomes the planner, by compare-and-set on the term. */
export type PlannerTaken = z.output<typeof plannerTakenSchema>;

/** The planner is alive and had no other record to write. */
export type PlannerRenewed = z.output<typeof plannerRenewedSchema>;

/** Reports changed VM conditions through the log, so that all folds have the same counters. */
export type VmReported = z.output<typeof vmReportedSchema>;

/** Reported condition of one VM. */
export type VmReport = VmReported['reports'][number];
