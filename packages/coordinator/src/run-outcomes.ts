import {
  CRASH_AT_START_MILLISECONDS,
  RunEndEffect,
  RunEnd,
  type ExecutableTask,
  type JobExecution,
  type StepSpecification,
} from '@gentiandoor/jobs';
import type {Clock} from '@gentiandoor/kernel';
import type {Dispatcher} from './dispatcher.js';
import type {LiveRun} from './live-run.js';
import type {OrganisationLimits} from './organisation-limits.js';
import type {ProgressWriter} from './progress-writer.js';
import type {RunLog} from './run-log.js';
import {CAPACITY_REFUSAL_MILLISECONDS} from './session-runs.js';
import {OrderRefusal, type EndedRun} from './worker-gateway.js';
import type {WorkerRegistry} from './worker-registry.js';
import type {WorkerHandle} from './worker-handle.js';
import type {WorkerSuspicion} from './worker-suspicion.js';

/** Dependencies of run outcomes. */
export interface OutcomeParts {
  readonly log: RunLog;
  readonly suspicion: WorkerSuspicion;
  readonly dispatcher: Dispatcher;
  readonly organisationLimits: OrganisationLimits;
  readonly writer: ProgressWriter;
  readonly registry: WorkerRegistry;
  readonly clock: Clock;
  /** Returns whether at most one VM of the fleet could run a step. */
  readonly hasSingleVmFor: (step: StepSpecification) => boolean;
}

/** What run outcomes need from the coordinator. */
export interface OutcomeHost {
  /** Returns the maximum number of attempts of a job's tasks; undefined while it is not known. */
  maximumAttemptsOf(execution: JobExecution): number | undefined;
  /** Called when a job has ended. */
  jobEnded(execution: JobExecution): void;
  /** Stops the remaining runs of a task that is done. */
  stopRuns(execution: JobExecution, task: ExecutableTask): void;
}

/** How a run ended, and on which worker. */
interface RunEnding {
  readonly end: RunEnd;
  readonly checkpoint: string;
  readonly worker: string;
  /** Time since which the worker has not responded; undefined while it responds. */
  readonly silentFrom?: number;
}

/** Delay before tasks are placed again after a worker refused one. */
const REFUSAL_PAUSE_MILLISECONDS = 100;

/**
 * Attributes the outcome of each run to its task or its worker, and applies the
 * consequences for the job.
 */
export class RunOutcomes {
  constructor(
    private readonly parts: OutcomeParts,
    private readonly host: OutcomeHost,
  ) {}

  /** Handles a run that ended on a worker, or together with the worker. */
  ended(
    session: WorkerHandle,
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
    dispatcher.noteRunEnded(run.execution, session.entry.service);
  }

