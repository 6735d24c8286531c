import {LogEvent, sleep, type Clock, type Logger} from '@gentiandoor/kernel';
import {RunEnd, CRASH_RESET_MILLISECONDS} from '@gentiandoor/jobs';
import {
  AdaptiveTimeout,
  isStalled,
  timeUntilOverdue,
  type PlacementWorker,
} from '@gentiandoor/scheduling';
import {BestEffortThrottle} from './best-effort-throttle.js';
import {EndCursor} from './end-cursor.js';
import {IncarnationEnd, isUnplanned} from './incarnation-end.js';
import {RunStatus, aliveSince, runName, type LiveRun} from './live-run.js';
import {RunOrders, type RunOrderHost} from './run-orders.js';
import {canStall, toObservedRun} from './observed-run.js';
import type {SessionHost} from './session-host.js';
import {SessionRuns} from './session-runs.js';
import {AutoResetEvent} from './auto-reset-event.js';
import {UnexpectedRuns} from './unexpected-runs.js';
import {
  OrderOutcome,
  OrderRefusal,
  WorkerState,
  type EndedRun,
  type ListedRun,
  type PollResult,
  type Resources,
  type WorkerEntry,
  type WorkerGateway,
} from './worker-gateway.js';
import {WorkerLiveness} from './worker-liveness.js';

/** Long-poll timeout; each poll renews the lease. */
const POLL_WAIT_MILLISECONDS = 750;
/** Long-poll timeout while a run is overdue. */
const OVERDUE_POLL_WAIT_MILLISECONDS = 300;
/** Batches ends into one poll. */
const POLL_GAP_MILLISECONDS = 40;
/** An idle worker's last ends are acknowledged after this delay. */
const LAST_ACKNOWLEDGEMENT_MILLISECONDS = 400;
const RETRY_MILLISECONDS = 200;
/** Retry interval for an unresponsive worker without runs. */
const IDLE_SILENCE_RETRY_MILLISECONDS = 1_000;
/** Start timeout after which the worker is polled for the outcome of the run. */
const START_TIMEOUT_MILLISECONDS = 150;
const PROBE_TIMEOUT_MILLISECONDS = 200;
/** Upper limit of the start timeout while this daemon is overloaded. */
const LONGEST_START_TIMEOUT_MILLISECONDS = 700;
/** Page size of the list of ends. */
const MAXIMUM_ENDS_LISTED = 500;

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
export class WorkerSession implements RunOrderHost {
  private readonly sessionRuns = new SessionRuns();
  private readonly liveness: WorkerLiveness;
  private readonly orders: RunOrders;
  private readonly throttle: BestEffortThrottle;
  private readonly signal: AutoResetEvent;
  private readonly unexpectedRuns: UnexpectedRuns;
  private readonly ends: EndCursor;
  private hasSeenToken = false;
  private probing = false;
  private closed = false;
  private listed = true;
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
    this.ends = new EndCursor(
      then => host.afterStored(then),
      () => this.signal.notify(),
    );
    this.unexpectedRuns = new UnexpectedRuns(
      run => gateway.stop(this.current, run, host.term),
      logger,
    );
    this.throttle = new BestEffortThrottle((run, percent) =>
      gateway.throttle(this.current, run, percent, host.term),
    );
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

  get isDraining(): boolean {
    return this.current.state === WorkerState.Draining;
  }

  /** Whether a start may be ordered now. */
  get acceptsStarts(): boolean {
    return (
      !this.closed &&
      this.listed &&
      this.host.usesWorkersOf(this.current.service) &&
      this.hasSeenToken &&
      !this.liveness.isSilent &&
      this.cordonedFor === undefined &&
      !this.isDraining &&
      (this.enforcesCapacity ||
        (this.host.areCapacitiesFresh() && !this.unexpectedRuns.areListed))
    );
  }

  private get enforcesCapacity(): boolean {
    return this.host.enforcesCapacity(this.current.service);
  }

