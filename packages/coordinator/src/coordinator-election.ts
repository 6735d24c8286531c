import {
  LogEvent,
  sleep,
  type Clock,
  type Logger,
  type RandomSource,
} from '@gentiandoor/kernel';
import type {KeyedRecord} from '@gentiandoor/jobs';
import {DaemonRoster} from './daemon-roster.js';
import {
  AppendOutcome,
  LogStream,
  ReadOutcome,
  type RecordLog,
} from './record-log.js';

/** Term length, counted from the sending of the last renewal that succeeded. */
const MINIMUM_TERM_MILLISECONDS = 800;
/** Term length while the store responds slowly. */
const MAXIMUM_TERM_MILLISECONDS = 1_300;
/** Store response times per term length: two renewals must fit. */
const RESPONSE_TIMES_PER_TERM = 4;
/** Renewal interval; one renewal per term may be lost. */
const RENEWAL_MILLISECONDS = 250;
/** Allowance for clock drift and local processing delays when a term expires. */
const TERM_EXPIRY_MARGIN_MILLISECONDS = 150;
/** Jitter of candidates. */
const CANDIDACY_JITTER_MILLISECONDS = 120;
const WATCH_TIMEOUT_MILLISECONDS = 1_000;
const RETRY_MILLISECONDS = 100;
/** Delay for which a weaker daemon gives precedence to a stronger one. */
const STRONGER_CANDIDATE_PRECEDENCE_MILLISECONDS = 400;
/**
 * A weak daemon looks at the term this seldom while a stronger one could take it. Without it each of forty
 * daemons reads every renewal, which together is most of what the store is asked on a calm day.
 */
const WEAK_CANDIDATE_POLL_INTERVAL_MILLISECONDS = 500;
/** On the first start of a deployment candidates wait this long for each other's records. */
const FIRST_START_MILLISECONDS = 700;
/** A larger advance of the wall clock than of the steady clock means that the VM was suspended. */
const CLOCK_DRIFT_MILLISECONDS = 200;

/** Key of the term's record. */
export const TERM_KEY = 'coordinator';

/** Who gives the orders, as the store keeps it. */
export interface TermRecord {
  readonly term: number;
  readonly holder: string;
  readonly incarnation: string;
  readonly released: boolean;
  /** How long it is good for from the sending of this record; others wait as long before they take the next one. */
  readonly validMilliseconds: number;
}

/** Hears of the start and the end of a term of this daemon. */
export interface TermListener {
  termBegan(term: number): void;
  termEnded(): void;
}

/** Who this daemon is to the others. */
export interface TermCandidate {
  readonly node: string;
  readonly incarnation: string;
  /** What its VM can carry; any unit, the same on all daemons. */
  readonly strength: number;
  /** All daemons start for the first time. */
  readonly isFirstStart: boolean;
}

/**
 * Holds at most one daemon as the coordinator: a term is a record that is written only if the
 * stream still ends where its writer has read it. Among those that could take the next term the
 * strongest go first.
 */
export class CoordinatorElection {
  private endOffset = 0;
  private current: TermRecord | undefined;
  private changedAt = 0;
  private validUntil = -Infinity;
  /** What the newest write to the store took. */
  private writeResponseMilliseconds = 0;
  private wallClockOffset = 0;
  private isHolder = false;
  private stopping = false;
  private finished: Promise<void> | undefined;
  private startedAt = 0;
  private readonly roster: DaemonRoster;
  /** The change of the term before which the roster was read. */
  private rosterReadAtChange: number | undefined;

  constructor(
    private readonly log: RecordLog,
    private readonly candidate: TermCandidate,
    private readonly clock: Clock,
    private readonly random: RandomSource,
    private readonly logger: Logger,
    private readonly listener: TermListener,
  ) {
    const {node, strength} = candidate;
    this.roster = new DaemonRoster(log, node, strength, clock, logger);
  }

  /** Whether an order may be given now. */
  get isValid(): boolean {
    if (!this.isHolder) return false;
    if (this.clock.monotonicMilliseconds() >= this.validUntil) return false;
    const drift = Math.abs(this.wallOffset() - this.wallClockOffset);
    return drift < CLOCK_DRIFT_MILLISECONDS;
  }

