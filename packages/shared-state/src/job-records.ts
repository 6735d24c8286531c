import {z} from 'zod';
import {boundedBatch, plannerHeadFields} from './planning-record-head.js';
import {JobOutcome} from './record-enums.js';
import {
  nonNegativeInteger,
  recordHeadFields,
  boundedText,
} from './record-head.js';
import {RecordKind} from './record-kind.js';

/** Longest payload of a job; a larger input is kept elsewhere and named. */
export const MAXIMUM_JOB_PAYLOAD_CHARACTERS = 4096;

/** What one attempt of a job takes on a VM. */
export const jobSizeSchema = z
  .object({
    processors: z.number().min(0).max(10_000),
    memoryGigabytes: z.number().min(0).max(100_000),
    accelerators: z.number().min(0).max(1000),
    slots: z.number().int().min(1).max(10_000),
  })
  .readonly();

/** What an operator or caller says of a job. */
export const jobFields = {
  key: boundedText.min(1),
  team: boundedText,
  pool: boundedText,
  /** Jobs of one class are alike in size; their usage teaches the next ones' sizes. */
  jobClass: boundedText,
  /** Whether it may be run again. */
  idempotent: z.boolean(),
  size: jobSizeSchema,
  payload: z.string().max(MAXIMUM_JOB_PAYLOAD_CHARACTERS),
};

/** Shape of a `JobSubmitted` record. */
export const jobSubmittedSchema = z
  .object({
    ...recordHeadFields,
    ...jobFields,
    kind: z.literal(RecordKind.JobSubmitted),
  })
  .readonly();

/** Shape of a `JobsCancelled` record. */
export const jobsCancelledSchema = z
  .object({
    ...recordHeadFields,
    kind: z.literal(RecordKind.JobsCancelled),
    keys: boundedBatch(boundedText),
  })
  .readonly();

/** Shape of a `JobPlaced` record. */
export const jobPlacedSchema = z
  .object({
    ...plannerHeadFields,
    kind: z.literal(RecordKind.JobPlaced),
    key: boundedText,
    /** Counts from 1; must be one above the attempts before. */
    attempt: nonNegativeInteger,
    vm: boundedText,
  })
  .readonly();

/** Shape of a `JobsReported` record. */
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

/** Shape of a `JobSetAside` record. */
export const jobSetAsideSchema = z
  .object({
    ...plannerHeadFields,
    kind: z.literal(RecordKind.JobSetAside),
    key: boundedText,
    reason: boundedText,
  })
  .readonly();

/** What one attempt of a job takes on a VM. */
export type JobSize = z.output<typeof jobSizeSchema>;

/** A job; the same key is the same job. */
export type JobSubmitted = z.output<typeof jobSubmittedSchema>;

/** Jobs that are no longer wanted. */
export type JobsCancelled = z.output<typeof jobsCancelledSchema>;

/** An attempt of a job is given to a VM; the task is started only after this was read back. */
export type JobPlaced = z.output<typeof jobPlacedSchema>;

/** Ends of attempts, as the platform reports them. */
export type JobsReported = z.output<typeof jobsReportedSchema>;

/** End of one attempt. */
export type JobReport = JobsReported['reports'][number];

/** A queued job that can never run, with the reason. */
export type JobSetAside = z.output<typeof jobSetAsideSchema>;
