import {
  LogEvent,
  sleep,
  supervise,
  type Clock,
  type Logger,
} from '@gentiandoor/kernel';
import {RunEnd} from '@gentiandoor/jobs';
import {AdaptiveTimeout, type PlacementWorker} from '@gentiandoor/scheduling';
import {AutoResetEvent} from './auto-reset-event.js';
import {
  carryOver,
  isStartOpen,
  mayBeAliveUntil,
  mayRunOnNextIncarnation,
} from './carried-runs.js';
import {IncarnationEnd, isUnplanned} from './incarnation-end.js';
import {RunStatus, type LiveRun} from './live-run.js';
import {RunOrders, type RunOrderHost} from './run-orders.js';
import type {SessionHost} from './session-host.js';
import {SessionPolls, type PollingSession} from './session-polls.js';
import {SessionRuns} from './session-runs.js';
import {StartBlock} from './start-block.js';
import {
  OrderOutcome,
  OrderRefusal,
  WorkerState,
  type CallFailure,
  type Resources,
  type WorkerEntry,
  type WorkerGateway,
} from './worker-gateway.js';
import {reportsStart} from './worker-incarnation.js';
import {WorkerLiveness} from './worker-liveness.js';

/** Retry interval of an order while the term is being renewed. */
const TERM_RETRY_MILLISECONDS = 50;
/** Start timeout after which the worker is polled for the outcome of the run. */
const START_TIMEOUT_MILLISECONDS = 150;
/** Upper limit of the start timeout while this daemon is overloaded. */
const LONGEST_START_TIMEOUT_MILLISECONDS = 700;

/**
 * Returns the timeout for immediate responses of workers, shared by all sessions of a
 * coordinator.
 *
 * Load: a burst of jobs that saturates the coordinator's own link or processor.
 * Without it: with a fixed timeout every worker appears silent and is called again over
 * new connections, and these calls saturate the link permanently.
 */
export function newResponseTimeout(): AdaptiveTimeout {
  return new AdaptiveTimeout(
    START_TIMEOUT_MILLISECONDS,
    LONGEST_START_TIMEOUT_MILLISECONDS,
  );
}

/** Handles all communication between the coordinator and one incarnation of a worker. */
export class WorkerSession implements PollingSession, RunOrderHost {
  private readonly sessionRuns = new SessionRuns();
  private readonly liveness: WorkerLiveness;
  private readonly orders: RunOrders;
  private readonly polls: SessionPolls;
  private readonly signal: AutoResetEvent;
  private closed = false;
  private listed = true;
  private hasValidEntry = true;
  private cordonedFor: string | undefined;

  constructor(
    private current: WorkerEntry,
    private readonly host: SessionHost,
    private readonly gateway: WorkerGateway,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    this.signal = new AutoResetEvent(clock);
    this.liveness = new WorkerLiveness(current.id, host, clock, logger);
    this.orders = new RunOrders(this, this.liveness, gateway, clock);
    this.polls = new SessionPolls({
      session: this,
      host,
      sessionRuns: this.sessionRuns,
      liveness: this.liveness,
      signal: this.signal,
      gateway,
      clock,
      logger,
    });
  }

  /** Runs that may be alive on the worker, by task. */
  get runs(): ReadonlyMap<string, LiveRun> {
    return this.sessionRuns.all;
  }

  get entry(): WorkerEntry {
    return this.current;
  }

  get id(): string {
    return this.current.id;
  }

  get term(): number {
    return this.host.term;
  }

  get responseTimeoutMilliseconds(): number {
    return this.host.responseTimeoutMilliseconds;
  }

  /** Time since which the worker has not responded; undefined while it responds. */
  get silentFrom(): number | undefined {
    return this.liveness.silentFrom;
  }

  get isClosed(): boolean {
    return this.closed;
  }

  get isDraining(): boolean {
    return this.current.state === WorkerState.Draining;
  }

  /** Whether a start may be ordered now. */
  get acceptsStarts(): boolean {
    return this.startBlock === undefined;
  }

  /** Why no start may be ordered now; undefined if one may. */
  get startBlock(): StartBlock | undefined {
    if (this.closed) return StartBlock.Closed;
    if (!this.listed) return StartBlock.NoEntry;
    if (!this.hasValidEntry) return StartBlock.InvalidEntry;
    if (!this.host.usesWorkersOf(this.current.service))
      return StartBlock.ServiceNotUsed;
    if (!this.polls.hasSeenToken) return StartBlock.NotPolled;
    if (this.liveness.isSilent) return StartBlock.Silent;
    if (this.cordonedFor !== undefined) return StartBlock.Cordoned;
    if (this.isDraining) return StartBlock.Draining;
    if (this.enforcesCapacity) return undefined;
    if (!this.host.areCapacitiesFresh()) return StartBlock.CapacityUnknown;
    return this.polls.hasUnexpectedRuns ? StartBlock.UnexpectedRuns : undefined;
  }

