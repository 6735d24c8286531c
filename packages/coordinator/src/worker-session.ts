import {LogEvent, sleep, type Clock, type Logger} from '@gentiandoor/kernel';
import {RunEnd} from '@gentiandoor/jobs';
import {
  AnswerBound,
  LeaseClock,
  isStalled,
  timeUntilOverdue,
  type WorkerTrust,
  longestLease,
  type PlacementWorker,
} from '@gentiandoor/scheduling';
import {BestEffortPacer} from './best-effort-pacer.js';
import {EndCursor} from './end-cursor.js';
import {RunStatus, runName, type LiveRun} from './live-run.js';
import {
  hasLongRunningTask,
  placementView,
  valuedMillicores,
} from './session-room.js';
import {canStall, watchedRun} from './run-watch.js';
import {Signal} from './signal.js';
import {StrayRuns} from './stray-runs.js';
import {
  OrderOutcome,
  OrderRefusal,
  WorkerState,
  type EndedRun,
  type ListedRun,
  type PollResult,
  type WorkerEntry,
  type WorkerGateway,
} from './worker-gateway.js';

/** What a session needs of the coordinator. */
export interface SessionHost {
  readonly term: number;
  /** Lease that polls and starts give, in milliseconds. */
  readonly leaseMilliseconds: number;
  /** What is known of how workers fail. */
  readonly trust: WorkerTrust;
  /** How long any worker may take to answer a call that does not wait there: where all are slow, this daemon is. */
  readonly answerBoundMilliseconds: number;
  /** How long such calls take on average: more than a few milliseconds are this daemon's own. */
  readonly lagMilliseconds: number;
  /** Such a call was answered after so long. */
  noteAnswerTime(milliseconds: number): void;
  /** When this coordinator's term began. */
  readonly beganAt: number;
  ordersAllowed(): boolean;
  /** Whether work is ever placed on workers of a service: VMs of a standby pool are off. */
  usesWorkersOf(service: string): boolean;
  /** A worker has seen a higher fencing token. */
  fenced(): void;
  runEnded(
    session: WorkerSession,
    run: LiveRun,
    end: RunEnd,
    checkpoint: string,
  ): void;
  /** A run that was given up has ended after all. */
  lateEnd(ended: EndedRun): void;
  startRefused(
    session: WorkerSession,
    run: LiveRun,
    refusal: OrderRefusal,
  ): void;
  /** The worker does not answer: others near it may not either. */
  sessionSilent(session: WorkerSession): void;
  /** A run shows no progress any more. */
  runStalled(session: WorkerSession, run: LiveRun): void;
  /** Calls `then` when all ends read so far are stored. */
  afterStored(then: () => void): void;
  /** The worker can take starts again, or no longer. */
  sessionChanged(session: WorkerSession): void;
  /** The incarnation of the worker is over. */
  sessionOver(session: WorkerSession): void;
}

/** A poll waits so long for an end: a lease is renewed many times over its length, and a worker that falls silent is found within a second and a half where no start finds it before. */
const POLL_WAIT_MILLISECONDS = 750;
/** Two polls within the time that tells a run which stands still from a slow one. */
const OVERDUE_POLL_WAIT_MILLISECONDS = 300;
/** Ends that come close together are read with one poll. */
const POLL_GAP_MILLISECONDS = 40;
/** An idle worker's last ends are acknowledged after this, unless a start brings a poll anyway. */
const LAST_ACKNOWLEDGEMENT_MILLISECONDS = 400;
const RETRY_MILLISECONDS = 200;
/** A silent worker with nothing on it is only wanted back for new work. */
const IDLE_SILENCE_RETRY_MILLISECONDS = 1_000;
const START_TRIES = 3;
/** A start that is not answered by then is looked into: a worker answers within a few milliseconds. */
const START_DOUBT_MILLISECONDS = 150;
/** Bound of a probe: fifty times a worker's answer, and short against the second in which a burst brings dozens of starts. */
const PROBE_BOUND_MILLISECONDS = 200;
/** A daemon that lags so much waits no longer: the calls themselves are given up a little later. */
const LONGEST_DOUBT_MILLISECONDS = 700;
/** Workers that have answered so lately need no probe when others near them fall silent. */
const ANSWERED_LATELY_MILLISECONDS = 100;
/** An answer lists so many ends at most; the others follow. */
const MAXIMUM_ENDS_LISTED = 500;
/** Room for the time that our own step takes between a sum and its order. */
const LEASE_SLACK_MILLISECONDS = 300;

