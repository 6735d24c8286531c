import {z} from 'zod';
import {boundedBatch, plannerHeadFields} from './planning-record-head.js';
import {JobOutcome} from './record-enums.js';
import {
  nonNegativeInteger,
  recordHeadFields,
  boundedText,
} from './record-head.js';
import {RecordKind} from './record-kind.js';

/** Maximum length of a job's payload; larger inputs are stored elsewhere and referenced. */
export const MAXIMUM_JOB_PAYLOAD_CHARACTERS = 4096;

/** Schema of the resources that one attempt of a job takes on a VM. */
export const jobSizeSchema = z
  .object({
    processors: z.number().min(0).max(10_000),
    memoryGigabytes: z.number().min(0).max(100_000),
    accelerators: z.number().min(0).max(1000),
    slots: z.number().int().min(1).max(10_000),
  })
  .readonly();

/** Fields of a job that its operator or caller provides. */
export const jobFields = {
  key: boundedText.min(1),
  team: boundedText,
  pool: boundedText,
  /**
   * Jobs of one class have similar sizes; their usage is used to estimate the sizes of later
   * ones.
   */
  jobClass: boundedText,
  /** Whether the job may be run more than once. */
  idempotent: z.boolean(),
  size: jobSizeSchema,
  payload: z.string().max(MAXIMUM_JOB_PAYLOAD_CHARACTERS),
};

/** Schema of a `JobSubmitted` record. */
export const jobSubmittedSchema = z
  .object({
    ...recordHeadFields,
    ...jobFields,
    kind: z.literal(RecordKind.JobSubmitted),
  })
  .readonly();

/** Schema of a `JobsCancelled` record. */
export const jobsCancelledSchema = z
  .object({
    ...recordHeadFields,
    kind: z.literal(RecordKind.JobsCancelled),
    keys: boundedBatch(boundedText),
  })
  .readonly();

/** Schema of a `JobPlaced` record. */
export const jobPlacedSchema = z
  .object({
    ...plannerHeadFields,
    kind: z.literal(RecordKind.JobPlaced),
    key: boundedText,
    /** Number of the attempt, from 1; must be one more than the previous attempt. */
    attempt: nonNegativeInteger,
    vm: boundedText,
  })
  .readonly();

/** Schema of a `JobsReported` record. */
export const jobsReportedSchema = z
  .object({
    ...plannerHeadFields,
    kind: z.literal(RecordKind.JobsReported),
    reports: boundedBatch(
      z
        .object({
          key: boundedText,
          attempt: nonNegativeInteger,
          outcome: z.enum(JobOutcome),
        })
        .readonly(),
    ),
  })
  .readonly();

/** Schema of a `JobSetAside` record. */
export const jobSetAsideSchema = z
  .object({
    ...plannerHeadFields,
    kind: z.literal(RecordKind.JobSetAside),
    key: boundedText,
    reason: boundedText,
  })
  .readonly();

/** Resources that one attempt of a job takes on a VM. */
export type JobSize = z.output<typeof jobSizeSchema>;

/** Submits a job; the key identifies it. */
export type JobSubmitted = z.output<typeof jobSubmittedSchema>;

/** Cancels jobs that are no longer needed. */
export type JobsCancelled = z.output<typeof jobsCancelledSchema>;

/** Places an attempt of a job on a VM; the task is started only after this record was read back. */
export type JobPlaced = z.output<typeof jobPlacedSchema>;

/** Records how attempts ended, as reported by the platform. */
export type JobsReported = z.output<typeof jobsReportedSchema>;

/** How one attempt ended. */
export type JobReport = JobsReported['reports'][number];

/** Sets aside a queued job that can never run, with the reason. */
export type JobSetAside = z.output<typeof jobSetAsideSchema>;
