import {OutcomeKind, isFailure} from './target-outcome.js';

/** Where a target stands. */
export enum EjectionState {
  InUse = 'in_use',
  /** Gets nothing. */
  Ejected = 'ejected',
  /** Gets one exchange at a time, to see whether it works again. */
  Probation = 'probation',
}

/** A change of standing, for the journal. */
export interface EjectionStateChange {
  readonly target: string;
  readonly from: EjectionState;
  readonly to: EjectionState;
  readonly failuresInARow: number;
  /** Share of failures among recent exchanges. */
  readonly failureShare: number;
  /** Milliseconds that the target stays out. */
  readonly ejectionMilliseconds: number;
}

/** What the bound needs to know of a target. */
export interface EjectionTarget {
  readonly id: string;
  readonly rack: string;
  /** Whether it is in this daemon's data centre. */
  readonly isSameDataCentre: boolean;
}

/** Judges the targets of one pool by what exchanges show. */
export interface EjectionPolicy {
  /** Where a target stands now. */
  stateOf(target: string, now: number): EjectionState;
  observe(target: string, kind: OutcomeKind, now: number): void;
  /** The targets of the pool; the bound follows from them. */
  setTargets(targets: readonly EjectionTarget[]): void;
  /** True while so many look bad that none is treated as ejected. */
  readonly isSharedFault: boolean;
}

/** Uses each target whatever it does: the baseline. */
export class NoEjection implements EjectionPolicy {
  readonly isSharedFault = false;

  stateOf(): EjectionState {
    return EjectionState.InUse;
  }

  observe(): void {}

  setTargets(): void {}
}

const CONSECUTIVE_FAILURES_TO_EJECT = 5;
/** A refused connection leaves little doubt: three of them are enough. */
const UNREACHABLE_WEIGHT = 2;
const FAILURE_SHARE_TO_EJECT = 0.5;
const MINIMUM_EXCHANGES_FOR_SHARE = 10;
/** Exchanges over which the failure share is kept: a mean over about the last twenty. */
const FAILURE_SHARE_SMOOTHING_FACTOR = 0.05;
const INITIAL_EJECTION_MILLISECONDS = 2000;
const MAXIMUM_EJECTION_MILLISECONDS = 60_000;
const PROBATION_SUCCESSES = 3;
/** A target that worked this long after it came back starts again at the shortest time out. */
const BACKOFF_RESET_MILLISECONDS = 60_000;
const MAXIMUM_EJECTED_SHARE = 0.5;

class TargetHealth {
  failuresInARow = 0;
  failureShare = 0;
  exchanges = 0;
  ejectionCount = 0;
  /** Undefined while in use. */
  ejectedUntil: number | undefined;
  probationSuccesses = 0;
  restoredAt = 0;

  get isOutOfUse(): boolean {
    return this.ejectedUntil !== undefined;
  }

  observe(failed: boolean, weight: number): void {
    this.exchanges++;
    this.failuresInARow = failed ? this.failuresInARow + weight : 0;
    this.failureShare +=
      ((failed ? 1 : 0) - this.failureShare) * FAILURE_SHARE_SMOOTHING_FACTOR;
  }

