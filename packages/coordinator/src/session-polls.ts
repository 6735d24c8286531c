import {sleep, type Clock, type Logger} from '@gentiandoor/kernel';
import {CRASH_RESET_MILLISECONDS, RunEnd} from '@gentiandoor/jobs';
import {isStalled, timeUntilOverdue} from '@gentiandoor/scheduling';
import type {AutoResetEvent} from './auto-reset-event.js';
import {BestEffortThrottle} from './best-effort-throttle.js';
import {
  LATEST_EXECUTION_MILLISECONDS,
  isOverIfUnlisted,
  noteListed,
} from './carried-runs.js';
import {EndCursor} from './end-cursor.js';
import {RunStatus, aliveSince, runName, type LiveRun} from './live-run.js';
import {canStall, toObservedRun} from './observed-run.js';
import type {SessionHost} from './session-host.js';
import type {SessionRuns} from './session-runs.js';
import {UnexpectedRuns} from './unexpected-runs.js';
import {
  OrderOutcome,
  type EndedRun,
  type ListedRun,
  type OrderRefusal,
  type PollResult,
  type WorkerGateway,
} from './worker-gateway.js';
import type {WorkerHandle} from './worker-handle.js';
import {reportsStart} from './worker-incarnation.js';
import type {WorkerLiveness} from './worker-liveness.js';

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
/**
 * A worker that may still start tasks late is polled this often while it is idle: a late
 * task of a cancelled job must be stopped soon after 4 s.
 */
const WATCH_INTERVAL_MILLISECONDS = 1_500;
const PROBE_TIMEOUT_MILLISECONDS = 200;
/** Page size of the list of ends. */
const MAXIMUM_ENDS_LISTED = 500;

/** The session that polls belong to. */
export interface PollingSession extends WorkerHandle {
  readonly isClosed: boolean;
  /**
   * Returns whether a result was a refusal that concerns the whole session, and handles
   * it if so.
   */
  handledRefusal(result: {
    readonly outcome: OrderOutcome;
    readonly refusal?: OrderRefusal;
  }): boolean;
  noteResponseTime(sentAt: number): void;
  noteAnswer(clockMilliseconds: number): void;
  noteSilence(): void;
  /** Records that the start order of a run was carried out. */
  noteStartExecuted(run: LiveRun): void;
  /** Records that the worker does not list a run, though its order may still be carried out. */
  noteStartInDoubt(run: LiveRun): void;
  endRun(run: LiveRun, end: RunEnd, checkpoint: string): void;
}

/** Dependencies of the polls of one session. */
export interface SessionPollParts {
  readonly session: PollingSession;
  readonly host: SessionHost;
  readonly sessionRuns: SessionRuns;
  readonly liveness: WorkerLiveness;
  /** Notified when the next poll should be sent. */
  readonly signal: AutoResetEvent;
  readonly gateway: WorkerGateway;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Polls one worker, and applies what its responses say about its runs. */
export class SessionPolls {
  private readonly ends: EndCursor;
  private readonly unexpectedRuns: UnexpectedRuns;
  private readonly throttle: BestEffortThrottle;
  private seenToken = false;
  private pendingProbe: Promise<void> | undefined;
  private polledAt = -Infinity;
  private readonly startedAt: number;

  constructor(private readonly parts: SessionPollParts) {
    const {session, host, signal, gateway, clock, logger} = parts;
    this.startedAt = clock.monotonicMilliseconds();
    this.ends = new EndCursor(
      then => host.afterStored(then),
      () => signal.notify(),
    );
    this.unexpectedRuns = new UnexpectedRuns(
      run => gateway.stop(session.entry, run, host.term),
      logger,
    );
    this.throttle = new BestEffortThrottle((run, percent) =>
      gateway.throttle(session.entry, run, percent, host.term),
    );
  }

  /** Whether the worker has responded to this term, so that it refuses earlier terms. */
  get hasSeenToken(): boolean {
    return this.seenToken;
  }

  /** Whether the worker listed runs that nobody expects there. */
  get hasUnexpectedRuns(): boolean {
    return this.unexpectedRuns.areListed;
  }

  /** Whether there is something to learn from the worker, or to acknowledge to it. */
  get isDue(): boolean {
    const {session, host, sessionRuns, liveness} = this.parts;
    const {count} = sessionRuns;
    if (count === 0 && !host.usesWorkersOf(session.entry.service)) return false;
    return (
      !this.seenToken ||
      count > 0 ||
      this.ends.hasUnacknowledged ||
      liveness.isSilent ||
      this.watchDelayMilliseconds === 0
    );
  }