  /** Whether the worker is new and has not been polled yet. */
  get isStarting(): boolean {
    return !this.hasSeenToken && !this.liveness.isSilent;
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
    void this.run();
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
    if (entry) this.current = entry;
    this.sessionRuns.entryChanged();
    if (hasGrown || acceptedStarts !== this.acceptsStarts)
      this.host.sessionChanged(this);
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

  /**
   * Polls the worker without waiting, in parallel to a pending long poll. Without it an
   * unreachable worker is given starts until that poll times out, after more than two
   * seconds, and each job with a task there waits for the lease to expire.
   */
  async probe(): Promise<void> {
    const now = this.clock.monotonicMilliseconds();
    if (this.closed || this.probing || !this.hasSeenToken) return;
    if (this.liveness.isProbeRedundant(now) || !this.host.ordersAllowed())
      return;
    this.probing = true;
    const result = await this.gateway.poll(this.current, {
      fencingToken: this.host.term,
      acknowledgedEnd: this.ends.stored,
      waitMilliseconds: 0,
      timeoutMilliseconds: Math.max(
        PROBE_TIMEOUT_MILLISECONDS,
        this.host.responseTimeoutMilliseconds,
      ),
    });
    this.probing = false;
    if (this.closed) return;
    if (result.outcome === OrderOutcome.Done) {
      this.noteResponseTime(now);
      this.notePoll(result, now);
    } else if (
      !this.handledRefusal(result) &&
      !this.liveness.hasAnsweredSince(now)
    )
      this.noteSilence();
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
    this.endAllRuns(hasCrashed ? RunEnd.Crashed : RunEnd.Lost);
    this.gateway.closeConnections(this.current);
    this.host.sessionEnded(this);
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
      await sleep(this.clock, RETRY_MILLISECONDS / 4);
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
      this.endIncarnation(IncarnationEnd.Replaced);
      return true;
    }
    return false;
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
      if (!this.needsPoll()) {
        await this.signal.wait();
        continue;
      }
      if (!(await this.waitUntilAllowed())) return;
      await this.poll();
    }
  }

  /** Returns whether the worker has no entry any more and no run on it is in doubt. */
  private isFinished(): boolean {
    return !this.listed && this.sessionRuns.count === 0;
  }

  private needsPoll(): boolean {
    const {count} = this.sessionRuns;
    if (count === 0 && !this.host.usesWorkersOf(this.current.service))
      return false;
    return (
      !this.hasSeenToken ||
      count > 0 ||
      this.ends.hasUnacknowledged ||
      this.liveness.isSilent
    );
  }

  private async poll(): Promise<void> {
    if (this.hasSeenToken && this.sessionRuns.count === 0)
      await this.signal.wait(LAST_ACKNOWLEDGEMENT_MILLISECONDS);
    if (this.closed) return;
    const requestedAt = this.clock.monotonicMilliseconds();
    const isLongPoll = this.sessionRuns.count > 0 && this.hasSeenToken;
    const acknowledgedEnd = this.ends.stored;
    const waitMilliseconds =
      isLongPoll && !this.liveness.isSilent ? this.pollWait(requestedAt) : 0;
    const result = await this.gateway.poll(this.current, {
      fencingToken: this.host.term,
      acknowledgedEnd,
      leaseEndMilliseconds:
        this.sessionRuns.count > 0
          ? this.liveness.leaseForPoll(requestedAt)
          : undefined,
      waitMilliseconds,
    });
    if (this.closed) return;
    if (result.outcome === OrderOutcome.Done) {
      if (waitMilliseconds === 0) this.noteResponseTime(requestedAt);
      this.ends.noteAcknowledged(acknowledgedEnd);
      this.notePoll(result, requestedAt);
    } else if (!this.handledRefusal(result)) this.noteSilence();
    await sleep(this.clock, this.pollDelayAfter(result.outcome));
  }

  /**
   * Returns how long a poll may wait. An overdue run is checked again soon: its progress
   * shows whether it has stalled.
   */
  private pollWait(now: number): number {
    let wait = POLL_WAIT_MILLISECONDS;
    for (const run of this.runs.values())
      if (canStall(run))
        wait = Math.min(wait, timeUntilOverdue(toObservedRun(run, now)));
    return Math.round(Math.max(OVERDUE_POLL_WAIT_MILLISECONDS, wait));
  }

  private pollDelayAfter(outcome: OrderOutcome): number {
    // A lagging coordinator reads more ends with each poll, and polls cost it as much as
    // starts.
    if (outcome === OrderOutcome.Done)
      return POLL_GAP_MILLISECONDS + this.host.meanResponseMilliseconds;
    return this.sessionRuns.count > 0
      ? RETRY_MILLISECONDS
      : IDLE_SILENCE_RETRY_MILLISECONDS;
  }

  private notePoll(
    result: Extract<PollResult, {outcome: OrderOutcome.Done}>,
    requestedAt: number,
  ): void {
    this.noteAnswer(result.clockMilliseconds);
    const hadSeenToken = this.hasSeenToken;
    if (!hadSeenToken) this.liveness.notePredecessorLease();
    this.hasSeenToken = true;
    const ended = this.noteEnds(result.ended);
    const hadUnexpectedRuns = this.unexpectedRuns.areListed;
    this.unexpectedRuns.beginList();
    for (const listed of result.running) this.noteRunning(listed);
    if (result.ended.length < MAXIMUM_ENDS_LISTED)
      for (const run of this.sessionRuns.missingFrom(
        result.running,
        ended,
        requestedAt,
      ))
        this.endRun(run, RunEnd.Lost, '');
    this.throttle.adjust(result.running, this.runs);
    if (!hadSeenToken || (hadUnexpectedRuns && !this.unexpectedRuns.areListed))
      this.host.sessionChanged(this);
  }

  private noteEnds(ended: readonly EndedRun[]): Set<string> {
    const names = new Set<string>();
    for (const item of ended) {
      names.add(runName(item));
      if (!this.ends.markRead(item.number)) continue;
      const run = this.runs.get(item.task);
      if (run?.run === item.run) this.endRun(run, item.end, item.checkpoint);
      else this.host.lateRunEnded(item);
    }
    this.ends.acknowledgeWhenStored();
    return names;
  }

  private noteRunning(listed: ListedRun): void {
    const run = this.runs.get(listed.task);
    if (!run || run.run !== listed.run) {
      void this.unexpectedRuns.stop(this.id, listed);
      return;
    }
    const now = this.clock.monotonicMilliseconds();
    if (run.status !== RunStatus.Confirmed) {
      run.status = RunStatus.Confirmed;
      run.orderAnsweredAt = now;
    }
    if (run.percent !== listed.percent) {
      run.percent = listed.percent;
      run.percentChangedAt = now;
    } else if (canStall(run) && isStalled(toObservedRun(run, now)))
      this.host.runStalled(this, run);
    const aliveFor = now - (aliveSince(run) ?? now);
    if (aliveFor >= CRASH_RESET_MILLISECONDS) this.host.runSurvived(run);
    if (listed.checkpoint !== '')
      run.executableTask.progress.checkpoint = listed.checkpoint;
  }

  private noteSilence(): void {
    const now = this.clock.monotonicMilliseconds();
    if (this.liveness.noteSilence(this.sessionRuns.count))
      this.host.sessionSilent(this);
    if (this.sessionRuns.count === 0 || !this.liveness.isLeaseOver(now)) return;
    this.logger.warn(LogEvent.WorkerLeaseOver, {
      worker: this.id,
      runs: this.sessionRuns.count,
      silentMilliseconds: now - (this.silentFrom ?? now),
    });
    this.endAllRuns(RunEnd.Lost);
  }

  private endAllRuns(end: RunEnd): void {
    for (const run of [...this.runs.values()]) this.endRun(run, end, '');
  }

  private endRun(run: LiveRun, end: RunEnd, checkpoint: string): void {
    this.forget(run);
    this.host.runEnded(this, run, end, checkpoint);
  }
}

function isLarger(capacity: Resources, before: Resources): boolean {
  return (
    capacity.processorMillicores > before.processorMillicores ||
    capacity.memoryMegabytes > before.memoryMegabytes ||
    capacity.accelerators > before.accelerators
  );
}
