import {OutcomeKind, isFailure} from './target-outcome.js';

/** Where a target stands. */
export enum TargetStanding {
  InUse = 'in_use',
  /** Gets nothing. */
  Ejected = 'ejected',
  /** Gets one exchange at a time, to see whether it works again. */
  Probation = 'probation',
}

/** A change of standing, for the journal. */
export interface StandingChange {
  readonly target: string;
  readonly from: TargetStanding;
  readonly to: TargetStanding;
  readonly failuresInARow: number;
  /** Share of failures among recent exchanges. */
  readonly failureShare: number;
  /** Milliseconds that the target stays out. */
  readonly outMilliseconds: number;
}

/** What the bound needs to know of a target. */
export interface EjectionTarget {
  readonly id: string;
  readonly rack: string;
  /** Whether it is in this daemon's data centre. */
  readonly isNear: boolean;
}

/** Judges the targets of one pool by what exchanges show. */
export interface Ejection {
  /** Where a target stands now. */
  standing(target: string, now: number): TargetStanding;
  observe(target: string, kind: OutcomeKind, now: number): void;
  /** The targets of the pool; the bound follows from them. */
  setTargets(targets: readonly EjectionTarget[]): void;
  /** True while so many look bad that none is treated as ejected. */
  readonly isSharedFault: boolean;
}

/** Uses each target whatever it does: the baseline. */
export class NeverEject implements Ejection {
  readonly isSharedFault = false;

  standing(): TargetStanding {
    return TargetStanding.InUse;
  }

  observe(): void {}

  setTargets(): void {}
}

const FAILURES_IN_A_ROW = 5;
/** A refused connection leaves little doubt: three of them are enough. */
const UNREACHABLE_WEIGHT = 2;
const FAILURE_SHARE = 0.5;
const SHARE_MINIMUM_EXCHANGES = 10;
/** Exchanges over which the failure share is kept: a mean over about the last twenty. */
const SHARE_STEP = 0.05;
const FIRST_OUT_MILLISECONDS = 2000;
const LONGEST_OUT_MILLISECONDS = 60_000;
const PROBATION_SUCCESSES = 3;
/** A target that worked this long after it came back starts again at the shortest time out. */
const FORGIVE_MILLISECONDS = 60_000;
const LARGEST_SHARE_OUT = 0.5;

class TargetRecord {
  failuresInARow = 0;
  failureShare = 0;
  exchanges = 0;
  timesOut = 0;
  /** Undefined while in use. */
  outUntil: number | undefined;
  probationSuccesses = 0;
  backSince = 0;

  get isOut(): boolean {
    return this.outUntil !== undefined;
  }

  count(failed: boolean, weight: number): void {
    this.exchanges++;
    this.failuresInARow = failed ? this.failuresInARow + weight : 0;
    this.failureShare += ((failed ? 1 : 0) - this.failureShare) * SHARE_STEP;
  }

  get looksBad(): boolean {
    if (this.failuresInARow >= FAILURES_IN_A_ROW) return true;
    return (
      this.exchanges >= SHARE_MINIMUM_EXCHANGES &&
      this.failureShare >= FAILURE_SHARE
    );
  }
}

/**
 * Takes targets out of use that fail, for times that double, and back over a probation.
 * Answers a target that fails everything: without it one target of eight fails an eighth of all
 * requests for as long as it lives, more when it fails fast. Five failures in a row come by chance
 * once in 3 million at a failure rate of 5%, and at once with a dead target; half of the last
 * twenty catches one that fails in part.
 * The bound is half of the pool, or its largest rack where that is more, and never all: a rack
 * fails most days and its targets must go. What takes more than a rack is a shared fault, such as
 * a database behind all targets; to eject would send the whole load to the few that are left and
 * fell those. So past the bound all are used as if none were ejected, and the records stay. The
 * bound must be passed near by as well: a data centre that is cut off goes on with its own.
 */
export class BoundedEjection implements Ejection {
  private readonly records = new Map<string, TargetRecord>();
  private targets: ReadonlyMap<string, EjectionTarget> = new Map();
  private bound = 0;
  private nearBound = 0;
  private isPastBound = false;

  constructor(private readonly onChange: (change: StandingChange) => void) {}

  get isSharedFault(): boolean {
    return this.isPastBound;
  }

  setTargets(targets: readonly EjectionTarget[]): void {
    this.targets = new Map(targets.map(target => [target.id, target]));
    this.bound = boundOf(targets);
    this.nearBound = boundOf(targets.filter(target => target.isNear));
    for (const id of this.records.keys()) {
      if (!this.targets.has(id)) this.records.delete(id);
    }
    this.countOut();
  }