  /**
   * Time until the worker is to be polled although nothing is known to be due; undefined
   * if it is not. An order to a former incarnation of the worker may be executed by this
   * one after its first poll.
   */
  get watchDelayMilliseconds(): number | undefined {
    const {session, host, clock} = this.parts;
    const now = clock.monotonicMilliseconds();
    const isWatched =
      reportsStart(session.entry) &&
      host.usesWorkersOf(session.entry.service) &&
      now < this.startedAt + LATEST_EXECUTION_MILLISECONDS;
    if (!isWatched) return undefined;
    const delay = this.polledAt + WATCH_INTERVAL_MILLISECONDS - now;
    return Math.max(0, Math.ceil(delay));
  }

  /** Polls the worker once and pauses until the next poll may be sent. */
  async poll(): Promise<void> {
    const {session, host, sessionRuns, liveness, signal, gateway, clock} =
      this.parts;
    if (this.seenToken && sessionRuns.count === 0)
      await signal.wait(LAST_ACKNOWLEDGEMENT_MILLISECONDS);
    if (session.isClosed) return;
    const requestedAt = clock.monotonicMilliseconds();
    this.polledAt = requestedAt;
    const isLongPoll = sessionRuns.count > 0 && this.seenToken;
    const acknowledgedEnd = this.acknowledgedEnd;
    const waitMilliseconds =
      isLongPoll && !liveness.isSilent ? this.pollWait(requestedAt) : 0;
    const result = await gateway.poll(session.entry, {
      fencingToken: host.term,
      acknowledgedEnd,
      leaseEndMilliseconds:
        sessionRuns.count > 0 ? liveness.leaseForPoll(requestedAt) : undefined,
      waitMilliseconds,
    });
    if (session.isClosed) return;
    if (result.outcome === OrderOutcome.Done) {
      if (waitMilliseconds === 0) session.noteResponseTime(requestedAt);
      if (acknowledgedEnd > 0) this.ends.noteAcknowledged(acknowledgedEnd);
      this.notePoll(result, requestedAt);
    } else if (!session.handledRefusal(result)) session.noteSilence();
    await sleep(clock, this.pollDelayAfter(result.outcome));
  }

  /**
   * Polls the worker without waiting, in parallel to a pending long poll. Without it an
   * unreachable worker is given starts until that poll times out, after more than two
   * seconds, and each job with a task there waits for the lease to expire.
   */
  async probe(): Promise<void> {
    const {host, liveness, clock} = this.parts;
    const now = clock.monotonicMilliseconds();
    if (!this.seenToken || liveness.isProbeRedundant(now)) return;
    if (host.ordersAllowed()) await this.sendProbe();
  }

  /** Polls the worker without waiting; resolves to whether it responded. */
  async isResponding(): Promise<boolean> {
    const {session, liveness, clock} = this.parts;
    const now = clock.monotonicMilliseconds();
    await this.sendProbe();
    return !session.isClosed && liveness.hasAnsweredSince(now);
  }

  private sendProbe(): Promise<void> {
    this.pendingProbe ??= this.requestProbe().finally(() => {
      this.pendingProbe = undefined;
    });
    return this.pendingProbe;
  }

  private async requestProbe(): Promise<void> {
    const {session, host, liveness, gateway, clock} = this.parts;
    if (session.isClosed) return;
    const now = clock.monotonicMilliseconds();
    const result = await gateway.poll(session.entry, {
      fencingToken: host.term,
      acknowledgedEnd: this.acknowledgedEnd,
      waitMilliseconds: 0,
      timeoutMilliseconds: Math.max(
        PROBE_TIMEOUT_MILLISECONDS,
        host.responseTimeoutMilliseconds,
      ),
    });
    if (session.isClosed) return;
    if (result.outcome === OrderOutcome.Done) {
      session.noteResponseTime(now);
      this.notePoll(result, now);
    } else if (
      !session.handledRefusal(result) &&
      !liveness.hasAnsweredSince(now)
    )
      session.noteSilence();
  }

