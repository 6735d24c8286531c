import {
  LogEvent,
  sleep,
  supervise,
  type Clock,
  type Logger,
  type RandomSource,
} from '@gentiandoor/kernel';
import type {KeyedRecord} from '@gentiandoor/jobs';
import {DaemonRoster} from './daemon-roster.js';
import {TermHistory, readTermAges, type TermAge} from './term-history.js';
import {
  AppendOutcome,
  LogStream,
  ReadOutcome,
  type RecordLog,
} from './record-log.js';

/** Shortest term, measured from when the last successful renewal was sent. */
const MINIMUM_TERM_MILLISECONDS = 800;
/** Longest term, used while the store responds slowly. */
const MAXIMUM_TERM_MILLISECONDS = 1_300;
/** Store response times added to the shortest term, so that two renewals fit into a term. */
const RESPONSE_TIMES_PER_TERM = 4;
/** Renewal interval; short enough that one renewal per term may be lost. */
const RENEWAL_MILLISECONDS = 250;
/** Allowance for clock drift and local processing delays before an expired term is replaced. */
const TERM_EXPIRY_MARGIN_MILLISECONDS = 150;
/** Maximum jitter of a candidacy, so that candidates do not all try at once. */
const CANDIDACY_JITTER_MILLISECONDS = 120;
const WATCH_TIMEOUT_MILLISECONDS = 1_000;
const RETRY_MILLISECONDS = 100;
/** How long a weaker daemon waits so that a stronger one can take the term first. */
const STRONGER_CANDIDATE_PRECEDENCE_MILLISECONDS = 400;
/**
 * Minimum interval at which a weaker daemon reads the term while a stronger one could take it.
 * Without it each of forty daemons reads every renewal, which together makes up most of the
 * requests to the store when there is little load.
 */
const WEAK_CANDIDATE_POLL_INTERVAL_MILLISECONDS = 500;
/**
 * On the first start of a deployment, candidates wait this long for each other's roster records.
 */
const FIRST_START_MILLISECONDS = 700;
/**
 * A larger drift between the wall clock and the monotonic clock means that the VM was suspended.
 */
const CLOCK_DRIFT_MILLISECONDS = 200;

/** Far above any term that daemons reach one by one, far below the largest safe whole number. */
const HIGHEST_TERM = 2 ** 40;

/**
 * Largest distance to the next term after terms in which no order was accepted: a thousand terms are
 * more than daemons take in a day.
 */
const MAXIMUM_TERM_STEP = 1_024;

/** Key of the term record. */
export const TERM_KEY = 'coordinator';

/** Term of the current coordinator as stored. */
export interface TermRecord {
  readonly term: number;
  readonly holder: string;
  readonly incarnation: string;
  readonly released: boolean;
  /**
   * Validity from when this record was sent; other daemons wait this long before they take the next
   * term.
   */
  readonly validMilliseconds: number;
  /** How long ago this and the latest earlier terms began; daemons of earlier versions write none. */
  readonly ages?: readonly TermAge[];
}

/** Notified when a term of this daemon begins or ends. */
export interface TermListener {
  onTermStarted(term: number): void;
  onTermEnded(): void;
}

/** Identity and strength of this daemon in the election. */
export interface TermCandidate {
  readonly node: string;
  readonly incarnation: string;
  /** Load that its VM can carry as the coordinator; in any unit that all daemons share. */
  readonly strength: number;
  /** Whether all daemons start for the first time. */
  readonly isFirstStart: boolean;
}

/**
 * Elects at most one daemon as the coordinator: a term record is appended only if the stream still
 * ends at the offset its writer has read. Among the daemons that could take the next term, the
 * strongest try first.
 */
export class CoordinatorElection {
  private endOffset = 0;
  private current: TermRecord | undefined;
  private changedAt = 0;
  private validUntil = -Infinity;
  /** Response time of the latest successful write to the store. */
  private writeResponseMilliseconds = 0;
  private wallClockOffset = 0;
  private isHolder = false;
  private stopping = false;
  private resigning = false;
  /** Terms of this daemon in a row in which no order was accepted. */
  private resignedTerms = 0;
  private finished: Promise<void> | undefined;
  private startedAt = 0;
  private readonly roster: DaemonRoster;
  private readonly history: TermHistory;
  /** Value of `changedAt` when the roster was last read. */
  private rosterReadAtChange: number | undefined;

