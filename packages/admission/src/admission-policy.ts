import type {JobSubmission} from '@gentiandoor/jobs';

/** Why a job is refused at its submission. */
export enum AdmissionRefusal {
  /** By the best estimate it would end only when nobody waits for it any more. */
  NotInTime = 'not_in_time',
  /** Its organisation sends more than it is entitled to, and the job would be late. */
  BeyondEntitlement = 'beyond_entitlement',
}

/** A job at its submission, with the settings of its queue. */
export interface AdmissionRequest {
  readonly job: JobSubmission;
  /** Settings of its queue that determine the job's objective. */
  readonly stretch: number;
  readonly latencyMilliseconds: number;
}

/** Decision about one job. */
export type AdmissionDecision =
  | {readonly isAdmitted: true}
  | {
      readonly isAdmitted: false;
      readonly refusal: AdmissionRefusal;
      /** When the caller may return with a fair chance. */
      readonly retryAfterSeconds: number;
      /** Figures that decided, for the log. */
      readonly figures: Readonly<Record<string, number | string>>;
    };

/** Decides at one daemon which jobs are accepted. */
export interface AdmissionPolicy {
  /** Decides about a job that this daemon does not know yet. */
  decide(request: AdmissionRequest): AdmissionDecision;
  /** Records that this daemon has accepted a job, or may have. */
  noteAccepted(job: JobSubmission): void;
}

/** Accepts every job. */
export class AdmitAll implements AdmissionPolicy {
  decide(): AdmissionDecision {
    return {isAdmitted: true};
  }

  noteAccepted(): void {
    // Nothing depends on earlier jobs.
  }
}
