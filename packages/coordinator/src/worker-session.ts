import {LogEvent, sleep, type Clock, type Logger} from '@gentiandoor/kernel';
import {RunEnd, SURVIVAL_MILLISECONDS} from '@gentiandoor/jobs';
import {
  AnswerBound,
  isStalled,
  timeUntilOverdue,
  type PlacementWorker,
} from '@gentiandoor/scheduling';
import {BestEffortPacer} from './best-effort-pacer.js';
import {EndCursor} from './end-cursor.js';
import {IncarnationEnd, isUnplanned} from './incarnation-end.js';
import {RunStatus, aliveSince, runName, type LiveRun} from './live-run.js';
import {RunOrders, type RunOrderHost} from './run-orders.js';
import {canStall, watchedRun} from './run-watch.js';
import type {SessionHost} from './session-host.js';
import {SessionRuns} from './session-runs.js';
import {Signal} from './signal.js';
import {StrayRuns} from './stray-runs.js';
import {
  OrderOutcome,
  OrderRefusal,
  WorkerState,
  type EndedRun,
  type ListedRun,
  type PollResult,
  type Room,
  type WorkerEntry,
  type WorkerGateway,
} from './worker-gateway.js';
import {WorkerPresence} from './worker-presence.js';

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
/** Start timeout after which the worker is polled for the run's fate. */
const START_TIMEOUT_MILLISECONDS = 150;
const PROBE_TIMEOUT_MILLISECONDS = 200;
/** Upper limit of the start timeout while this daemon is overloaded. */
const LONGEST_START_TIMEOUT_MILLISECONDS = 700;
/** Page size of the list of ends. */
const MAXIMUM_ENDS_LISTED = 500;

/**
 * Bound of workers' answers that are given at once, shared by all sessions of a coordinator.
 * Load: a turn that fills the coordinator's own link or processor. With a fixed bound every worker
 * seems silent, is asked again over new connections, and what is asked fills the link for good.
 */
export function newAnswerBound(): AnswerBound {
  return new AnswerBound(
    START_TIMEOUT_MILLISECONDS,
    LONGEST_START_TIMEOUT_MILLISECONDS,
  );
}

/** Everything between the coordinator and one incarnation of a worker. */
export class WorkerSession implements RunOrderHost {
  private readonly live = new SessionRuns();
  private readonly presence: WorkerPresence;
  private readonly orders: RunOrders;
  private readonly pacer: BestEffortPacer;
  private readonly signal: Signal;
  private readonly strays: StrayRuns;
  private readonly ends: EndCursor;
  private tokenShown = false;
  private probing = false;
  private closed = false;
  private listed = true;
  private reservedFor: string | undefined;

  constructor(
    private current: WorkerEntry,
    private readonly host: SessionHost,
    private readonly gateway: WorkerGateway,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    this.signal = new Signal(clock);
    this.presence = new WorkerPresence(current.id, host, clock, logger);
    this.orders = new RunOrders(this, this.presence, gateway, clock);
    this.ends = new EndCursor(
      then => host.afterStored(then),
      () => this.signal.notify(),
    );
    this.strays = new StrayRuns(
      run => gateway.stop(this.current, run, host.term),
      logger,
    );
    this.pacer = new BestEffortPacer((run, percent) =>
      gateway.pace(this.current, run, percent, host.term),
    );
  }

