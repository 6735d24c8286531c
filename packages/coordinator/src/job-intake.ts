import {
  LogEvent,
  MetricName,
  type Clock,
  type Logger,
  type Metrics,
} from '@gentiandoor/kernel';
import {
  JobRecordKind,
  JobState,
  JobTable,
  encodeJobRecord,
  isFinal,
  type JobSubmission,
} from '@gentiandoor/jobs';
import {
  NO_LIMIT,
  OrganisationMetricLabels,
  canEverRun,
  mayAccessJob,
  type Caller,
  type OrganisationRegistry,
  type Resources,
} from '@gentiandoor/organisations';
import {BatchedAppendOutcome} from './batching-appender.js';
import type {JobStreams} from './job-streams.js';
import type {SubmissionLog} from './submission-log.js';

/** Answer to a submission. */
export enum SubmitAnswer {
  Taken = 'taken',
  /** It was not taken and never runs. */
  Refused = 'refused',
  /** It may have been taken. */
  Unknown = 'unknown',
  /** Its id is that of a job which the caller may not see; nothing was taken. */
  IdInUse = 'id_in_use',
  /** It asks for more at once than its organisation may ever have. */
  OverLimit = 'over_limit',
}

/** Answer to a question about a job, or to a cancellation. */
export type JobAnswer =
  | {readonly kind: 'state'; readonly state: JobState}
  | {readonly kind: 'absent'}
  | {readonly kind: 'unavailable'};

/** A submission whose appends fail is refused after this, so that the caller can retry at another daemon. */
const UNSENT_TIMEOUT_MILLISECONDS = 450;
/** Time reserved for sending the answer before the caller's deadline. */
const ANSWER_MARGIN_MILLISECONDS = 250;
/** Submissions are refused at once when the store has been unavailable this long. */
const LASTING_OUTAGE_MILLISECONDS = 1_000;
/** A job state is answered without a read of the store up to this age. */
const MAXIMUM_STATE_AGE_MILLISECONDS = 80;
/** The number of pending jobs is answered without a read up to this age. */
const MAXIMUM_COUNT_AGE_MILLISECONDS = 1_500;

/** Takes jobs in, and answers for them, at any daemon: the store is the only memory. */
export class JobIntake {
  /** Jobs whose submission through this daemon got no answer from the store. */
  private readonly inDoubt = new Set<string>();
  private readonly labels = new OrganisationMetricLabels();

  constructor(
    private readonly table: JobTable,
    private readonly streams: JobStreams,
    private readonly submissions: SubmissionLog,
    private readonly organisations: OrganisationRegistry,
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly metrics: Metrics,
  ) {}

  /** Seconds after which a caller that was refused comes back: soon while the store has only just failed, later once its outage lasts, since callers try a few times only. */
  get retryAfterSeconds(): number {
    return this.submissions.health.failingMilliseconds <
      LASTING_OUTAGE_MILLISECONDS
      ? 1
      : 2;
  }

  /** How long the store has taken nothing from here; 0 while it does. */
  get failingMilliseconds(): number {
    return this.submissions.health.failingMilliseconds;
  }

  /** Time since the store last took nothing from here. */
  get sinceFailureMilliseconds(): number {
    return this.submissions.health.sinceFailureMilliseconds;
  }

  /** Takes a job in; resolves within `boundMilliseconds`. */
  async submit(
    job: JobSubmission,
    boundMilliseconds: number,
  ): Promise<SubmitAnswer> {
    const known = this.table.find(job.id);
    if (known)
      return known.submission.organisation === job.organisation
        ? SubmitAnswer.Taken
        : SubmitAnswer.IdInUse;
    if (!canEverRun(job.steps, this.limitOf(job))) {
      this.noteAnswer(job, SubmitAnswer.OverLimit, 0);
      return SubmitAnswer.OverLimit;
    }
    const started = this.clock.monotonicMilliseconds();
    const outcome = await this.submissions.append(
      job.id,
      encodeJobRecord({kind: JobRecordKind.Submission, job}),
      UNSENT_TIMEOUT_MILLISECONDS,
      boundMilliseconds - ANSWER_MARGIN_MILLISECONDS,
    );
    const answer = this.submissionAnswer(job.id, outcome);
    const milliseconds = this.clock.monotonicMilliseconds() - started;
    this.metrics.timing(MetricName.JobIntakeDuration, milliseconds);
    this.noteAnswer(job, answer, milliseconds);
    return answer;
  }