  private get enforcesCapacity(): boolean {
    return this.host.enforcesCapacity(this.current.service);
  }

  /** Whether the worker is new and has not been polled yet. */
  get isStarting(): boolean {
    return !this.polls.hasSeenToken && !this.liveness.isSilent;
  }

  /** Why new starts are kept away; undefined if they are not. */
  get cordonReason(): string | undefined {
    return this.cordonedFor;
  }

  /**
   * Millicores that the runs take from other work, weighted by what their results are
   * still worth.
   */
  get weightedMillicores(): number {
    return this.sessionRuns.weightedMillicores(this.current.capacity);
  }

  /** Whether a long-running task runs on the worker. */
  get hasLongRunningTask(): boolean {
    return this.sessionRuns.hasLongRunningTask;
  }

  /** Keeps new starts away while the VM is to be moved or maintained. */
  cordon(purpose: string | undefined): void {
    if (this.cordonedFor === purpose) return;
    this.cordonedFor = purpose;
    this.host.sessionChanged(this);
  }

  start(): void {
    void supervise({
      name: 'worker session',
      fields: {worker: this.id},
      clock: this.clock,
      logger: this.logger,
      isStopped: () => this.closed,
      run: () => this.run(),
    });
  }

  close(): void {
    this.closed = true;
    this.signal.notify();
  }

  /** Updates the entry of the worker; undefined if it has none any more. */
  update(entry: WorkerEntry | undefined): void {
    const acceptedStarts = this.acceptsStarts;
    const hasGrown =
      entry !== undefined && isLarger(entry.capacity, this.current.capacity);
    this.listed = entry !== undefined;
    this.hasValidEntry = true;
    if (entry) this.current = entry;
    this.sessionRuns.entryChanged();
    if (hasGrown || acceptedStarts !== this.acceptsStarts)
      this.host.sessionChanged(this);
    this.signal.notify();
  }

  /** Keeps new starts away because the newest entry of the worker is invalid. */
  entryInvalid(): void {
    this.listed = true;
    this.hasValidEntry = false;
  }

  /** Called when the configuration may use the worker's service differently. */
  configurationChanged(): void {
    this.signal.notify();
  }

  /** Returns the view of the worker that placement decisions use. */
  placementView(now: number): PlacementWorker {
    const reliability = this.host.reliability.score(this.id, now);
    return this.sessionRuns.placementView(this.current, reliability, now);
  }

  /** Reserves capacity for a run; `startRun` sends the order. */
  addRun(run: LiveRun): void {
    this.sessionRuns.add(run);
    this.signal.notify();
  }

  /** Forgets a run that is known from elsewhere to be over. */
  forget(run: LiveRun): void {
    this.sessionRuns.remove(run);
  }

  /** Orders the worker to start a run, until its outcome is known. */
  startRun(run: LiveRun): Promise<void> {
    return this.orders.start(run);
  }

  /** Orders the worker to stop a run, until its outcome is known. */
  stopRun(run: LiveRun): Promise<void> {
    return this.orders.stop(run);
  }

  probe(): Promise<void> {
    return this.polls.probe();
  }

  isResponding(): Promise<boolean> {
    return this.polls.isResponding();
  }

  /** Ends all runs because the worker's incarnation is over. */
  endIncarnation(end: IncarnationEnd): void {
    if (this.closed) return;
    const hasCrashed = isUnplanned(end) && !this.isDraining;
    this.logger.info(LogEvent.WorkerLeft, {
      worker: this.id,
      reason: end,
      hasCrashed,
      runs: this.sessionRuns.count,
    });
    this.close();
    const runEnd = hasCrashed ? RunEnd.Crashed : RunEnd.Lost;
    if (reportsStart(this.current)) this.carryRunsOver(end, runEnd);
    for (const run of [...this.runs.values()])
      this.endRun(run, isOrdered(run) ? runEnd : RunEnd.Lost, '');
    this.gateway.closeConnections(this.current);
    this.host.sessionEnded(this, end);
  }

  /** Keeps the runs that the worker's next incarnation may start, or has started. */
  private carryRunsOver(incarnationEnd: IncarnationEnd, end: RunEnd): void {
    const now = this.clock.monotonicMilliseconds();
    const isRestart = incarnationEnd === IncarnationEnd.Restarted;
    const carried = [...this.runs.values()].filter(
      run =>
        isStartOpen(run, this.host, now) ||
        (isRestart && mayRunOnNextIncarnation(run)),
    );
    const endedAt = this.silentFrom ?? now;
    for (const run of carried) {
      this.forget(run);
      carryOver(run, {end, endedAt});
    }
    this.host.runsCarriedOver(this, carried);
  }