  constructor(
    private readonly log: RecordLog,
    private readonly candidate: TermCandidate,
    private readonly clock: Clock,
    private readonly random: RandomSource,
    private readonly logger: Logger,
    private readonly listener: TermListener,
  ) {
    this.history = new TermHistory(clock);
    const {node, strength} = candidate;
    this.roster = new DaemonRoster(log, node, strength, clock, logger);
  }

  /** Whether this daemon holds a valid term and may issue orders now. */
  get isValid(): boolean {
    if (!this.isHolder) return false;
    if (this.clock.monotonicMilliseconds() >= this.validUntil) return false;
    const drift = Math.abs(this.wallOffset() - this.wallClockOffset);
    return drift < CLOCK_DRIFT_MILLISECONDS;
  }

  start(): void {
    this.finished = this.run();
  }

  /** Returns a time at which an earlier term was over; the present time if that is not known. */
  endOfTerm(term: number): number {
    return this.history.endOf(term);
  }

  /**
   * Releases the term because its coordinator can give no orders in it; this daemon stays a candidate
   * for the next one.
   */
  resign(): void {
    if (this.isHolder && !this.resigning) this.resignedTerms++;
    this.resigning = this.isHolder;
  }

  /** Releases the term, so that the next coordinator can start immediately. */
  async stop(): Promise<void> {
    this.stopping = true;
    await this.finished;
  }

  private async run(): Promise<void> {
    this.startedAt = this.clock.monotonicMilliseconds();
    const isStopped = () => this.stopping;
    const {clock, logger} = this;
    void supervise({
      name: 'announcement',
      clock,
      logger,
      isStopped,
      run: () => this.roster.announce(isStopped),
    });
    await supervise({
      name: 'election',
      clock,
      logger,
      isStopped,
      run: () => this.takePart(),
    });
    if (this.isHolder) await this.release();
  }

  private async takePart(): Promise<void> {
    while (!this.stopping && !(await this.readCurrent()))
      await this.pause(RETRY_MILLISECONDS);
    // After a failure, another daemon may have taken the term meanwhile.
    if (this.current && !this.isOwn(this.current))
      this.loseTerm('another daemon has taken it');
    while (!this.stopping) {
      if (this.isHolder && this.resigning) await this.release();
      else if (this.isHolder) await this.renew();
      else await this.watch();
    }
  }

  private async renew(): Promise<void> {
    const pause = this.isValid ? RENEWAL_MILLISECONDS : RETRY_MILLISECONDS;
    await this.pause(pause);
    if (this.stopping || this.resigning || !this.current) return;
    await this.write({
      ...this.current,
      released: false,
      validMilliseconds: this.termMilliseconds(),
    });
  }

  private async watch(): Promise<void> {
    const remainingMilliseconds =
      this.candidacyAt() - this.clock.monotonicMilliseconds();
    if (remainingMilliseconds > 0) {
      await this.watchFor(remainingMilliseconds);
      return;
    }
    if (this.rosterReadAtChange !== this.changedAt) {
      if (!(await this.readRoster())) await this.pause(RETRY_MILLISECONDS);
      return;
    }
    if (this.roster.hasStrongerDaemon && !(await this.staysVacant())) return;
    const term = (this.current?.term ?? 0) + this.termStep();
    const written = await this.write({
      term,
      holder: this.candidate.node,
      incarnation: this.candidate.incarnation,
      released: false,
      validMilliseconds: this.termMilliseconds(),
    });
    if (!written) await this.pause(RETRY_MILLISECONDS);
  }

  private async watchFor(milliseconds: number): Promise<void> {
    if (this.roster.hasStrongerDaemon)
      await this.pause(
        Math.min(milliseconds, WEAK_CANDIDATE_POLL_INTERVAL_MILLISECONDS),
      );
    else if (this.isRosterDue()) await this.readRoster();
    await this.readNext(Math.min(milliseconds, WATCH_TIMEOUT_MILLISECONDS));
  }

  /**
   * Whether to read the roster for the first time: daemons started together with this one have
   * announced themselves.
   */
  private isRosterDue(): boolean {
    const age = this.clock.monotonicMilliseconds() - this.startedAt;
    return (
      this.rosterReadAtChange === undefined && age > FIRST_START_MILLISECONDS
    );
  }

  /** Reads the roster; returns false if the store did not respond. */
  private async readRoster(): Promise<boolean> {
    if (!(await this.roster.refresh())) return false;
    this.rosterReadAtChange = this.changedAt;
    return true;
  }