  /** Runs that may be alive on the worker, by task. */
  get runs(): ReadonlyMap<string, LiveRun> {
    return this.live.all;
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

  get answerBoundMilliseconds(): number {
    return this.host.answerBoundMilliseconds;
  }

  /** Since when the worker does not answer; undefined while it does. */
  get silentFrom(): number | undefined {
    return this.presence.silentFrom;
  }

  get isDraining(): boolean {
    return this.current.state === WorkerState.Draining;
  }

  /** Whether a start may be ordered now. */
  get takesStarts(): boolean {
    return (
      !this.closed &&
      this.listed &&
      this.host.usesWorkersOf(this.current.service) &&
      this.tokenShown &&
      !this.presence.isSilent &&
      this.reservedFor === undefined &&
      !this.isDraining &&
      (this.guardsRoom || (this.host.knowsRooms() && !this.strays.areListed))
    );
  }

  private get guardsRoom(): boolean {
    return this.host.guardsRoom(this.current.service);
  }

  /** New, and not polled yet. */
  get isStarting(): boolean {
    return !this.tokenShown && !this.presence.isSilent;
  }

  /** Why new starts are kept away; undefined where they are not. */
  get reservation(): string | undefined {
    return this.reservedFor;
  }

  /** Millicores taken away from other work, weighed by what the work is still worth. */
  get valuedMillicores(): number {
    return this.live.valuedMillicores(this.current.room);
  }

  /** Whether a long-running task runs on it. */
  get hasLongRunningTask(): boolean {
    return this.live.hasLongRunningTask;
  }

  /** Keeps new starts away while the VM is to be moved or maintained. */
  reserve(purpose: string | undefined): void {
    if (this.reservedFor === purpose) return;
    this.reservedFor = purpose;
    this.host.sessionChanged(this);
  }

  start(): void {
    void this.run();
  }

  close(): void {
    this.closed = true;
    this.signal.notify();
  }

  /** Takes the worker's newest entry; undefined when it has none any more. */
  update(entry: WorkerEntry | undefined): void {
    const tookStarts = this.takesStarts;
    const hasGrown =
      entry !== undefined && isLarger(entry.room, this.current.room);
    this.listed = entry !== undefined;
    if (entry) this.current = entry;
    this.live.entryChanged();
    if (hasGrown || tookStarts !== this.takesStarts)
      this.host.sessionChanged(this);
    this.signal.notify();
  }

  /** What a placement sees of the worker. */
  placementView(now: number): PlacementWorker {
    const trust = this.host.trust.level(this.id, now);
    return this.live.placementView(this.current, trust, now);
  }

  /** Takes room for a run; the order follows with `order`. */
  expect(run: LiveRun): void {
    this.live.add(run);
    this.signal.notify();
  }

  /** Forgets a run of which it is known otherwise that it is over. */
  forget(run: LiveRun): void {
    this.live.remove(run);
  }

  /** Sends the order to start, until its fate is known. */
  order(run: LiveRun): Promise<void> {
    return this.orders.start(run);
  }

  /** Asks the worker to stop a run, until its fate is known. */
  stop(run: LiveRun): Promise<void> {
    return this.orders.stop(run);
  }

  /**
   * Asks for an answer beside the poll that waits. Without it a worker behind a cut is given starts
   * until that poll's bound, over two seconds, and each job with a task there waits for its lease.
   */
  async probe(): Promise<void> {
    const now = this.clock.monotonicMilliseconds();
    if (this.closed || this.probing || !this.tokenShown) return;
    if (this.presence.isKnownAt(now) || !this.host.ordersAllowed()) return;
    this.probing = true;
    const result = await this.gateway.poll(this.current, {
      fencingToken: this.host.term,
      endsStored: this.ends.stored,
      waitMilliseconds: 0,
      boundMilliseconds: Math.max(
        PROBE_TIMEOUT_MILLISECONDS,
        this.host.answerBoundMilliseconds,
      ),
    });
    this.probing = false;
    if (this.closed) return;
    if (result.outcome === OrderOutcome.Done) {
      this.noteSpeed(now);
      this.notePoll(result, now);
    } else if (
      !this.handledRefusal(result) &&
      !this.presence.hasAnsweredSince(now)
    )
      this.noteSilence();
  }

  /** All runs are over because the worker's incarnation is. */
  endIncarnation(end: IncarnationEnd): void {
    if (this.closed) return;
    const hasCrashed = isUnplanned(end) && !this.isDraining;
    this.logger.info(LogEvent.WorkerLeft, {
      worker: this.id,
      reason: end,
      hasCrashed,
      runs: this.live.count,
    });
    this.close();
    this.endAllRuns(hasCrashed ? RunEnd.Crashed : RunEnd.Lost);
    this.gateway.forget(this.current);
    this.host.sessionOver(this);
  }

  /** Its room may have shrunk since the run was placed, and the worker may start it all the same. */
  hasRoomFor(run: LiveRun): boolean {
    if (this.guardsRoom) return true;
    return this.host.knowsRooms() && this.live.hasRoomFor(run, this.current);
  }

  isExpected(run: LiveRun): boolean {
    return !this.closed && this.live.has(run);
  }

  async waitUntilAllowed(): Promise<boolean> {
    while (!this.closed && !this.host.ordersAllowed())
      await sleep(this.clock, RETRY_MILLISECONDS / 4);
    return !this.closed;
  }

  noteSpeed(sentAt: number): void {
    this.host.noteAnswerTime(this.clock.monotonicMilliseconds() - sentAt);
  }

  noteAnswer(clockMilliseconds: number): void {
    if (!this.presence.noteAnswer(clockMilliseconds)) return;
    this.live.restartStallWatch(this.clock.monotonicMilliseconds());
    this.host.sessionChanged(this);
  }

  handledRefusal(result: {
    readonly outcome: OrderOutcome;
    readonly refusal?: OrderRefusal;
  }): boolean {
    if (result.outcome !== OrderOutcome.Refused) return false;
    if (result.refusal === OrderRefusal.Fenced) {
      this.host.fenced();
      return true;
    }
    if (result.refusal === OrderRefusal.OtherIncarnation) {
      this.endIncarnation(IncarnationEnd.Replaced);
      return true;
    }
    return false;
  }

  neverStarted(run: LiveRun): void {
    this.end(run, RunEnd.Lost, '');
  }

  startRefused(run: LiveRun, refusal: OrderRefusal): void {
    this.forget(run);
    if (refusal === OrderRefusal.NoRoom)
      this.live.noteNoRoom(this.clock.monotonicMilliseconds());
    this.host.startRefused(this, run, refusal);
  }

  settled(): void {
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

  /** The worker has no entry any more and nothing on it is in doubt. */
  private isFinished(): boolean {
    return !this.listed && this.live.count === 0;
  }

  private needsPoll(): boolean {
    const {count} = this.live;
    if (count === 0 && !this.host.usesWorkersOf(this.current.service))
      return false;
    return (
      !this.tokenShown ||
      count > 0 ||
      this.ends.hasUnacknowledged ||
      this.presence.isSilent
    );
  }

  private async poll(): Promise<void> {
    if (this.tokenShown && this.live.count === 0)
      await this.signal.wait(LAST_ACKNOWLEDGEMENT_MILLISECONDS);
    if (this.closed) return;
    const requestedAt = this.clock.monotonicMilliseconds();
    const waits = this.live.count > 0 && this.tokenShown;
    const endsStored = this.ends.stored;
    const waitMilliseconds =
      waits && !this.presence.isSilent ? this.pollWait(requestedAt) : 0;
    const result = await this.gateway.poll(this.current, {
      fencingToken: this.host.term,
      endsStored,
      leaseEndMilliseconds:
        this.live.count > 0
          ? this.presence.leaseForPoll(requestedAt)
          : undefined,
      waitMilliseconds,
    });
    if (this.closed) return;
    if (result.outcome === OrderOutcome.Done) {
      if (waitMilliseconds === 0) this.noteSpeed(requestedAt);
      this.ends.noteAcknowledged(endsStored);
      this.notePoll(result, requestedAt);
    } else if (!this.handledRefusal(result)) this.noteSilence();
    await sleep(this.clock, this.gapAfter(result.outcome));
  }

  /** A run that should have ended is looked at soon again: its progress shows whether it stands still. */
  private pollWait(now: number): number {
    let wait = POLL_WAIT_MILLISECONDS;
    for (const run of this.runs.values())
      if (canStall(run))
        wait = Math.min(wait, timeUntilOverdue(watchedRun(run, now)));
    return Math.round(Math.max(OVERDUE_POLL_WAIT_MILLISECONDS, wait));
  }

  private gapAfter(outcome: OrderOutcome): number {
    // A coordinator that lags reads more ends with each poll: polls cost it as much as starts.
    if (outcome === OrderOutcome.Done)
      return POLL_GAP_MILLISECONDS + this.host.lagMilliseconds;
    return this.live.count > 0
      ? RETRY_MILLISECONDS
      : IDLE_SILENCE_RETRY_MILLISECONDS;
  }

  private notePoll(
    result: Extract<PollResult, {outcome: OrderOutcome.Done}>,
    requestedAt: number,
  ): void {
    this.noteAnswer(result.clockMilliseconds);
    const shown = this.tokenShown;
    if (!shown) this.presence.notePredecessorLease();
    this.tokenShown = true;
    const ended = this.noteEnds(result.ended);
    const hadStrays = this.strays.areListed;
    this.strays.beginList();
    for (const listed of result.running) this.noteRunning(listed);
    if (result.ended.length < MAXIMUM_ENDS_LISTED)
      for (const run of this.live.missingFrom(
        result.running,
        ended,
        requestedAt,
      ))
        this.end(run, RunEnd.Lost, '');
    this.pacer.adjust(result.running, this.runs);
    if (!shown || (hadStrays && !this.strays.areListed))
      this.host.sessionChanged(this);
  }

  private noteEnds(ended: readonly EndedRun[]): Set<string> {
    const names = new Set<string>();
    for (const item of ended) {
      names.add(runName(item));
      if (!this.ends.isNew(item.number)) continue;
      const run = this.runs.get(item.task);
      if (run?.run === item.run) this.end(run, item.end, item.checkpoint);
      else this.host.lateEnd(item);
    }
    this.ends.acknowledgeWhenStored();
    return names;
  }

  private noteRunning(listed: ListedRun): void {
    const run = this.runs.get(listed.task);
    if (!run || run.run !== listed.run) {
      void this.strays.stop(this.id, listed);
      return;
    }
    const now = this.clock.monotonicMilliseconds();
    if (run.status !== RunStatus.Confirmed) {
      run.status = RunStatus.Confirmed;
      run.settledAt = now;
    }
    if (run.percent !== listed.percent) {
      run.percent = listed.percent;
      run.progressedAt = now;
    } else if (canStall(run) && isStalled(watchedRun(run, now)))
      this.host.runStalled(this, run);
    const aliveFor = now - (aliveSince(run) ?? now);
    if (aliveFor >= SURVIVAL_MILLISECONDS) this.host.runSurvived(run);
    if (listed.checkpoint !== '')
      run.taskOfJob.progress.checkpoint = listed.checkpoint;
  }

  private noteSilence(): void {
    const now = this.clock.monotonicMilliseconds();
    if (this.presence.noteSilence(this.live.count))
      this.host.sessionSilent(this);
    if (this.live.count === 0 || !this.presence.isLeaseOver(now)) return;
    this.logger.warn(LogEvent.WorkerLeaseOver, {
      worker: this.id,
      runs: this.live.count,
      silentMilliseconds: now - (this.silentFrom ?? now),
    });
    this.endAllRuns(RunEnd.Lost);
  }

  private endAllRuns(end: RunEnd): void {
    for (const run of [...this.runs.values()]) this.end(run, end, '');
  }

  private end(run: LiveRun, end: RunEnd, checkpoint: string): void {
    this.forget(run);
    this.host.runEnded(this, run, end, checkpoint);
  }
}

function isLarger(room: Room, before: Room): boolean {
  return (
    room.processorMillicores > before.processorMillicores ||
    room.memoryMegabytes > before.memoryMegabytes ||
    room.accelerators > before.accelerators
  );
}