/**
 * Bound of workers' answers that are given at once, shared by all sessions of a coordinator.
 * Load: a turn that fills the coordinator's own link or processor. With a fixed bound every worker
 * seems silent, is asked again over new connections, and what is asked fills the link for good.
 */
export function newAnswerBound(): AnswerBound {
  return new AnswerBound(START_DOUBT_MILLISECONDS, LONGEST_DOUBT_MILLISECONDS);
}

/** Everything between the coordinator and one incarnation of a worker. */
export class WorkerSession {
  private readonly liveRuns = new Map<string, LiveRun>();
  /** What a placement sees of the worker, until its runs or its entry change. */
  private view: PlacementWorker | undefined;
  private readonly lease = new LeaseClock();
  private readonly pacer: BestEffortPacer;
  private readonly signal: Signal;
  private readonly strays: StrayRuns;
  private readonly ends: EndCursor;
  private tokenShown = false;
  private silentSince: number | undefined;
  private answeredAt = -Infinity;
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
    return this.liveRuns;
  }

  get entry(): WorkerEntry {
    return this.current;
  }

  get id(): string {
    return this.current.id;
  }

  /** Since when the worker does not answer; undefined while it does. */
  get silentFrom(): number | undefined {
    return this.silentSince;
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
      this.silentSince === undefined &&
      this.reservedFor === undefined &&
      !this.isDraining
    );
  }

  /** New, and not polled yet. */
  get isStarting(): boolean {
    return !this.tokenShown && this.silentSince === undefined;
  }

  /** Why new starts are kept away; undefined where they are not. */
  get reservation(): string | undefined {
    return this.reservedFor;
  }

  /** Millicores taken away from other work, weighed by what the work is still worth. */
  get valuedMillicores(): number {
    return valuedMillicores(this.runs.values(), this.current.room);
  }

  /** Whether a long-running task runs on it. */
  get hasLongRunningTask(): boolean {
    return hasLongRunningTask(this.runs.values());
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
    const before = this.takesStarts;
    this.listed = entry !== undefined;
    if (entry) this.current = entry;
    this.view = undefined;
    if (before !== this.takesStarts) this.host.sessionChanged(this);
    this.signal.notify();
  }

  /**
   * What a placement sees of the worker. Made anew for every worker and round it took a fifteenth of the
   * processor time of a coordinator at 480 starts a second on 100 workers.
   */
  placementView(now: number): PlacementWorker {
    const trust = this.host.trust.level(this.id, now);
    if (this.view?.trust !== trust)
      this.view = placementView(
        this.current,
        [...this.liveRuns.values()],
        trust,
      );
    return this.view;
  }

  /** Takes room for a run; the order follows with `order`. */
  expect(run: LiveRun): void {
    this.liveRuns.set(run.task, run);
    this.view = undefined;
    this.signal.notify();
  }

  /** Forgets a run of which it is known otherwise that it is over. */
  forget(run: LiveRun): void {
    this.liveRuns.delete(run.task);
    this.view = undefined;
  }

  /** Sends the order to start, until its fate is known. */
  async order(run: LiveRun): Promise<void> {
    for (let attempt = 0; attempt < START_TRIES; attempt++) {
      if (!this.isExpected(run)) return;
      if (run.stopAsked && attempt === 0) {
        this.end(run, RunEnd.Lost, '');
        return;
      }
      if (!(await this.waitUntilAllowed())) return;
      if (await this.sendStart(run, attempt > 0)) return;
      await sleep(this.clock, RETRY_MILLISECONDS);
    }
    // Not answered: it may still be carried out. A stop that is answered bars it for good.
    void this.stop(run);
  }

  /** Asks the worker to stop a run, until its fate is known. */
  async stop(run: LiveRun): Promise<void> {
    if (run.stopAsked) return;
    run.stopAsked = true;
    if (run.status === RunStatus.Planned) return;
    while (this.isExpected(run)) {
      if (!(await this.waitUntilAllowed())) return;
      const result = await this.gateway.stop(this.current, run, this.host.term);
      if (result.outcome !== OrderOutcome.Unknown) {
        if (this.handledRefusal(result)) return;
        run.settledAt = this.clock.monotonicMilliseconds();
        this.signal.notify();
        return;
      }
      await sleep(this.clock, RETRY_MILLISECONDS);
    }
  }

  /**
   * Asks for an answer beside the poll that waits. Without it a worker behind a cut is given starts
   * until that poll's bound, over two seconds, and each job with a task there waits for its lease.
   */
  async probe(): Promise<void> {
    const now = this.clock.monotonicMilliseconds();
    const isKnown =
      this.silentSince !== undefined ||
      now - this.answeredAt < ANSWERED_LATELY_MILLISECONDS;
    if (this.closed || this.probing || isKnown || !this.tokenShown) return;
    if (!this.host.ordersAllowed()) return;
    this.probing = true;
    const result = await this.gateway.poll(this.current, {
      fencingToken: this.host.term,
      endsStored: this.ends.stored,
      waitMilliseconds: 0,
      boundMilliseconds: Math.max(
        PROBE_BOUND_MILLISECONDS,
        this.host.answerBoundMilliseconds,
      ),
    });
    this.probing = false;
    if (this.closed) return;
    if (result.outcome === OrderOutcome.Done) this.noteSpeed(now);
    if (result.outcome === OrderOutcome.Done) this.notePoll(result, now);
    else if (!this.handledRefusal(result) && this.answeredAt < now)
      this.noteSilence();
  }

  /** All runs are over because the worker's incarnation is. */
  endIncarnation(reason: string): void {
    if (this.closed) return;
    this.logger.info(LogEvent.WorkerLeft, {
      worker: this.id,
      reason,
      runs: this.runs.size,
    });
    this.close();
    this.loseAllRuns();
    this.gateway.forget(this.current);
    this.host.sessionOver(this);
  }

  private async run(): Promise<void> {
    while (!this.closed) {
      if (this.isFinished()) {
        this.endIncarnation('entry removed');
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
    return !this.listed && this.runs.size === 0;
  }

  private needsPoll(): boolean {
    if (this.runs.size === 0 && !this.host.usesWorkersOf(this.current.service))
      return false;
    return (
      !this.tokenShown ||
      this.runs.size > 0 ||
      this.ends.hasUnacknowledged ||
      this.silentSince !== undefined
    );
  }

  private async poll(): Promise<void> {
    if (this.tokenShown && this.runs.size === 0)
      await this.signal.wait(LAST_ACKNOWLEDGEMENT_MILLISECONDS);
    if (this.closed) return;
    const requestedAt = this.clock.monotonicMilliseconds();
    const waits = this.runs.size > 0 && this.tokenShown;
    const endsStored = this.ends.stored;
    const waitMilliseconds =
      waits && this.silentSince === undefined ? this.pollWait(requestedAt) : 0;
    const result = await this.gateway.poll(this.current, {
      fencingToken: this.host.term,
      endsStored,
      leaseEndMilliseconds: this.nextLeaseEnd(requestedAt),
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
    return this.runs.size > 0
      ? RETRY_MILLISECONDS
      : IDLE_SILENCE_RETRY_MILLISECONDS;
  }

  private nextLeaseEnd(now: number): number | undefined {
    if (!this.lease.isKnown || this.runs.size === 0) return undefined;
    // A lease that goes on being offered to a silent worker would never be known to be over.
    if (this.silentSince !== undefined) return undefined;
    const leaseEnd = this.lease.leaseEnd(now, this.host.leaseMilliseconds);
    this.lease.noteGiven(leaseEnd);
    return leaseEnd;
  }

  private notePoll(
    result: Extract<PollResult, {outcome: OrderOutcome.Done}>,
    requestedAt: number,
  ): void {
    this.noteAnswer(result.clockMilliseconds);
    const shown = this.tokenShown;
    if (!shown) this.notePredecessorLease();
    this.tokenShown = true;
    const ended = this.noteEnds(result.ended);
    for (const listed of result.running) this.noteRunning(listed);
    if (result.ended.length < MAXIMUM_ENDS_LISTED)
      this.dropMissing(result.running, ended, requestedAt);
    this.pacer.adjust(result.running, this.runs);
    if (!shown) this.host.sessionChanged(this);
  }

  /** The coordinator before may have given a lease as long as ours just before its term ended. */
  private notePredecessorLease(): void {
    const now = this.clock.monotonicMilliseconds();
    this.lease.noteGiven(this.lease.leaseEnd(now, this.host.leaseMilliseconds));
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
    if (listed.checkpoint !== '')
      run.taskOfJob.progress.checkpoint = listed.checkpoint;
  }

  /** A settled run that a later poll shows neither alive nor ended never ran, or is long over. */
  private dropMissing(
    running: readonly ListedRun[],
    ended: ReadonlySet<string>,
    requestedAt: number,
  ): void {
    const alive = new Set(running.map(runName));
    for (const run of [...this.runs.values()]) {
      const name = runName(run);
      if (alive.has(name) || ended.has(name)) continue;
      const settled =
        run.status === RunStatus.Recovered || run.settledAt < requestedAt;
      if (settled) this.end(run, RunEnd.Lost, '');
    }
  }

  private async sendStart(run: LiveRun, retried: boolean): Promise<boolean> {
    const now = this.clock.monotonicMilliseconds();
    const leaseEnd = this.lease.leaseEnd(now, this.host.leaseMilliseconds);
    this.lease.noteGiven(leaseEnd);
    run.status = RunStatus.Ordered;
    run.orderedAt ??= now;
    const doubt = this.clock.schedule(
      this.host.answerBoundMilliseconds,
      () => void this.probe(),
    );
    const result = await this.gateway.start(this.current, {
      task: run.task,
      run: run.run,
      payload: run.execution.job.payload,
      leaseEndMilliseconds: leaseEnd,
      fencingToken: this.host.term,
      checkpoint: run.taskOfJob.progress.checkpoint,
      ticket: run.ticket,
    });
    doubt.cancel();
    if (result.outcome !== OrderOutcome.Unknown) this.noteSpeed(now);
    if (!this.isExpected(run)) return true;
    if (result.outcome === OrderOutcome.Unknown) return false;
    if (this.handledRefusal(result)) return true;
    if (result.outcome === OrderOutcome.Done) {
      this.noteAnswer(result.clockMilliseconds);
      run.status = RunStatus.Confirmed;
      run.settledAt = this.clock.monotonicMilliseconds();
      run.beganAt = run.settledAt;
      this.signal.notify();
      return true;
    }
    // A refusal of a second try says nothing of the first, which may still be carried out.
    if (retried) void this.stop(run);
    else {
      this.forget(run);
      this.host.startRefused(this, run, result.refusal);
    }
    return true;
  }

  /** Refusals that concern the whole session. */
  private handledRefusal(result: {
    readonly outcome: OrderOutcome;
    readonly refusal?: OrderRefusal;
  }): boolean {
    if (result.outcome !== OrderOutcome.Refused) return false;
    if (result.refusal === OrderRefusal.Fenced) {
      this.host.fenced();
      return true;
    }
    if (result.refusal === OrderRefusal.OtherIncarnation) {
      this.endIncarnation('another incarnation answers at its address');
      return true;
    }
    return false;
  }

  /** Notes how fast a call that does not wait at the worker was answered. */
  private noteSpeed(sentAt: number): void {
    this.host.noteAnswerTime(this.clock.monotonicMilliseconds() - sentAt);
  }

  private noteAnswer(clockMilliseconds: number): void {
    const now = this.clock.monotonicMilliseconds();
    this.lease.observe(clockMilliseconds, now);
    this.answeredAt = now;
    if (this.silentSince === undefined) return;
    this.logger.info(LogEvent.WorkerBack, {
      worker: this.id,
      silentMilliseconds: now - this.silentSince,
    });
    this.silentSince = undefined;
    // Nothing was seen of its runs meanwhile: they have not stood still.
    for (const run of this.runs.values()) run.progressedAt = now;
    this.host.sessionChanged(this);
  }

  private noteSilence(): void {
    const now = this.clock.monotonicMilliseconds();
    if (this.silentSince === undefined) {
      this.silentSince = now;
      this.logger.warn(LogEvent.WorkerSilent, {
        worker: this.id,
        runs: this.runs.size,
      });
      this.host.sessionSilent(this);
    }
    if (this.runs.size === 0 || !this.leaseIsOver(now)) return;
    this.logger.warn(LogEvent.WorkerLeaseOver, {
      worker: this.id,
      runs: this.runs.size,
      silentMilliseconds: now - this.silentSince,
    });
    this.loseAllRuns();
  }

  /** Whether nothing that was ever started on the worker can be alive. */
  private leaseIsOver(now: number): boolean {
    if (this.lease.isKnown) return this.lease.hasLapsed(now);
    const bound =
      this.host.beganAt +
      longestLease(this.host.leaseMilliseconds) +
      LEASE_SLACK_MILLISECONDS;
    return now > bound;
  }

  private loseAllRuns(): void {
    for (const run of [...this.runs.values()]) this.end(run, RunEnd.Lost, '');
  }

  private end(run: LiveRun, end: RunEnd, checkpoint: string): void {
    this.forget(run);
    this.host.runEnded(this, run, end, checkpoint);
  }

  private isExpected(run: LiveRun): boolean {
    return !this.closed && this.runs.get(run.task) === run;
  }

  /** Waits while the term is being renewed; false when the session is over. */
  private async waitUntilAllowed(): Promise<boolean> {
    while (!this.closed && !this.host.ordersAllowed())
      await sleep(this.clock, RETRY_MILLISECONDS / 4);
    return !this.closed;
  }
}
