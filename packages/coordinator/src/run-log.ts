import {
  LogEvent,
  MetricName,
  type Clock,
  type LogFields,
  type Logger,
  type Metrics,
} from '@gentiandoor/kernel';
import type {
  CrashCount,
  RunEndEffect,
  JobState,
  RunEnd,
} from '@gentiandoor/jobs';
import type {LiveRun} from './live-run.js';
import {
  OrderOutcome,
  type CallFailure,
  type OrderRefusal,
  type RunName,
} from './worker-gateway.js';

/** Dependencies of a run log. */
export interface RunLogParts {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** How a job ended. */
export interface JobEnding {
  readonly job: string;
  readonly organisation: string | undefined;
  readonly state: JobState;
  readonly ageMilliseconds: number;
  readonly objectiveMilliseconds: number;
  /** Whether it ended when it was of no use any more; undefined where that is not counted. */
  readonly hasExpired?: boolean;
}

/**
 * Writes log lines and metrics about runs and jobs, one for each decision of the
 * coordinator.
 */
export class RunLog {
  constructor(private readonly parts: RunLogParts) {}

  /** Logs that a run was stored and is about to be ordered. */
  ordered(run: LiveRun, worker: string, term: number): void {
    const waited = this.now() - run.plannedAt;
    this.parts.metrics.timing(MetricName.RunWaitDuration, waited);
    this.parts.logger.info(LogEvent.RunOrdered, {
      task: run.task,
      run: run.run,
      worker,
      term,
      storedAfterMilliseconds: Math.round(waited),
    });
  }

  ended(
    {task, run}: RunName,
    worker: string,
    end: RunEnd,
    effect: RunEndEffect,
  ): void {
    const fields = {task, run, worker, end, effect};
    this.parts.logger.info(LogEvent.RunEnded, fields);
    this.parts.metrics.increment(MetricName.RunEnds, {end});
  }

  /**
   * Logs that a task is given up, and its job fails, because workers crash while they run
   * it.
   */
  givenUp(
    {task, run}: RunName,
    worker: string,
    {total, atStart}: CrashCount,
  ): void {
    this.parts.logger.warn(LogEvent.TaskGivenUp, {
      task,
      run,
      worker,
      crashes: total,
      crashesAtStart: atStart,
    });
    this.parts.metrics.increment(MetricName.TasksGivenUp);
  }

  refused({task, run}: RunName, worker: string, refusal: OrderRefusal): void {
    const fields = {task, run, worker, refusal};
    this.parts.logger.warn(LogEvent.RunRefused, fields);
    this.parts.metrics.increment(MetricName.RunRefusals, {reason: refusal});
  }

  /** Logs that the order of a run got no response, or was not sent. */
  startUnanswered(
    {task, run}: RunName,
    worker: string,
    {outcome, reason}: CallFailure,
  ): void {
    if (outcome === OrderOutcome.NotSent) {
      this.parts.metrics.increment(MetricName.StartsNotSent);
      return;
    }
    const fields = {task, run, worker, reason};
    this.parts.logger.info(LogEvent.StartUnanswered, fields);
    this.parts.metrics.increment(MetricName.StartsUnanswered);
  }

  /**
   * Logs that a run is kept for the next incarnation of its worker, which may still start
   * it.
   */
  carriedOver({task, run, startConfirmedAt}: LiveRun, worker: string): void {
    const isAnswered = startConfirmedAt !== undefined;
    const fields = {task, run, worker, isAnswered};
    this.parts.logger.info(LogEvent.RunCarriedOver, fields);
    this.parts.metrics.increment(MetricName.RunsCarriedOver);
  }

  /**
   * Logs that a run is stopped for other work; `details` are the figures of the decision.
   */
  preempted(
    {task, run, executableTask}: LiveRun,
    worker: string,
    reason: string,
    details: LogFields = {},
  ): void {
    this.parts.logger.info(LogEvent.RunPreempted, {
      task,
      run,
      worker,
      reason,
      ...details,
      preemptions: executableTask.progress.preemptions,
    });
    this.parts.metrics.increment(MetricName.Preemptions, {reason});
  }

  stalled(run: LiveRun, worker: string): void {
    this.parts.logger.warn(LogEvent.RunStalled, {
      task: run.task,
      run: run.run,
      worker,
      percent: run.percent,
      stillMilliseconds: Math.round(this.now() - run.percentChangedAt),
      expectedMilliseconds: Math.round(run.expectedMilliseconds),
    });
    this.parts.metrics.increment(MetricName.RunsStalled);
  }

  jobEnded(ending: JobEnding): void {
    const {job, organisation, state} = ending;
    this.parts.logger.info(LogEvent.JobEnded, {
      job,
      organisation,
      state,
      milliseconds: Math.round(ending.ageMilliseconds),
      objectiveMilliseconds: Math.round(ending.objectiveMilliseconds),
    });
    this.parts.metrics.increment(MetricName.JobEnds, {state});
    if (ending.hasExpired) this.parts.metrics.increment(MetricName.JobsExpired);
  }

  private now(): number {
    return this.parts.clock.monotonicMilliseconds();
  }
}
