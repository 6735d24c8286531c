import type {AdmissionDecision, AdmissionPolicy} from '@gentiandoor/admission';
import type {JobSubmission} from '@gentiandoor/jobs';
import {MetricName, type Metrics} from '@gentiandoor/kernel';
import type {Queue} from './operator-records.js';

/** Decision to refuse a job. */
export type RefusedAdmission = Extract<
  AdmissionDecision,
  {readonly isAdmitted: false}
>;

/** Gives the settings of queues. */
export interface QueueSettings {
  queue(name: string): Queue | undefined;
}

/** Applies an admission policy to submissions and records its refusals. */
export class JobAdmission {
  constructor(
    private readonly policy: AdmissionPolicy,
    private readonly queues: QueueSettings,
    private readonly metrics: Metrics,
  ) {}

  /**
   * Returns the decision to refuse a job; undefined if the policy admits it. An admitted job counts
   * at once: jobs that arrive while its append is in flight must not be admitted in its place.
   */
  refusalOf(job: JobSubmission): RefusedAdmission | undefined {
    const queue = this.queues.queue(job.queue);
    if (!queue) return undefined;
    const {stretch, latencyMilliseconds} = queue;
    const decision = this.policy.decide({job, stretch, latencyMilliseconds});
    if (!decision.isAdmitted) return decision;
    this.policy.noteAccepted(job);
    return undefined;
  }

  /** Counts a refusal; returns the rule, the report and the figures that decided, for the log. */
  noteRefused({
    refusal,
    retryAfterSeconds,
    figures,
  }: RefusedAdmission): Readonly<Record<string, number | string>> {
    this.metrics.increment(MetricName.AdmissionRefusals, {reason: refusal});
    return {reason: refusal, retryAfterSeconds, ...figures};
  }
}
