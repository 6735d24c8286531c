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
  encodeJobRecord,
  isFinal,
  type JobTable,
  type KeyedRecord,
} from '@gentiandoor/jobs';
import {mayAccessJob, type Caller} from '@gentiandoor/organisations';
import {BatchedAppendOutcome} from './batching-appender.js';
import {EarlyCancellationLimit} from './early-cancellation-limit.js';
import {ANSWER_MARGIN_MILLISECONDS, type JobAnswer} from './job-answer.js';
import type {JobStreams} from './job-streams.js';
import type {SubmissionDoubts} from './submission-doubts.js';
import type {SubmissionLog} from './submission-log.js';

/** What the answer to a cancellation rests on. */
export enum CancellationBasis {
  /** The cancellation is in the store. */
  Stored = 'stored',
  /** An earlier cancellation is in the store. */
  StoredBefore = 'stored_before',
  /** The store did not confirm the cancellation. */
  NotStored = 'not_stored',
  /** The job has ended. */
  Ended = 'ended',
  /**
   * No submission that the caller may access was known; the cancellation is in the store and
   * applies to one that is appended later.
   */
  StoredEarly = 'stored_early',
  /** The caller's organisation or queue has too many such cancellations in the store. */
  TooManyEarly = 'too_many_early',
}

interface CancellationDecision {
  readonly answer: JobAnswer;
  readonly basis: CancellationBasis;
}

/** Delay after which a caller beyond the limit of early cancellations should retry. */
const EARLY_CANCELLATION_RETRY_SECONDS = 30;

/** Dependencies of cancellations. */
export interface JobCancellationParts {
  readonly table: JobTable;
  readonly streams: JobStreams;
  readonly submissions: SubmissionLog;
  readonly doubts: SubmissionDoubts;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Returns the state of a job if the caller may access it. */
  readonly stateOf: (jobId: string, caller: Caller) => Promise<JobAnswer>;
}

/** Cancels jobs at any daemon, also ids of which no submission is known yet. */
export class JobCancellations {
  private readonly earlyLimit: EarlyCancellationLimit;

  constructor(private readonly parts: JobCancellationParts) {
    this.earlyLimit = new EarlyCancellationLimit(parts.table);
  }

  /**
   * Cancels a job; the coordinator stops its tasks soon after. The answer rests on a stored record, so
   * that it also holds for a submission that is still under way.
   */
  async cancel(
    jobId: string,
    timeoutMilliseconds: number,
    caller: Caller,
  ): Promise<JobAnswer> {
    const startedAt = this.parts.clock.monotonicMilliseconds();
    const deadline = startedAt + timeoutMilliseconds;
    const decision = await this.decideCancellation(jobId, deadline, caller);
    this.noteCancellation(jobId, decision, caller, startedAt);
    return decision.answer;
  }

  private async decideCancellation(
    jobId: string,
    deadline: number,
    caller: Caller,
  ): Promise<CancellationDecision> {
    const found = await this.parts.stateOf(jobId, caller);
    if (found.kind !== 'state')
      return this.cancelEarly(jobId, deadline, caller);
    if (found.state === JobState.Cancelled)
      return {answer: found, basis: CancellationBasis.StoredBefore};
    if (isFinal(found.state))
      return {answer: {kind: 'absent'}, basis: CancellationBasis.Ended};
    const record = encodeJobRecord({kind: JobRecordKind.Cancellation, jobId});
    return (await this.appendCancellation(jobId, record, deadline))
      ? {
          answer: {kind: 'state', state: JobState.Cancelled},
          basis: CancellationBasis.Stored,
        }
      : {answer: {kind: 'unavailable'}, basis: CancellationBasis.NotStored};
  }

  /**
   * Cancels an id of which no submission is known: one may be on its way through another daemon, be
   * executed late by the store, or be sent again. It is stored also if the job of another
   * organisation has that id, so that nothing reveals whether there is one.
   */
  private async cancelEarly(
    jobId: string,
    deadline: number,
    caller: Caller,
  ): Promise<CancellationDecision> {
    const record = encodeJobRecord({
      kind: JobRecordKind.EarlyCancellation,
      jobId,
      caller,
    });
    const limit = this.earlyLimit;
    if (!limit.admits({jobId, recordKey: record.key}, caller))
      return {
        answer: {
          kind: 'unavailable',
          retryAfterSeconds: EARLY_CANCELLATION_RETRY_SECONDS,
        },
        basis: CancellationBasis.TooManyEarly,
      };
    const stored = this.appendCancellation(jobId, record, deadline);
    if (!(await limit.during(caller, stored)))
      return {
        answer: {kind: 'unavailable'},
        basis: CancellationBasis.NotStored,
      };
    // Counted from now on; streams of submissions are read seconds apart.
    this.parts.table.apply(record);
    this.parts.doubts.endBy(jobId, caller);
    return {
      answer: this.knownState(jobId, caller),
      basis: CancellationBasis.StoredEarly,
    };
  }

  /** Returns the state of a job that is known to be cancelled. */
  private knownState(jobId: string, caller: Caller): JobAnswer {
    const job = this.parts.table.find(jobId);
    const isCancelled =
      job !== undefined &&
      mayAccessJob(job.submission, caller) &&
      this.parts.table.stateOf(job) === JobState.Cancelled;
    return isCancelled
      ? {kind: 'state', state: JobState.Cancelled}
      : {kind: 'absent'};
  }

  /** Returns whether the store confirmed the record before the deadline. */
  private async appendCancellation(
    jobId: string,
    record: KeyedRecord,
    deadline: number,
  ): Promise<boolean> {
    const now = this.parts.clock.monotonicMilliseconds();
    const timeout = Math.max(0, deadline - now - ANSWER_MARGIN_MILLISECONDS);
    const outcome = await this.parts.submissions.append(
      jobId,
      record,
      timeout,
      timeout,
    );
    return outcome === BatchedAppendOutcome.Appended;
  }

  private noteCancellation(
    jobId: string,
    {answer, basis}: CancellationDecision,
    {queue, organisation}: Caller,
    startedAt: number,
  ): void {
    const told = answer.kind === 'state' ? answer.state : answer.kind;
    this.parts.metrics.increment(MetricName.JobCancellations, {
      answer: told,
      basis,
    });
    this.parts.logger.info(LogEvent.JobCancelAsked, {
      job: jobId,
      queue,
      organisation,
      answer: told,
      basis,
      ageMilliseconds: Math.round(this.parts.streams.jobAgeMilliseconds(jobId)),
      milliseconds: this.parts.clock.monotonicMilliseconds() - startedAt,
    });
  }
}
