import {
  CRASH_AT_START_MILLISECONDS,
  RunEndEffect,
  RunEnd,
  type ExecutableTask,
  type JobExecution,
} from '@gentiandoor/jobs';
import type {Clock} from '@gentiandoor/kernel';
import type {Dispatcher} from './dispatcher.js';
import type {LiveRun} from './live-run.js';
import type {Queue} from './operator-records.js';
import type {OrganisationLimits} from './organisation-limits.js';
import type {ProgressWriter} from './progress-writer.js';
import type {RunLog} from './run-log.js';
import {CAPACITY_REFUSAL_MILLISECONDS} from './session-runs.js';
import {OrderRefusal, type EndedRun} from './worker-gateway.js';
import type {WorkerRegistry} from './worker-registry.js';
import type {WorkerSession} from './worker-session.js';
import type {WorkerSuspicion} from './worker-suspicion.js';

/** What run outcomes are built from. */
export interface OutcomeParts {
  readonly log: RunLog;
  readonly suspicion: WorkerSuspicion;
  readonly dispatcher: Dispatcher;
  readonly organisationLimits: OrganisationLimits;
  readonly writer: ProgressWriter;
  readonly registry: WorkerRegistry;
  readonly clock: Clock;
}

/** What run outcomes need of the coordinator. */
export interface OutcomeHost {
  queueOf(execution: JobExecution): Queue | undefined;
  /** A job has come to its end. */
  jobEnded(execution: JobExecution): void;
  /** Stops what runs of a task that is done. */
  stopRuns(execution: JobExecution, task: ExecutableTask): void;
}

/** How a run ended, and where. */
interface RunEnding {
  readonly end: RunEnd;
  readonly checkpoint: string;
  readonly worker: string;
  /** Since when the worker has not answered; undefined while it does. */
  readonly silentFrom?: number;
}

/** Delay before tasks are placed again after a worker refused one. */
const REFUSAL_PAUSE_MILLISECONDS = 100;

/** Attributes the outcome of each run to its task or its worker, and notes what follows for the job. */
export class RunOutcomes {
  constructor(
    private readonly parts: OutcomeParts,
    private readonly host: OutcomeHost,
  ) {}

  /** A run has ended on a worker, or with it. */
  ended(
    session: WorkerSession,
    run: LiveRun,
    end: RunEnd,
    checkpoint: string,
  ): void {
    const {suspicion, dispatcher} = this.parts;
    suspicion.noteEnd(session, run, end);
    if (end === RunEnd.Done && run.startConfirmedAt !== undefined)
      dispatcher.noteDuration(run, this.now() - run.startConfirmedAt);
    this.endRun(run, {
      end,
      checkpoint,
      worker: session.id,
      silentFrom: session.silentFrom,
    });
    dispatcher.schedulePlacement(session.entry.service);
  }

  /** A run that was given up has ended after all. */
  endedLate(
    execution: JobExecution,
    task: ExecutableTask,
    ended: EndedRun,
  ): void {
    const effect = execution.applyLateRunEnd(
      task,
      ended.run,
      ended.end,
      this.maximumAttempts(execution),
    );
    if (effect === RunEndEffect.Stale) return;
    this.parts.log.ended(ended, '', ended.end, effect);
    this.host.stopRuns(execution, task);
    if (effect === RunEndEffect.JobEnded) this.host.jobEnded(execution);
    this.parts.writer.store(execution);
    this.parts.dispatcher.schedulePlacement(execution.job.service);
  }

  /** A run of an earlier coordinator is over on a worker that has no entry. */
  orphaned(worker: string, run: LiveRun, end: RunEnd): void {
    this.endRun(run, {end, checkpoint: '', worker});
    this.parts.dispatcher.schedulePlacement(run.execution.job.service);
  }

  /** A worker did not take the order to start. */
  refused(session: WorkerSession, run: LiveRun, refusal: OrderRefusal): void {
    const {log, suspicion, dispatcher, clock} = this.parts;
    log.refused(run, session.id, refusal);
    if (refusal === OrderRefusal.Unhealthy) suspicion.suspect(session, refusal);
    this.endRun(run, {end: RunEnd.Lost, checkpoint: '', worker: session.id});
    const wake = () => dispatcher.schedulePlacement(session.entry.service);
    clock.schedule(REFUSAL_PAUSE_MILLISECONDS, wake);
    if (refusal === OrderRefusal.InsufficientCapacity)
      clock.schedule(CAPACITY_REFUSAL_MILLISECONDS, wake);
  }

  /** A stall is attributed to the worker: tasks at fault end as failed. */
  stalled(session: WorkerSession, run: LiveRun): void {
    this.parts.log.stalled(run, session.id);
    this.parts.suspicion.suspect(session, 'run stalled');
    this.parts.dispatcher.noteFailure(run, session.id);
    void session.stopRun(run);
  }

  /** A run has lived for long. */
  survived({execution, executableTask: taskOfJob}: LiveRun): void {
    if (execution.clearCrashes(taskOfJob)) this.parts.writer.store(execution);
  }

  private endRun(run: LiveRun, ending: RunEnding): void {
    const {log, organisationLimits: rooms, writer} = this.parts;
    const {execution} = run;
    const {end, worker} = ending;
    rooms.releaseRun(run);
    const wasEnded = execution.ended;
    const effect = this.effectOf(run, ending);
    log.ended(run, worker, end, effect);
    if (effect === RunEndEffect.Stale) return;
    if (effect === RunEndEffect.Retry) this.noteForNextTry(run, ending);
    if (effect === RunEndEffect.JobEnded && !wasEnded)
      this.finishJob(run, ending);
    if (run.executableTask.specification.gang && end === RunEnd.Done)
      this.dropGang(run);
    writer.store(execution);
  }

  private noteForNextTry(run: LiveRun, {end, worker}: RunEnding): void {
    const {dispatcher} = this.parts;
    if (end === RunEnd.Failed) dispatcher.noteFailure(run, worker);
    if (end === RunEnd.Crashed) dispatcher.noteCrash(run);
  }

  private finishJob(run: LiveRun, {end, worker}: RunEnding): void {
    const {execution, executableTask: taskOfJob} = run;
    if (end === RunEnd.Crashed)
      this.parts.log.givenUp(run, worker, taskOfJob.progress.crashes);
    this.host.jobEnded(execution);
  }

  private effectOf(run: LiveRun, ending: RunEnding): RunEndEffect {
    const {execution, executableTask: taskOfJob} = run;
    if (ending.end === RunEnd.Crashed)
      return execution.crashRun(taskOfJob, run.run, {
        isAtStart: endedAtStart(run, ending.silentFrom ?? this.now()),
        isIsolated: run.isIsolated,
      });
    return execution.endRun(
      taskOfJob,
      run.run,
      ending.end,
      ending.checkpoint,
      this.maximumAttempts(execution),
    );
  }

  /** The other members are over with the one that is done. */
  private dropGang(run: LiveRun): void {
    for (const member of this.parts.registry.dropRunsOfStep(run))
      this.parts.organisationLimits.releaseRun(member);
  }

  private maximumAttempts(execution: JobExecution): number {
    return this.host.queueOf(execution)?.maximumAttempts ?? 1;
  }

  private now(): number {
    return this.parts.clock.monotonicMilliseconds();
  }
}

/** A start without an answer may have met a worker that had crashed before. */
function endedAtStart(
  {startConfirmedAt: beganAt}: LiveRun,
  endedAt: number,
): boolean {
  return (
    beganAt !== undefined && endedAt - beganAt < CRASH_AT_START_MILLISECONDS
  );
}