  /**
   * Returns the distance to the next term. While the latest term can't be read from the store, its
   * number is not known: doubled steps reach a term that is accepted after a few refused ones.
   */
  private termStep(): number {
    return Math.min(MAXIMUM_TERM_STEP, 2 ** this.resignedTerms);
  }

  /**
   * Returns the term length: short, so that a lost holder is replaced soon, but long enough to
   * renew on a slow store.
   */
  private termMilliseconds(): number {
    const responseAllowance =
      RESPONSE_TIMES_PER_TERM * this.writeResponseMilliseconds;
    return Math.min(
      MAXIMUM_TERM_MILLISECONDS,
      MINIMUM_TERM_MILLISECONDS + responseAllowance,
    );
  }

  /** Returns the time from which this daemon may try to take the next term. */
  private candidacyAt(): number {
    const {current, roster} = this;
    if (!current) return this.firstCandidacyAt();
    const jitter = this.random.nextFraction() * CANDIDACY_JITTER_MILLISECONDS;
    if (current.released) return this.changedAt + jitter / 4;
    // A VM runs only one daemon: an earlier incarnation on this VM issues no more orders.
    if (current.holder === this.candidate.node && !roster.hasStrongerDaemon)
      return -Infinity;
    const expiryMilliseconds =
      current.validMilliseconds + TERM_EXPIRY_MARGIN_MILLISECONDS;
    return this.changedAt + expiryMilliseconds + jitter;
  }

  /**
   * Returns whether the term stays vacant while a stronger daemon has the chance to take it. The
   * wait starts when the store responds: after an outage all candidates are due at once, and the
   * first to reach the store would mostly be a weak one.
   */
  private async staysVacant(): Promise<boolean> {
    const previousEndOffset = this.endOffset;
    const result = await this.readNext(
      STRONGER_CANDIDATE_PRECEDENCE_MILLISECONDS,
    );
    return result === ReadOutcome.Read && this.endOffset === previousEndOffset;
  }

  private firstCandidacyAt(): number {
    return this.candidate.isFirstStart
      ? this.startedAt + FIRST_START_MILLISECONDS
      : this.startedAt;
  }

  private async write(record: TermRecord): Promise<boolean> {
    const sentAt = this.clock.monotonicMilliseconds();
    const offset = this.wallOffset();
    const result = await this.log.append(
      LogStream.Terms,
      [this.encode(record)],
      {
        expectedEndOffset: this.endOffset,
      },
    );
    if (result.outcome === AppendOutcome.Appended) {
      this.writeResponseMilliseconds =
        this.clock.monotonicMilliseconds() - sentAt;
      if (!this.isHolder) this.notePredecessorOver(record.term, sentAt);
      this.endOffset = result.endOffset;
      this.changedAt = sentAt;
      this.acceptTerm(record, sentAt, offset);
      return true;
    }
    // A lost response may hide a success, and a moved end of the stream another daemon's term:
    // reading the stream shows which.
    if (result.outcome !== AppendOutcome.Refused)
      await this.resolveFailedWrite(sentAt);
    return false;
  }

  /** Records since when the term before a new one has been over: no order was sent after its expiry. */
  private notePredecessorOver(term: number, takenAt: number): void {
    const expiredAt =
      this.changedAt + (this.current?.validMilliseconds ?? Infinity);
    this.history.note(term, Math.min(takenAt, expiredAt));
  }

  private async resolveFailedWrite(sentAt: number): Promise<void> {
    const previousEndOffset = this.endOffset;
    if (!(await this.readCurrent()) || this.endOffset === previousEndOffset)
      return;
    const {current} = this;
    if (!current || !this.isOwn(current))
      this.loseTerm('another daemon has taken it');
    else if (!current.released)
      this.acceptTerm(current, sentAt, this.wallOffset());
  }

  private acceptTerm(
    record: TermRecord,
    sentAt: number,
    clockOffset: number,
  ): void {
    const isNew = !this.isHolder;
    this.history.note(record.term, sentAt);
    this.current = record;
    this.isHolder = true;
    this.validUntil = sentAt + record.validMilliseconds;
    this.wallClockOffset = clockOffset;
    if (!isNew) return;
    this.logger.info(LogEvent.TermTaken, {term: record.term});
    this.listener.onTermStarted(record.term);
  }