  private limitOf({organisation}: JobSubmission): Resources {
    return organisation === undefined
      ? NO_LIMIT
      : this.organisations.limitOf(organisation);
  }

  private noteAnswer(
    job: JobSubmission,
    answer: SubmitAnswer,
    milliseconds: number,
  ): void {
    const {id, queue, organisation} = job;
    this.metrics.increment(MetricName.JobSubmissions, {answer});
    if (organisation !== undefined)
      this.metrics.increment(MetricName.OrganisationJobs, {
        organisation: this.labels.labelFor(organisation),
        answer,
      });
    const fields = {job: id, queue, organisation, answer, milliseconds};
    if (answer === SubmitAnswer.Taken)
      this.logger.info(LogEvent.JobTaken, fields);
    else this.logger.warn(LogEvent.JobRefused, fields);
  }

  /** State of a job, as far as `caller` may see it. */
  async state(jobId: string, caller: Caller): Promise<JobAnswer> {
    const known = this.table.find(jobId);
    // The same answer as for a job that does not exist: it tells nothing of what others run.
    if (known && !mayAccessJob(known.submission, caller))
      return {kind: 'absent'};
    if (known && isFinal(this.table.stateOf(known)))
      return {kind: 'state', state: this.table.stateOf(known)};
    // What was read a moment ago may show a job's state, but never that there is no such job: its
    // submission may have been answered since, here or elsewhere.
    const fresh = known
      ? await this.ensureFreshProgress()
      : await this.streams.refreshJob(jobId);
    const job = this.table.find(jobId);
    if (job && !mayAccessJob(job.submission, caller)) return {kind: 'absent'};
    if (job) return {kind: 'state', state: this.table.stateOf(job)};
    return fresh && !this.inDoubt.has(jobId)
      ? {kind: 'absent'}
      : {kind: 'unavailable'};
  }

  /** Cancels a job; its tasks are stopped soon after. */
  async cancel(
    jobId: string,
    boundMilliseconds: number,
    caller: Caller,
  ): Promise<JobAnswer> {
    const found = await this.state(jobId, caller);
    if (found.kind !== 'state') return found;
    if (found.state === JobState.Cancelled) return found;
    if (isFinal(found.state)) return {kind: 'absent'};
    const outcome = await this.submissions.append(
      jobId,
      encodeJobRecord({kind: JobRecordKind.Cancellation, jobId}),
      boundMilliseconds - ANSWER_MARGIN_MILLISECONDS,
      boundMilliseconds - ANSWER_MARGIN_MILLISECONDS,
    );
    this.logger.info(LogEvent.JobCancelAsked, {job: jobId, outcome});
    return outcome === BatchedAppendOutcome.Appended
      ? {kind: 'state', state: JobState.Cancelled}
      : {kind: 'unavailable'};
  }

  /** Jobs of a queue of which no task has started; undefined when it is not known. */
  async pending(queue: string): Promise<number | undefined> {
    const {submissionAgeMilliseconds, progressAgeMilliseconds} = this.streams;
    const age = Math.max(submissionAgeMilliseconds, progressAgeMilliseconds);
    const fresh =
      age <= MAXIMUM_COUNT_AGE_MILLISECONDS || (await this.streams.refresh());
    return fresh ? this.table.pendingCount(queue) : undefined;
  }

  private submissionAnswer(
    jobId: string,
    outcome: BatchedAppendOutcome,
  ): SubmitAnswer {
    if (outcome === BatchedAppendOutcome.Appended) {
      this.inDoubt.delete(jobId);
      return SubmitAnswer.Taken;
    }
    if (outcome === BatchedAppendOutcome.Unknown) this.inDoubt.add(jobId);
    // An earlier try that may still be carried out makes a refusal untrue.
    return this.inDoubt.has(jobId)
      ? SubmitAnswer.Unknown
      : SubmitAnswer.Refused;
  }

  /** A known job's state changes with its progress only, and with a cancellation that the coordinator soon stores there. */
  private async ensureFreshProgress(): Promise<boolean> {
    if (this.streams.progressAgeMilliseconds <= MAXIMUM_STATE_AGE_MILLISECONDS)
      return true;
    return this.streams.refreshProgress();
  }
}