  /** Handles the late end of a run that had been given up. */
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
    this.parts.dispatcher.noteRunEnded(execution);
  }

  /**
   * Handles a run ordered by an earlier coordinator that is over on a worker without an
   * entry.
   */
  orphaned(worker: string, run: LiveRun, end: RunEnd): void {
    this.endRun(run, {end, checkpoint: '', worker});
    this.parts.dispatcher.noteRunEnded(run.execution);
  }

  /** Handles a start order that a worker refused. */
  refused(session: WorkerHandle, run: LiveRun, refusal: OrderRefusal): void {
    const {log, suspicion, dispatcher, clock} = this.parts;
    log.refused(run, session.id, refusal);
    if (refusal === OrderRefusal.Unhealthy) suspicion.suspect(session, refusal);
    this.endRun(run, {end: RunEnd.Lost, checkpoint: '', worker: session.id});
    const wake = () =>
      dispatcher.noteRunEnded(run.execution, session.entry.service);
    clock.schedule(REFUSAL_PAUSE_MILLISECONDS, wake);
    if (refusal === OrderRefusal.InsufficientCapacity)
      clock.schedule(CAPACITY_REFUSAL_MILLISECONDS, wake);
  }

  /**
   * Handles a stalled run. A stall is attributed to the worker, since tasks at fault end
   * as failed.
   */
  stalled(session: WorkerHandle, run: LiveRun): void {
    this.parts.log.stalled(run, session.id);
    this.parts.suspicion.suspect(session, 'run stalled');
    this.parts.dispatcher.noteFailure(run, session.id);
    void session.stopRun(run);
  }

  /** Handles a run that is known to have started. */
  started({execution}: LiveRun): void {
    if (execution.noteStarted()) this.parts.writer.store(execution);
  }

  /**
   * Handles a run whose order may not have been carried out. Until a task of its job is known to
   * have started, callers see the job as queued, and it counts as pending.
   */
  startInDoubt({execution}: LiveRun): void {
    if (execution.noteStartInDoubt()) this.parts.writer.store(execution);
  }

  /**
   * Handles a run whose order was carried out. Only for long-running tasks is that worth a record
   * of its own: others have mostly ended by the time a successor would read it.
   */
  startExecuted({execution, executableTask, run}: LiveRun): void {
    const isNews = execution.noteStartExecuted(executableTask, run);
    if (isNews && executableTask.specification.longRunning)
      this.parts.writer.store(execution);
  }

  /** Handles a run that has been alive long enough to clear the crashes of its task. */
  survived({execution, executableTask}: LiveRun): void {
    if (execution.clearCrashes(executableTask))
      this.parts.writer.store(execution);
  }

  private endRun(run: LiveRun, ending: RunEnding): void {
    const {log, organisationLimits, writer} = this.parts;
    const {execution} = run;
    const {end, worker} = ending;
    organisationLimits.releaseRun(run);
    const wasEnded = execution.hasEnded;
    const effect = this.effectOf(run, ending);
    log.ended(run, worker, end, effect);
    if (effect === RunEndEffect.Stale) return;
    if (effect === RunEndEffect.Retry) this.noteForRetry(run, ending);
    if (effect === RunEndEffect.JobEnded && !wasEnded)
      this.finishJob(run, ending);
    if (run.executableTask.specification.gang && end === RunEnd.Done)
      this.dropGang(run);
    writer.store(execution);
  }

  private noteForRetry(run: LiveRun, {end, worker}: RunEnding): void {
    const {dispatcher} = this.parts;
    if (end === RunEnd.Failed) dispatcher.noteFailure(run, worker);
    if (end === RunEnd.Crashed) dispatcher.noteCrash(run);
  }

  private finishJob(run: LiveRun, {end, worker}: RunEnding): void {
    const {execution, executableTask} = run;
    if (end === RunEnd.Crashed)
      this.parts.log.givenUp(run, worker, executableTask.progress.crashes);
    this.host.jobEnded(execution);
  }

  private effectOf(run: LiveRun, ending: RunEnding): RunEndEffect {
    const {execution, executableTask} = run;
    if (ending.end === RunEnd.Crashed)
      return execution.crashRun(executableTask, run.run, {
        isAtStart: endedAtStart(
          run,
          run.carriedFrom?.endedAt ?? ending.silentFrom ?? this.now(),
        ),
        isIsolated: run.isIsolated,
        isOnOnlyVm: this.isOnOnlyVm(executableTask),
      });
    return execution.endRun(
      executableTask,
      run.run,
      ending.end,
      ending.checkpoint,
      this.maximumAttempts(execution),
    );
  }

  private isOnOnlyVm({specification}: ExecutableTask): boolean {
    return (
      specification.longRunning && this.parts.hasSingleVmFor(specification)
    );
  }

  /** Drops the other members of a gang, which are over once one of them is done. */
  private dropGang(run: LiveRun): void {
    for (const member of this.parts.registry.dropRunsOfStep(run))
      this.parts.organisationLimits.releaseRun(member);
  }

  private maximumAttempts(execution: JobExecution): number {
    // A job is not given up for a limit that nobody knows.
    return this.host.maximumAttemptsOf(execution) ?? Infinity;
  }

  private now(): number {
    return this.parts.clock.monotonicMilliseconds();
  }
}

/**
 * Returns whether a run ended shortly after its start. A start without a response does
 * not count: the worker may have crashed before the order arrived.
 */
function endedAtStart({startConfirmedAt}: LiveRun, endedAt: number): boolean {
  return (
    startConfirmedAt !== undefined &&
    endedAt - startConfirmedAt < CRASH_AT_START_MILLISECONDS
  );
}