  start(): void {
    this.finished = this.run();
  }

  /** Gives the term back, so that the next coordinator begins at once. */
  async stop(): Promise<void> {
    this.stopping = true;
    await this.finished;
  }

  private async run(): Promise<void> {
    this.startedAt = this.clock.monotonicMilliseconds();
    void this.roster.announce(() => this.stopping);
    while (!this.stopping && !(await this.readCurrent()))
      await this.pause(RETRY_MILLISECONDS);
    while (!this.stopping) {
      if (this.isHolder) await this.renew();
      else await this.watch();
    }
    if (this.isHolder) await this.release();
  }

  private async renew(): Promise<void> {
    const pause = this.isValid ? RENEWAL_MILLISECONDS : RETRY_MILLISECONDS;
    await this.pause(pause);
    if (this.stopping || !this.current) return;
    await this.write({
      ...this.current,
      released: false,
      validMilliseconds: this.termMilliseconds(),
    });
  }

  private async watch(): Promise<void> {
    const left = this.candidacyAt() - this.clock.monotonicMilliseconds();
    if (left > 0) {
      await this.watchFor(left);
      return;
    }
    if (this.rosterReadAtChange !== this.changedAt) {
      if (!(await this.readRoster())) await this.pause(RETRY_MILLISECONDS);
      return;
    }
    if (this.roster.hasStrongerDaemon && !(await this.staysVacant())) return;
    const term = (this.current?.term ?? 0) + 1;
    const written = await this.write({
      term,
      holder: this.candidate.node,
      incarnation: this.candidate.incarnation,
      released: false,
      validMilliseconds: this.termMilliseconds(),
    });
    if (!written) await this.pause(RETRY_MILLISECONDS);
  }

  private async watchFor(left: number): Promise<void> {
    if (this.roster.hasStrongerDaemon)
      await this.pause(
        Math.min(left, WEAK_CANDIDATE_POLL_INTERVAL_MILLISECONDS),
      );
    else if (this.isRosterDue()) await this.readRoster();
    await this.readNext(Math.min(left, WATCH_TIMEOUT_MILLISECONDS));
  }

  /** Once, when all that started with this daemon have told their strength. */
  private isRosterDue(): boolean {
    const age = this.clock.monotonicMilliseconds() - this.startedAt;
    return (
      this.rosterReadAtChange === undefined && age > FIRST_START_MILLISECONDS
    );
  }

  /** False when the store did not answer. */
  private async readRoster(): Promise<boolean> {
    if (!(await this.roster.refresh())) return false;
    this.rosterReadAtChange = this.changedAt;
    return true;
  }

  /** Short terms end soon after their holder is lost; a slow store can't renew them. */
  private termMilliseconds(): number {
    const answers = RESPONSE_TIMES_PER_TERM * this.writeResponseMilliseconds;
    return Math.min(
      MAXIMUM_TERM_MILLISECONDS,
      MINIMUM_TERM_MILLISECONDS + answers,
    );
  }

  /** When this daemon may try to take the next term. */
  private candidacyAt(): number {
    const {current, roster} = this;
    if (!current) return this.firstCandidacyAt();
    const spread = this.random.nextFraction() * CANDIDACY_JITTER_MILLISECONDS;
    if (current.released) return this.changedAt + spread / 4;
    // One machine runs one daemon: an earlier incarnation of this one gives no orders any more.
    if (current.holder === this.candidate.node && !roster.hasStrongerDaemon)
      return -Infinity;
    const over = current.validMilliseconds + TERM_EXPIRY_MARGIN_MILLISECONDS;
    return this.changedAt + over + spread;
  }

  /**
   * Whether nobody takes the term while a stronger daemon could. Counted from when the store answers:
   * after an outage all candidates are due at once, and the first to reach it would mostly be a weak one.
   */
  private async staysVacant(): Promise<boolean> {
    const before = this.endOffset;
    const result = await this.readNext(
      STRONGER_CANDIDATE_PRECEDENCE_MILLISECONDS,
    );
    return result === ReadOutcome.Read && this.endOffset === before;
  }