  /**
   * Returns whether the worker has capacity for the run. It may have shrunk since the run
   * was placed, and the worker may start the run all the same.
   */
  hasCapacityFor(run: LiveRun): boolean {
    if (this.enforcesCapacity) return true;
    return (
      this.host.areCapacitiesFresh() &&
      this.sessionRuns.hasCapacityFor(run, this.current)
    );
  }

  isExpected(run: LiveRun): boolean {
    return !this.closed && this.sessionRuns.has(run);
  }

  async waitUntilAllowed(): Promise<boolean> {
    while (!this.closed && !this.host.ordersAllowed())
      await sleep(this.clock, TERM_RETRY_MILLISECONDS);
    return !this.closed;
  }

  noteResponseTime(sentAt: number): void {
    this.host.noteResponseTime(this.clock.monotonicMilliseconds() - sentAt);
  }

  noteAnswer(clockMilliseconds: number): void {
    if (!this.liveness.noteAnswer(clockMilliseconds)) return;
    this.sessionRuns.restartStallDetection(this.clock.monotonicMilliseconds());
    this.host.sessionChanged(this);
  }

  handledRefusal(result: {
    readonly outcome: OrderOutcome;
    readonly refusal?: OrderRefusal;
  }): boolean {
    if (result.outcome !== OrderOutcome.Refused) return false;
    if (result.refusal === OrderRefusal.Fenced) {
      this.host.onFenced();
      return true;
    }
    if (result.refusal === OrderRefusal.OtherIncarnation) {
      const isRestart = reportsStart(this.current);
      this.endIncarnation(
        isRestart ? IncarnationEnd.Restarted : IncarnationEnd.Replaced,
      );
      return true;
    }
    return false;
  }

  noteStartExecuted(run: LiveRun): void {
    this.host.runStarted(run);
    if (reportsStart(this.current)) this.host.startExecuted(run);
  }

  startUnanswered(run: LiveRun, failure: CallFailure): void {
    this.host.startUnanswered(this, run, failure);
  }

  noteStartInDoubt(run: LiveRun): void {
    this.host.startInDoubt(run);
  }

  runNeverStarted(run: LiveRun): void {
    this.endRun(run, RunEnd.Lost, '');
  }

  startRefused(run: LiveRun, refusal: OrderRefusal): void {
    this.forget(run);
    if (refusal === OrderRefusal.InsufficientCapacity)
      this.sessionRuns.noteCapacityRefusal(this.clock.monotonicMilliseconds());
    this.host.startRefused(this, run, refusal);
  }

  outcomeReadable(): void {
    this.signal.notify();
  }

  private async run(): Promise<void> {
    while (!this.closed) {
      if (this.isFinished()) {
        this.endIncarnation(IncarnationEnd.EntryRemoved);
        return;
      }
      if (!this.polls.isDue) {
        await this.signal.wait(this.polls.watchDelayMilliseconds);
        continue;
      }
      if (!(await this.waitUntilAllowed())) return;
      await this.polls.poll();
    }
  }

  /** Returns whether the worker has no entry any more and no run on it is in doubt. */
  private isFinished(): boolean {
    return !this.listed && this.sessionRuns.count === 0;
  }

  noteSilence(): void {
    const now = this.clock.monotonicMilliseconds();
    if (this.liveness.noteSilence(this.sessionRuns.count))
      this.host.sessionSilent(this);
    if (this.sessionRuns.count === 0 || !this.liveness.isLeaseOver(now)) return;
    const over = this.runsOverWithLease(now);
    if (over.length === 0) return;
    this.logger.warn(LogEvent.WorkerLeaseOver, {
      worker: this.id,
      runs: over.length,
      silentMilliseconds: now - (this.silentFrom ?? now),
    });
    this.endRuns(over, RunEnd.Lost);
  }

  private runsOverWithLease(now: number): LiveRun[] {
    const runs = [...this.runs.values()];
    if (!reportsStart(this.current)) return runs;
    return runs.filter(run => now > mayBeAliveUntil(run, this.host));
  }

  private endRuns(runs: readonly LiveRun[], end: RunEnd): void {
    for (const run of runs) this.endRun(run, end, '');
  }

  endRun(run: LiveRun, end: RunEnd, checkpoint: string): void {
    this.forget(run);
    this.host.runEnded(this, run, end, checkpoint);
  }
}

/** Returns whether the order of a run was sent; otherwise it cannot have crashed its worker. */
function isOrdered({status}: LiveRun): boolean {
  return status !== RunStatus.Planned;
}

function isLarger(capacity: Resources, before: Resources): boolean {
  return (
    capacity.processorMillicores > before.processorMillicores ||
    capacity.memoryMegabytes > before.memoryMegabytes ||
    capacity.accelerators > before.accelerators
  );
}
