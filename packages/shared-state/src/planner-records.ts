import {z} from 'zod';
import {batched, plannerHead} from './fleet-record-head.js';
import {VmCondition} from './fleet-terms.js';
import {recordCount, recordHead, recordText} from './record-head.js';
import {RecordKind} from './record-kind.js';

/** Shape of a `PlannerTaken` record. */
export const plannerTakenSchema = z
  .object({
    ...recordHead,
    kind: z.literal(RecordKind.PlannerTaken),
    expectedTerm: recordCount,
    /** Incarnation of the daemon that plans from here on. */
    holder: recordText,
  })
  .readonly();

/** Shape of a `PlannerRenewed` record. */
export const plannerRenewedSchema = z
  .object({...plannerHead, kind: z.literal(RecordKind.PlannerRenewed)})
  .readonly();

/** Shape of a `VmReported` record. */
export const vmReportedSchema = z
  .object({
    ...plannerHead,
    kind: z.literal(RecordKind.VmReported),
    reports: batched(
      z.object({vm: recordText, condition: z.enum(VmCondition)}).readonly(),
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