  private firstCandidacyAt(): number {
    return this.candidate.isFirstStart
      ? this.startedAt + FIRST_START_MILLISECONDS
      : this.startedAt;
  }

  private async write(record: TermRecord): Promise<boolean> {
    const sentAt = this.clock.monotonicMilliseconds();
    const offset = this.wallOffset();
    const result = await this.log.append(LogStream.Terms, [encode(record)], {
      expectedEndOffset: this.endOffset,
    });
    if (result.outcome === AppendOutcome.Appended) {
      this.writeResponseMilliseconds =
        this.clock.monotonicMilliseconds() - sentAt;
      this.endOffset = result.endOffset;
      this.changedAt = sentAt;
      this.acceptTerm(record, sentAt, offset);
      return true;
    }
    // A lost answer may hide a success, and a moved end another's term: the stream says which.
    if (result.outcome !== AppendOutcome.Refused)
      await this.resolveFailedWrite(sentAt);
    return false;
  }

  private async resolveFailedWrite(sentAt: number): Promise<void> {
    const before = this.endOffset;
    if (!(await this.readCurrent()) || this.endOffset === before) return;
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
    this.current = record;
    this.isHolder = true;
    this.validUntil = sentAt + record.validMilliseconds;
    this.wallClockOffset = clockOffset;
    if (!isNew) return;
    this.logger.info(LogEvent.TermTaken, {term: record.term});
    this.listener.termBegan(record.term);
  }

  private loseTerm(reason: string): void {
    if (!this.isHolder) return;
    this.isHolder = false;
    this.logger.warn(LogEvent.TermLost, {reason, term: this.current?.term});
    this.listener.termEnded();
  }

  private async release(): Promise<void> {
    const {current} = this;
    this.isHolder = false;
    this.listener.termEnded();
    if (!current) return;
    const result = await this.log.append(
      LogStream.Terms,
      [encode({...current, released: true})],
      {expectedEndOffset: this.endOffset},
    );
    this.logger.info(LogEvent.TermReleased, {
      term: current.term,
      outcome: result.outcome,
    });
  }

  /** Reads the newest term; false when the store did not answer. */
  private async readCurrent(): Promise<boolean> {
    const result = await this.log.newestByKey(LogStream.Terms);
    if (result.outcome !== ReadOutcome.Read) return false;
    const newest = result.records.find(record => record.key === TERM_KEY);
    this.endOffset = result.endOffset;
    this.note(newest);
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
    const newest = result.records.at(-1);
    if (!newest) return result.outcome;
    this.endOffset = newest.offset + 1;
    this.note(newest);
    return result.outcome;
  }

  private note(record: KeyedRecord | undefined): void {
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
    this.changedAt = this.clock.monotonicMilliseconds();
  }

  private isOwn(record: TermRecord): boolean {
    return record.incarnation === this.candidate.incarnation;
  }

  private wallOffset(): number {
    return this.clock.wallMilliseconds() - this.clock.monotonicMilliseconds();
  }

  private async pause(milliseconds: number): Promise<void> {
    await sleep(this.clock, milliseconds);
  }
}

function encode(record: TermRecord): KeyedRecord {
  return {key: TERM_KEY, value: Buffer.from(JSON.stringify(record))};
}

/** Reads a term's record; undefined when it is not one. */
export function decodeTerm(record: KeyedRecord): TermRecord | undefined {
  if (record.key !== TERM_KEY || !record.value) return undefined;
  try {
    const term = JSON.parse(record.value.toString('utf8')) as TermRecord;
    if (!Number.isSafeInteger(term.term)) return undefined;
    // A daemon of an earlier version writes no length; its terms were never longer than this.
    const {validMilliseconds = MAXIMUM_TERM_MILLISECONDS} = term;
    return {...term, validMilliseconds};
  } catch {
    // The caller logs the key; the term before it stays in force.
    return undefined;
  }
}