  get isFailing(): boolean {
    if (this.failuresInARow >= CONSECUTIVE_FAILURES_TO_EJECT) return true;
    return (
      this.exchanges >= MINIMUM_EXCHANGES_FOR_SHARE &&
      this.failureShare >= FAILURE_SHARE_TO_EJECT
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
export class BoundedEjection implements EjectionPolicy {
  private readonly healthByTarget = new Map<string, TargetHealth>();
  private targets: ReadonlyMap<string, EjectionTarget> = new Map();
  private maximumEjected = 0;
  private maximumEjectedInDataCentre = 0;
  private exceedsMaximum = false;

  constructor(
    private readonly onChange: (change: EjectionStateChange) => void,
  ) {}

  get isSharedFault(): boolean {
    return this.exceedsMaximum;
  }

  setTargets(targets: readonly EjectionTarget[]): void {
    this.targets = new Map(targets.map(target => [target.id, target]));
    this.maximumEjected = maximumEjectedOf(targets);
    this.maximumEjectedInDataCentre = maximumEjectedOf(
      targets.filter(target => target.isSameDataCentre),
    );
    for (const id of this.healthByTarget.keys()) {
      if (!this.targets.has(id)) this.healthByTarget.delete(id);
    }
    this.updateSharedFault();
  }

  stateOf(target: string, now: number): EjectionState {
    const record = this.healthByTarget.get(target);
    if (record?.ejectedUntil === undefined || this.isSharedFault)
      return EjectionState.InUse;
    return now < record.ejectedUntil
      ? EjectionState.Ejected
      : EjectionState.Probation;
  }

  observe(target: string, kind: OutcomeKind, now: number): void {
    if (kind === OutcomeKind.CallerGone || kind === OutcomeKind.Busy) return;
    if (!this.targets.has(target)) return;
    const failed = isFailure(kind);
    const record =
      this.healthByTarget.get(target) ?? this.createHealth(target, failed);
    if (!record) return;
    record.observe(
      failed,
      kind === OutcomeKind.Unreachable ? UNREACHABLE_WEIGHT : 1,
    );
    if (record.isOutOfUse) this.observeOutOfUse(target, record, failed, now);
    else if (record.isFailing) this.eject(target, record, now);
    else if (now - record.restoredAt > BACKOFF_RESET_MILLISECONDS)
      record.ejectionCount = 0;
  }

  /** A target that never failed has no record: the usual case costs nothing. */
  private createHealth(
    target: string,
    failed: boolean,
  ): TargetHealth | undefined {
    if (!failed) return undefined;
    const record = new TargetHealth();
    this.healthByTarget.set(target, record);
    return record;
  }

  private observeOutOfUse(
    target: string,
    record: TargetHealth,
    failed: boolean,
    now: number,
  ): void {
    if (record.ejectedUntil === undefined) return;
    // Exchanges that began before the ejection end after it and prove nothing new.
    if (now < record.ejectedUntil && !this.isSharedFault) return;
    if (failed) {
      record.probationSuccesses = 0;
      if (!this.isSharedFault) this.eject(target, record, now);
      return;
    }
    record.probationSuccesses++;
    if (record.probationSuccesses >= PROBATION_SUCCESSES)
      this.restore(target, record, now);
  }

  private eject(target: string, record: TargetHealth, now: number): void {
    const from = record.isOutOfUse
      ? EjectionState.Probation
      : EjectionState.InUse;
    const ejectionMilliseconds = Math.min(
      MAXIMUM_EJECTION_MILLISECONDS,
      INITIAL_EJECTION_MILLISECONDS * 2 ** record.ejectionCount,
    );
    record.ejectedUntil = now + ejectionMilliseconds;
    record.ejectionCount++;
    record.probationSuccesses = 0;
    this.updateSharedFault();
    const to = EjectionState.Ejected;
    this.onChange(stateChange(target, record, from, to, ejectionMilliseconds));
  }

  private restore(target: string, record: TargetHealth, now: number): void {
    const change = stateChange(
      target,
      record,
      EjectionState.Probation,
      EjectionState.InUse,
      0,
    );
    const wasSharedFault = this.isSharedFault;
    record.ejectedUntil = undefined;
    record.restoredAt = now;
    record.failureShare = 0;
    record.exchanges = 0;
    this.updateSharedFault();
    this.onChange(change);
    if (wasSharedFault && !this.isSharedFault) this.endSharedFault(now);
  }

  /**
   * What is still out then was so for the shared fault: it goes on probation at once. Else half of
   * the pool would fall out just as the fault ends, with times that grew during it.
   */
  private endSharedFault(now: number): void {
    for (const record of this.healthByTarget.values()) {
      if (record.ejectedUntil === undefined) continue;
      record.ejectedUntil = Math.min(record.ejectedUntil, now);
      record.ejectionCount = 1;
    }
  }

  private updateSharedFault(): void {
    let out = 0;
    let nearOut = 0;
    for (const [id, record] of this.healthByTarget) {
      if (!record.isOutOfUse) continue;
      out++;
      if (this.targets.get(id)?.isSameDataCentre) nearOut++;
    }
    // Targets of this data centre that work while all others fail show a partition, not a fault
    // that all share: the far ones stay out.
    this.exceedsMaximum =
      out > this.maximumEjected && nearOut > this.maximumEjectedInDataCentre;
  }
}

/** Targets that may be out; -1 for none at all, so that an empty group bounds nothing. */
function maximumEjectedOf(targets: readonly EjectionTarget[]): number {
  const sizes = new Map<string, number>();
  for (const {rack} of targets) sizes.set(rack, (sizes.get(rack) ?? 0) + 1);
  const half = Math.floor(targets.length * MAXIMUM_EJECTED_SHARE);
  const largestRack = Math.max(0, ...sizes.values());
  return Math.min(targets.length - 1, Math.max(half, largestRack));
}

function stateChange(
  target: string,
  record: TargetHealth,
  from: EjectionState,
  to: EjectionState,
  ejectionMilliseconds: number,
): EjectionStateChange {
  const {failuresInARow, failureShare} = record;
  return {
    target,
    from,
    to,
    failuresInARow,
    failureShare,
    ejectionMilliseconds: ejectionMilliseconds,
  };
}
