import {JobState, type Job} from './planning-state.js';
import {
  JobOutcome,
  type JobPlaced,
  type JobReport,
  type JobSetAside,
  type JobSubmitted,
  type JobsCancelled,
  type JobsReported,
} from './planning-records.js';
import {
  RejectionReason,
  type FleetState,
  type Rejection,
} from './fleet-state.js';
import {fenceOrRenewPlanner} from './fold-planner.js';
import {checkPlacement, checkSubmission, checkSameJob} from './job-checks.js';
import {jobIndexOf} from './job-index.js';
import {sha256Hex} from './signatures.js';

/**
 * Distinct VMs on which a job fails before it is set aside: the cause is the job and not the
 * VMs.
 */
export const FAILED_VMS_BEFORE_SET_ASIDE = 3;

/** Maximum ended jobs kept; while kept, submitting the same key again refers to the same job. */
export const MAXIMUM_ENDED_JOBS = 50_000;

/** Adds a job to the queue; submitting the same job again has no effect. */
export function applyJobSubmitted(
  state: FleetState,
  record: JobSubmitted,
): Rejection | undefined {
  const existing = state.jobs.get(record.key);
  if (existing) return checkSameJob(existing, record);
  const refusal = checkSubmission(state, record);
  if (refusal) return refusal;
  const {key, team, pool, jobClass, idempotent, size, payload} = record;
  jobIndexOf(state).put({
    key,
    team,
    pool,
    jobClass,
    idempotent,
    size,
    payload,
    payloadDigest: sha256Hex(payload),
    state: JobState.Queued,
    attempt: 0,
    failedOn: [],
    cancelRequested: false,
  });
  return undefined;
}

/**
 * Cancels jobs: queued ones end without a run, placed ones are marked to be stopped. Constant
 * time per key.
 */
export function applyJobsCancelled(
  state: FleetState,
  record: JobsCancelled,
): Rejection | undefined {
  let changed = 0;
  for (const key of record.keys) {
    const job = state.jobs.get(key);
    if (!job) continue;
    if (job.state === JobState.Queued) {
      endJob(state, {...job, state: JobState.Cancelled, reason: 'not run'});
      changed++;
    } else if (job.state === JobState.Placed && !job.cancelRequested) {
      jobIndexOf(state).put({...job, cancelRequested: true});
      changed++;
    }
  }
  if (changed > 0) return undefined;
  return {
    reason: RejectionReason.JobUnknown,
    detail: `none of ${record.keys.length} given jobs is queued or running`,
  };
}

/**
 * Places an attempt on a VM. Checks quotas and slots here, so that two planners cannot exceed
 * them.
 */
export function applyJobPlaced(
  state: FleetState,
  record: JobPlaced,
  offset: number,
): Rejection | undefined {
  const fenced = fenceOrRenewPlanner(state, record, offset);
  if (fenced) return fenced;
  const job = state.jobs.get(record.key);
  if (job?.state !== JobState.Queued || record.attempt !== job.attempt + 1) {
    return {
      reason: RejectionReason.JobState,
      detail: `job ${record.key} is ${job?.state ?? 'unknown'} after ${job?.attempt ?? 0} attempts`,
    };
  }
  const refusal = checkPlacement(state, job, record.vm);
  if (refusal) return refusal;
  const {attempt, vm} = record;
  jobIndexOf(state).put({...job, state: JobState.Placed, attempt, vm});
  return undefined;
}

/** Records how attempts ended; skips reports of earlier attempts. */
export function applyJobsReported(
  state: FleetState,
  record: JobsReported,
  offset: number,
): Rejection | undefined {
  const fenced = fenceOrRenewPlanner(state, record, offset);
  if (fenced) return fenced;
  for (const report of record.reports) {
    const job = state.jobs.get(report.key);
    if (job?.state !== JobState.Placed || job.attempt !== report.attempt)
      continue;
    applyAttemptOutcome(state, job, report);
  }
  return undefined;
}

/** Sets aside a job that can never run. */
export function applyJobSetAside(
  state: FleetState,
  record: JobSetAside,
  offset: number,
): Rejection | undefined {
  const fenced = fenceOrRenewPlanner(state, record, offset);
  if (fenced) return fenced;
  const job = state.jobs.get(record.key);
  if (job?.state !== JobState.Queued) {
    return {
      reason: RejectionReason.JobState,
      detail: `job ${record.key} is ${job?.state ?? 'unknown'}`,
    };
  }
  endJob(state, {...job, state: JobState.SetAside, reason: record.reason});
  return undefined;
}

/**
 * Ends or requeues a job after an attempt. A non-idempotent job whose attempt lapsed or was
 * stopped may have run, so it is never queued again. It is requeued only if the platform
 * reports that the attempt never started.
 */
function applyAttemptOutcome(
  state: FleetState,
  job: Job,
  report: JobReport,
): void {
  switch (report.outcome) {
    case JobOutcome.Finished:
      return endJob(state, {...job, state: JobState.Finished});
    case JobOutcome.Failed:
      return applyAttemptFailure(state, job);
    case JobOutcome.NeverStarted:
      return requeue(state, job);
    case JobOutcome.Stopped:
    case JobOutcome.Lapsed:
      if (job.idempotent || job.cancelRequested) return requeue(state, job);
      return endJob(state, {
        ...job,
        state: JobState.OutcomeUnknown,
        reason: `attempt ${job.attempt} on VM ${job.vm} ${report.outcome}; it may have run and is not run again`,
      });
  }
}

function applyAttemptFailure(state: FleetState, job: Job): void {
  const failedOn = [...new Set([...job.failedOn, job.vm ?? ''])];
  const failed = {...job, failedOn};
  if (!job.idempotent) {
    const reason = `failed on VM ${job.vm}`;
    return endJob(state, {...failed, state: JobState.Failed, reason});
  }
  if (failedOn.length < FAILED_VMS_BEFORE_SET_ASIDE)
    return requeue(state, failed);
  endJob(state, {
    ...failed,
    state: JobState.SetAside,
    reason: `failed on ${failedOn.join(', ')}: the job fails everywhere`,
  });
}

function requeue(state: FleetState, job: Job): void {
  if (job.cancelRequested) {
    const reason = 'stopped on request';
    return endJob(state, {...job, state: JobState.Cancelled, reason});
  }
  jobIndexOf(state).put({...job, state: JobState.Queued, vm: undefined});
}

function endJob(state: FleetState, job: Job): void {
  const {endedJobs} = state;
  // The payloads of 50,000 ended jobs would take most of the memory of a node.
  jobIndexOf(state).put({...job, payload: ''});
  endedJobs.set(job.key, state.nextOffset);
  if (endedJobs.size <= MAXIMUM_ENDED_JOBS) return;
  const [oldest] = endedJobs.keys();
  endedJobs.delete(oldest);
  jobIndexOf(state).deleteEnded(oldest);
}
