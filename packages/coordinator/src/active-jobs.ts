import {
  LogEvent,
  logTaskFailure,
  type Clock,
  type Logger,
} from '@gentiandoor/kernel';
import {
  JobExecution,
  JobState,
  copyProgress,
  jobRecordTombstones,
  type ExecutableTask,
  type JobSubmission,
  type StoredJob,
} from '@gentiandoor/jobs';
import type {WorkerReliability} from '@gentiandoor/scheduling';
import {BatchedAppendOutcome} from './batching-appender.js';
import type {Dispatcher} from './dispatcher.js';
import type {JobEntitlements} from './job-entitlements.js';
import {noteAssigned} from './carried-runs.js';
import {RunStatus, newLiveRun, taskName, type LiveRun} from './live-run.js';
import type {Queue} from './operator-records.js';
import type {OperatorView} from './operator-view.js';
import type {OrganisationLimits} from './organisation-limits.js';
import type {OrphanRuns} from './orphan-runs.js';
import type {ProgressWriter} from './progress-writer.js';
import {RecordRetention} from './record-retention.js';
import type {RunLog} from './run-log.js';
import type {OutcomeHost} from './run-outcomes.js';
import type {SubmissionLog} from './submission-log.js';
import {LATE_FACTOR} from './waiting-jobs.js';
import type {EndedRun} from './worker-gateway.js';
import type {WorkerRegistry} from './worker-registry.js';

/** Dependencies of the active jobs. */
export interface ActiveJobParts {
  readonly operators: OperatorView;
  readonly submissions: SubmissionLog;
  readonly log: RunLog;
  readonly writer: ProgressWriter;
  readonly dispatcher: Dispatcher;
  readonly registry: WorkerRegistry;
  readonly orphans: OrphanRuns;
  readonly organisationLimits: OrganisationLimits;
  readonly entitlements: JobEntitlements;
  readonly reliability: WorkerReliability;
  readonly clock: Clock;
  readonly logger: Logger;
  /** How long the final state of a job must remain available, in milliseconds. */
  readonly stateRetentionMilliseconds: number;
  /** Whether jobs that end after three times their objective are counted. */
  readonly countsExpired: boolean;
}

const DROP_TIMEOUT_MILLISECONDS = 15_000;
/** Upper limit of a job's age, since it is computed from the wall clocks of two daemons. */
const MAXIMUM_AGE_MILLISECONDS = 60_000;

/** A stored job whose submission has been read. */
type SubmittedJob = StoredJob & {submission: JobSubmission};

/** The jobs that a coordinator knows, from their submission until their records are dropped. */
export class ActiveJobs implements OutcomeHost {
  private readonly executions = new Map<string, JobExecution>();
  private readonly retention: RecordRetention;
  private closed = false;

  constructor(private readonly parts: ActiveJobParts) {
    this.retention = new RecordRetention(
      parts.clock,
      parts.stateRetentionMilliseconds,
      jobId => this.drop(jobId),
    );
  }

  get size(): number {
    return this.executions.size;
  }

  start(): void {
    this.retention.start();
  }

  close(): void {
    this.closed = true;
    this.retention.close();
  }

  /** Adds all jobs in the store, of which earlier coordinators have served some. */
  recover(stored: Iterable<SubmittedJob>): void {
    const jobs = [...stored];
    const {entitlements} = this.parts;
    entitlements.recordStored(jobs.map(({submission}) => submission));
    for (const job of jobs) this.recoverOne(job);
  }

  /** Adds a job that was read from the store, with its runs that may be alive. */
  add(job: SubmittedJob): void {
    if (this.executions.has(job.submission.id)) return;
    this.parts.entitlements.record(job.submission);
    this.addRecorded(job);
  }

  /** Adds a job; one that can't be added must not keep the others from being served. */
  private recoverOne(job: SubmittedJob): void {
    try {
      this.addRecorded(job);
    } catch (error) {
      const fields = {job: job.submission.id};
      logTaskFailure(this.parts.logger, 'recovery of a job', fields, error);
    }
  }

  private addRecorded(job: SubmittedJob): void {
    const {submission} = job;
    if (this.executions.has(submission.id)) return;
    const execution = new JobExecution(submission, copyProgress(job.progress));
    this.executions.set(submission.id, execution);
    this.recoverRuns(execution);
    if (job.cancelled) this.cancel(submission.id);
    const age = this.ageOf(submission);
    const {dispatcher} = this.parts;
    if (execution.hasEnded) {
      this.parts.entitlements.forget(submission.id);
      this.retention.noteEnded(submission.id);
      dispatcher.noteDemand(execution, age);
      this.stopRuns(execution);
    } else dispatcher.add(execution, age);
  }

  cancel(jobId: string): void {
    const execution = this.executions.get(jobId);
    if (!execution || execution.hasEnded) return;
    execution.cancel();
    this.jobEnded(execution);
    this.parts.writer.store(execution);
  }

  /** Ends a job as failed because its progress can't be stored. */
  giveUp(execution: JobExecution): void {
    if (execution.hasEnded) return;
    this.parts.logger.error(LogEvent.JobNotStorable, {job: execution.job.id});
    execution.giveUp();
    this.jobEnded(execution);
  }