  /**
   * Number of the latest end to acknowledge with the next poll. A worker that restarted
   * forgets ends of its new incarnation that the poll acknowledges, so a worker that
   * reports its start is sent each acknowledgement once, and none while it is silent.
   */
  private get acknowledgedEnd(): number {
    const {session, liveness} = this.parts;
    const isWithheld =
      reportsStart(session.entry) &&
      (liveness.isSilent || !this.ends.hasUnacknowledged);
    return isWithheld ? 0 : this.ends.stored;
  }

  /**
   * Returns how long a poll may wait. An overdue run is checked again soon: its progress
   * shows whether it has stalled.
   */
  private pollWait(now: number): number {
    let wait = POLL_WAIT_MILLISECONDS;
    for (const run of this.parts.session.runs.values())
      if (canStall(run))
        wait = Math.min(wait, timeUntilOverdue(toObservedRun(run, now)));
    return Math.round(Math.max(OVERDUE_POLL_WAIT_MILLISECONDS, wait));
  }

  private pollDelayAfter(outcome: OrderOutcome): number {
    // A lagging coordinator reads more ends with each poll, and polls cost it as much as
    // starts.
    if (outcome === OrderOutcome.Done)
      return POLL_GAP_MILLISECONDS + this.parts.host.meanResponseMilliseconds;
    return this.parts.sessionRuns.count > 0
      ? RETRY_MILLISECONDS
      : IDLE_SILENCE_RETRY_MILLISECONDS;
  }

  private notePoll(
    result: Extract<PollResult, {outcome: OrderOutcome.Done}>,
    requestedAt: number,
  ): void {
    const {session, host, sessionRuns, liveness} = this.parts;
    session.noteAnswer(result.clockMilliseconds);
    const hadSeenToken = this.seenToken;
    if (!hadSeenToken) liveness.notePredecessorLease();
    this.seenToken = true;
    const ended = this.noteEnds(result.ended);
    const hadUnexpectedRuns = this.hasUnexpectedRuns;
    this.unexpectedRuns.beginList();
    for (const listed of result.running) this.noteRunning(listed);
    if (result.ended.length < MAXIMUM_ENDS_LISTED)
      for (const run of sessionRuns.missingFrom(result.running, ended))
        this.noteUnlisted(run, requestedAt);
    this.throttle.adjust(result.running, session.runs);
    if (!hadSeenToken || (hadUnexpectedRuns && !this.hasUnexpectedRuns))
      host.sessionChanged(session);
  }

  private noteEnds(ended: readonly EndedRun[]): Set<string> {
    const {session, host} = this.parts;
    const names = new Set<string>();
    for (const item of ended) {
      names.add(runName(item));
      if (!this.ends.markRead(item.number)) continue;
      const run = session.runs.get(item.task);
      if (run?.run === item.run) session.endRun(run, item.end, item.checkpoint);
      else host.lateRunEnded(item);
    }
    this.ends.acknowledgeWhenStored();
    return names;
  }

  /** Handles a run that a poll sent at `requestedAt` lists neither as alive nor as ended. */
  private noteUnlisted(run: LiveRun, requestedAt: number): void {
    const {session, host} = this.parts;
    if (isOverIfUnlisted(run, session.entry, requestedAt, host))
      session.endRun(run, run.carriedFrom?.end ?? RunEnd.Lost, '');
    else if (run.status === RunStatus.Recovered) session.noteStartInDoubt(run);
  }

  private noteRunning(listed: ListedRun): void {
    const {session, host, liveness, clock} = this.parts;
    const run = session.runs.get(listed.task);
    if (!run || run.run !== listed.run) {
      void this.unexpectedRuns.stop(session.id, listed);
      return;
    }
    const now = clock.monotonicMilliseconds();
    if (run.carriedFrom)
      liveness.noteFormerLease(host.maximumLeaseMilliseconds);
    noteListed(run, now);
    session.noteStartExecuted(run);
    if (run.status !== RunStatus.Confirmed) {
      run.status = RunStatus.Confirmed;
      run.orderAnsweredAt = now;
    }
    if (run.percent !== listed.percent) {
      run.percent = listed.percent;
      run.percentChangedAt = now;
    } else if (canStall(run) && isStalled(toObservedRun(run, now)))
      host.runStalled(session, run);
    const aliveFor = now - (aliveSince(run) ?? now);
    if (aliveFor >= CRASH_RESET_MILLISECONDS) host.runSurvived(run);
    if (listed.checkpoint !== '')
      run.executableTask.progress.checkpoint = listed.checkpoint;
  }
}