  private loseTerm(reason: string): void {
    if (!this.isHolder) return;
    this.isHolder = false;
    this.logger.warn(LogEvent.TermLost, {reason, term: this.current?.term});
    this.listener.onTermEnded();
  }

  private async release(): Promise<void> {
    const {current} = this;
    this.isHolder = false;
    this.resigning = false;
    this.listener.onTermEnded();
    if (!current) return;
    const result = await this.log.append(
      LogStream.Terms,
      [this.encode({...current, released: true})],
      {expectedEndOffset: this.endOffset},
    );
    if (result.outcome === AppendOutcome.Appended)
      this.endOffset = result.endOffset;
    this.logger.info(LogEvent.TermReleased, {
      term: current.term,
      outcome: result.outcome,
    });
  }

  /** Reads the latest term; returns false if the store did not respond. */
  private async readCurrent(): Promise<boolean> {
    const result = await this.log.newestByKey(LogStream.Terms);
    if (result.outcome !== ReadOutcome.Read) return false;
    const newest = result.records.find(record => record.key === TERM_KEY);
    this.endOffset = result.endOffset;
    this.applyTermRecord(newest);
    return true;
  }

  private async readNext(waitMilliseconds: number): Promise<ReadOutcome> {
    const result = await this.log.read(
      LogStream.Terms,
      this.endOffset,
      Math.ceil(waitMilliseconds),
    );
    if (result.outcome === ReadOutcome.Gap) await this.readCurrent();
    if (result.outcome === ReadOutcome.Unavailable)
      await this.pause(RETRY_MILLISECONDS);
    if (result.outcome !== ReadOutcome.Read) return result.outcome;
    for (const record of result.records) {
      this.endOffset = record.offset + 1;
      this.applyTermRecord(record);
    }
    return result.outcome;
  }

  private applyTermRecord(record: KeyedRecord | undefined): void {
    if (!record) return;
    const decoded = decodeTerm(record);
    if (!decoded) {
      this.logger.warn(LogEvent.RecordUnreadable, {
        stream: LogStream.Terms,
        key: record.key,
      });
      return;
    }
    this.current = decoded;
    if (!this.isOwn(decoded)) this.resignedTerms = 0;
    this.changedAt = this.clock.monotonicMilliseconds();
    this.history.note(decoded.term, this.changedAt);
    this.history.noteAges(decoded.ages ?? [], this.changedAt);
  }

  private isOwn(record: TermRecord): boolean {
    return record.incarnation === this.candidate.incarnation;
  }

  private encode(record: TermRecord): KeyedRecord {
    return encodeTerm({...record, ages: this.history.agesAt(record.term)});
  }

  private wallOffset(): number {
    return this.clock.wallMilliseconds() - this.clock.monotonicMilliseconds();
  }

  private async pause(milliseconds: number): Promise<void> {
    await sleep(this.clock, milliseconds);
  }
}

function encodeTerm(record: TermRecord): KeyedRecord {
  return {key: TERM_KEY, value: Buffer.from(JSON.stringify(record))};
}

/** Decodes a term record; returns undefined if the record is not a valid one. */
export function decodeTerm(record: KeyedRecord): TermRecord | undefined {
  if (record.key !== TERM_KEY || !record.value) return undefined;
  try {
    const term = JSON.parse(record.value.toString('utf8')) as TermRecord;
    if (!isTermNumber(term.term)) return undefined;
    return {
      ...term,
      validMilliseconds: readTermLength(term.validMilliseconds),
      ages: readTermAges(term.ages),
    };
  } catch {
    // The caller logs the key; the previous term stays in force.
    return undefined;
  }
}

/** Returns whether a stored number can be that of a term, after which others can follow. */
function isTermNumber(term: unknown): boolean {
  return (
    Number.isSafeInteger(term) &&
    Number(term) > 0 &&
    Number(term) <= HIGHEST_TERM
  );
}

/**
 * Returns the length of a stored term. No daemon writes a longer one than the maximum; one without
 * a length, as daemons of an earlier version write it, or with an unreadable one may be as long.
 */
function readTermLength(milliseconds: unknown): number {
  const isPossible =
    typeof milliseconds === 'number' &&
    milliseconds >= 0 &&
    milliseconds <= MAXIMUM_TERM_MILLISECONDS;
  return isPossible ? milliseconds : MAXIMUM_TERM_MILLISECONDS;
}