  /** Fails the jobs whose tasks have failed as often as the configuration allows. */
  configurationChanged(): void {
    for (const execution of this.executions.values()) {
      const maximumAttempts = this.maximumAttemptsOf(execution) ?? Infinity;
      if (!execution.failIfExhausted(maximumAttempts)) continue;
      this.jobEnded(execution);
      this.parts.writer.store(execution);
    }
  }

  /** Returns the job and task that a listed end belongs to; undefined if they are not known. */
  findTask(
    ended: EndedRun,
  ): {execution: JobExecution; task: ExecutableTask} | undefined {
    const dot = ended.task.indexOf('.');
    const execution = this.executions.get(ended.task.slice(0, dot));
    const task = execution?.task(ended.task.slice(dot + 1));
    return execution && task ? {execution, task} : undefined;
  }

  queueOf(execution: JobExecution): Queue | undefined {
    return this.parts.operators.queue(execution.job.queue);
  }

  maximumAttemptsOf({job}: JobExecution): number | undefined {
    return this.parts.operators.maximumAttempts(job.queue);
  }

  /**
   * Logs the end of a job, removes it from placement, starts its retention, and stops its runs
   * unless it completed.
   */
  jobEnded(execution: JobExecution): void {
    const {log, dispatcher, reliability} = this.parts;
    const {state} = execution.progress;
    const ageMilliseconds = dispatcher.ageOf(execution);
    const objectiveMilliseconds = dispatcher.objectiveOf(execution);
    log.jobEnded({
      job: execution.job.id,
      organisation: execution.job.organisation,
      state,
      ageMilliseconds,
      objectiveMilliseconds,
      hasExpired:
        this.parts.countsExpired &&
        hasObjective(execution.job) &&
        ageMilliseconds > LATE_FACTOR * objectiveMilliseconds,
    });
    this.retention.noteEnded(execution.job.id);
    dispatcher.remove(execution);
    this.parts.entitlements.forget(execution.job.id);
    reliability.forgetJob(execution.job.id);
    if (state !== JobState.Completed) this.stopRuns(execution);
  }

  /** Stops all runs of a job, or only those of the task `only` if that is done. */
  stopRuns(execution: JobExecution, only?: ExecutableTask): void {
    for (const task of execution.liveTasks()) {
      if (only && (task !== only || !task.progress.done)) continue;
      const session = this.parts.registry.current(task.progress.worker);
      const run = session?.runs.get(taskName(execution.job.id, task));
      if (session && run) void session.stopRun(run);
    }
  }

  private ageOf(submission: JobSubmission): number {
    const age =
      this.parts.clock.wallMilliseconds() - submission.submittedAtMilliseconds;
    return Math.min(Math.max(0, age), MAXIMUM_AGE_MILLISECONDS);
  }

  private recoverRuns(execution: JobExecution): void {
    const {registry, organisationLimits, dispatcher, clock} = this.parts;
    for (const task of execution.liveTasks()) {
      const run = newLiveRun(execution, task, {
        run: task.progress.run,
        plannedAt: clock.monotonicMilliseconds(),
        weight: 1,
        expectedMilliseconds: dispatcher.expectedTime(execution, task),
        stopsOnStall: true,
        isIsolated: dispatcher.mustIsolate(execution, task),
        status: RunStatus.Recovered,
        orderAnsweredAt: -Infinity,
      });
      organisationLimits.countRun(run);
      const session = registry.current(task.progress.worker);
      if (session) {
        noteAssigned(run, session.id, run.plannedAt);
        session.addRun(run);
      } else this.addOrphan(task.progress.worker, run);
    }
  }

  /** Adds a run that an earlier coordinator ordered on a worker without a session. */
  private addOrphan(worker: string, run: LiveRun): void {
    const {orphans, writer} = this.parts;
    orphans.addRecovered(worker, run);
    const {execution} = run;
    if (orphans.mayBeStarted(worker, run) && execution.noteStartInDoubt())
      writer.store(execution);
  }

  /**
   * Deletes the progress last, once the submission is certainly deleted: the next coordinator would
   * take a submission without progress for a new job and run it a second time. Resolves to whether
   * the submission is deleted.
   */
  private async drop(jobId: string): Promise<boolean> {
    this.executions.delete(jobId);
    const {progress, submission} = jobRecordTombstones(jobId);
    const outcomes = await Promise.all(
      submission.map(record =>
        this.parts.submissions.append(
          jobId,
          record,
          DROP_TIMEOUT_MILLISECONDS,
          DROP_TIMEOUT_MILLISECONDS,
        ),
      ),
    );
    const areDeleted = outcomes.every(
      outcome => outcome === BatchedAppendOutcome.Appended,
    );
    if (areDeleted && !this.closed)
      this.parts.writer.appendTombstones([progress]);
    return areDeleted;
  }
}

/** Whether a job ends by itself soon after its submission. */
function hasObjective({repeat, steps}: JobSubmission): boolean {
  return !repeat && !steps.some(({longRunning}) => longRunning);
}