  standing(target: string, now: number): TargetStanding {
    const record = this.records.get(target);
    if (record?.outUntil === undefined || this.isSharedFault)
      return TargetStanding.InUse;
    return now < record.outUntil
      ? TargetStanding.Ejected
      : TargetStanding.Probation;
  }

  observe(target: string, kind: OutcomeKind, now: number): void {
    if (kind === OutcomeKind.CallerGone || kind === OutcomeKind.Busy) return;
    if (!this.targets.has(target)) return;
    const failed = isFailure(kind);
    const record = this.records.get(target) ?? this.recordOf(target, failed);
    if (!record) return;
    record.count(
      failed,
      kind === OutcomeKind.Unreachable ? UNREACHABLE_WEIGHT : 1,
    );
    if (record.isOut) this.observeOut(target, record, failed, now);
    else if (record.looksBad) this.eject(target, record, now);
    else if (now - record.backSince > FORGIVE_MILLISECONDS) record.timesOut = 0;
  }

  /** A target that never failed has no record: the usual case costs nothing. */
  private recordOf(target: string, failed: boolean): TargetRecord | undefined {
    if (!failed) return undefined;
    const record = new TargetRecord();
    this.records.set(target, record);
    return record;
  }

  private observeOut(
    target: string,
    record: TargetRecord,
    failed: boolean,
    now: number,
  ): void {
    if (record.outUntil === undefined) return;
    // Exchanges that began before the ejection end after it and prove nothing new.
    if (now < record.outUntil && !this.isSharedFault) return;
    if (failed) {
      record.probationSuccesses = 0;
      if (!this.isSharedFault) this.eject(target, record, now);
      return;
    }
    record.probationSuccesses++;
    if (record.probationSuccesses >= PROBATION_SUCCESSES)
      this.bringBack(target, record, now);
  }

  private eject(target: string, record: TargetRecord, now: number): void {
    const from = record.isOut ? TargetStanding.Probation : TargetStanding.InUse;
    const outMilliseconds = Math.min(
      LONGEST_OUT_MILLISECONDS,
      FIRST_OUT_MILLISECONDS * 2 ** record.timesOut,
    );
    record.outUntil = now + outMilliseconds;
    record.timesOut++;
    record.probationSuccesses = 0;
    this.countOut();
    const to = TargetStanding.Ejected;
    this.onChange(describe(target, record, from, to, outMilliseconds));
  }

  private bringBack(target: string, record: TargetRecord, now: number): void {
    const change = describe(
      target,
      record,
      TargetStanding.Probation,
      TargetStanding.InUse,
      0,
    );
    const wasSharedFault = this.isSharedFault;
    record.outUntil = undefined;
    record.backSince = now;
    record.failureShare = 0;
    record.exchanges = 0;
    this.countOut();
    this.onChange(change);
    if (wasSharedFault && !this.isSharedFault) this.endSharedFault(now);
  }

  /**
   * What is still out then was so for the shared fault: it goes on probation at once. Else half of
   * the pool would fall out just as the fault ends, with times that grew during it.
   */
  private endSharedFault(now: number): void {
    for (const record of this.records.values()) {
      if (record.outUntil === undefined) continue;
      record.outUntil = Math.min(record.outUntil, now);
      record.timesOut = 1;
    }
  }

  private countOut(): void {
    let out = 0;
    let nearOut = 0;
    for (const [id, record] of this.records) {
      if (!record.isOut) continue;
      out++;
      if (this.targets.get(id)?.isNear) nearOut++;
    }
    // Targets of this data centre that work while all others fail show a partition, not a fault
    // that all share: the far ones stay out.
    this.isPastBound = out > this.bound && nearOut > this.nearBound;
  }
}

/** Targets that may be out; -1 for none at all, so that an empty group bounds nothing. */
function boundOf(targets: readonly EjectionTarget[]): number {
  const sizes = new Map<string, number>();
  for (const {rack} of targets) sizes.set(rack, (sizes.get(rack) ?? 0) + 1);
  const half = Math.floor(targets.length * LARGEST_SHARE_OUT);
  const largestRack = Math.max(0, ...sizes.values());
  return Math.min(targets.length - 1, Math.max(half, largestRack));
}

function describe(
  target: string,
  record: TargetRecord,
  from: TargetStanding,
  to: TargetStanding,
  outMilliseconds: number,
): StandingChange {
  const {failuresInARow, failureShare} = record;
  return {target, from, to, failuresInARow, failureShare, outMilliseconds};
}
