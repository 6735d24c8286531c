import {logTaskFailure, type Clock, type Logger} from '@gentiandoor/kernel';
import {
  CRASH_RISK_MILLISECONDS,
  OrderConcurrencyLimiter,
} from '@gentiandoor/scheduling';
import type {Dispatcher} from './dispatcher.js';
import type {LiveRun} from './live-run.js';
import type {OrganisationLimits} from './organisation-limits.js';
import type {ProgressWriter} from './progress-writer.js';
import {RoundCause} from './round-cause.js';
import type {RunLog} from './run-log.js';
import {newResponseTimeout, type WorkerSession} from './worker-session.js';

/** Dependencies of an order flow. */
export interface OrderFlowParts {
  readonly term: number;
  readonly log: RunLog;
  readonly writer: ProgressWriter;
  readonly organisationLimits: OrganisationLimits;
  readonly dispatcher: Dispatcher;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Sends the start orders of planned runs, as many at a time as workers answer without delay. */
export class OrderFlow {
  private readonly responseTimeout = newResponseTimeout();
  private readonly limiter = new OrderConcurrencyLimiter();

  constructor(private readonly parts: OrderFlowParts) {}

  get responseTimeoutMilliseconds(): number {
    return this.responseTimeout.milliseconds;
  }

  get meanResponseMilliseconds(): number {
    return this.responseTimeout.meanResponseMilliseconds;
  }

  /** Records the time until a worker's response to a call that it answers without delay. */
  noteResponseTime(milliseconds: number): void {
    this.responseTimeout.recordResponse(milliseconds);
    const allowsMore = this.limiter.recordResponse(
      milliseconds,
      this.parts.clock.monotonicMilliseconds(),
    );
    if (allowsMore) this.parts.dispatcher.noteOrdersAllowed();
  }

  /** Whether `count` more orders may be sent now. */
  mayOrder(count: number): boolean {
    return this.limiter.allows(count);
  }

  /** Stores the run, then sends its order. */
  launch(session: WorkerSession, run: LiveRun): void {
    const {organisationLimits, writer, log, term} = this.parts;
    this.limiter.begin();
    session.addRun(run);
    organisationLimits.countRun(run);
    writer.store(run.execution, () => {
      log.ordered(run, session.id, term);
      if (!organisationLimits.mayBeOrdered(run)) run.stopRequested = true;
      void this.sendStart(session, run);
    });
  }

  private async sendStart(session: WorkerSession, run: LiveRun): Promise<void> {
    try {
      await session.startRun(run);
    } catch (error) {
      const fields = {worker: session.id, run: run.task};
      logTaskFailure(this.parts.logger, 'start of a run', fields, error);
    }
    this.limiter.end();
    this.parts.dispatcher.noteOrdersAllowed();
    this.wakeAfterIsolation(session, run);
  }

  /** Schedules a placement for when other jobs may share the worker with an isolated run again. */
  private wakeAfterIsolation(
    {entry}: WorkerSession,
    {isIsolated}: LiveRun,
  ): void {
    if (!isIsolated) return;
    const {clock, dispatcher} = this.parts;
    clock.schedule(CRASH_RISK_MILLISECONDS, () =>
      dispatcher.schedulePlacement(entry.service, RoundCause.ConditionLapsed),
    );
  }
}
