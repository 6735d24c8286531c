import {OutcomeKind, isFailure} from './target-outcome.js';

/** The ejection state of a target. */
export enum EjectionState {
  InUse = 'in_use',
  /** Receives no requests. */
  Ejected = 'ejected',
  /** Receives one exchange at a time, to test whether it works again. */
  Probation = 'probation',
}

/** A change of ejection state, for the decision journal. */
export interface EjectionStateChange {
  readonly target: string;
  readonly from: EjectionState;
  readonly to: EjectionState;
  readonly failuresInARow: number;
  /** Share of failures among recent exchanges. */
  readonly failureShare: number;
  /** Milliseconds for which the target stays ejected. */
  readonly ejectionMilliseconds: number;
}

/** What the ejection limit depends on for each target. */
export interface EjectionTarget {
  readonly id: string;
  readonly rack: string;
  /** Whether it is in this daemon's data centre. */
  readonly isSameDataCentre: boolean;
}

/** Decides from the outcomes of exchanges which targets of one pool are ejected. */
export interface EjectionPolicy {
  /** Returns the ejection state of a target now. */
  stateOf(target: string, now: number): EjectionState;
  observe(target: string, kind: OutcomeKind, now: number): void;
  /** Sets the targets of the pool, from which the ejection limit is derived. */
  setTargets(targets: readonly EjectionTarget[]): void;
  /** True while so many targets are failing that none is treated as ejected. */
  readonly isSharedFault: boolean;
}

/** Never ejects a target: the baseline. */
export class NoEjection implements EjectionPolicy {
  readonly isSharedFault = false;

  stateOf(): EjectionState {
    return EjectionState.InUse;
  }

  observe(): void {}

  setTargets(): void {}
}

const CONSECUTIVE_FAILURES_TO_EJECT = 5;
/** A refused connection is strong evidence: three of them are enough to eject. */
const UNREACHABLE_WEIGHT = 2;
const FAILURE_SHARE_TO_EJECT = 0.5;
const MINIMUM_EXCHANGES_FOR_SHARE = 10;
/** Smoothing factor of the failure share: a mean over about the last twenty exchanges. */
const FAILURE_SHARE_SMOOTHING_FACTOR = 0.05;
const INITIAL_EJECTION_MILLISECONDS = 2000;
const MAXIMUM_EJECTION_MILLISECONDS = 60_000;
const PROBATION_SUCCESSES = 3;
/**
 * A target that worked for this long after it was restored starts again at the shortest ejection.
 */
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
 * Ejects failing targets for periods that double each time, and restores them after a probation.
 * Load: a target that fails every request. Without ejection one such target of eight fails an
 * eighth of all requests for as long as it runs, and more if it fails fast. Five consecutive
 * failures happen by chance once in 3 million at a failure rate of 5%, and immediately with a dead
 * target; a failure share of half of the last twenty exchanges detects a target that fails only
 * some requests.
 * The limit is half of the pool, or its largest rack if that is more, and never all targets: a rack
 * fails on most days and its targets must be ejected. If more than a rack fails, it is a shared
 * fault, such as a database behind all targets; ejection would send the whole load to the few
 * remaining targets and overload them. So above the limit all targets are used as if none were
 * ejected, and their health records are kept. The limit must also be exceeded within this daemon's
 * data centre: a data centre that is cut off continues with its own targets.
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
    const health = this.healthByTarget.get(target);
    if (health?.ejectedUntil === undefined || this.isSharedFault)
      return EjectionState.InUse;
    return now < health.ejectedUntil
      ? EjectionState.Ejected
      : EjectionState.Probation;
  }

  observe(target: string, kind: OutcomeKind, now: number): void {
    if (kind === OutcomeKind.CallerGone || kind === OutcomeKind.Busy) return;
    if (!this.targets.has(target)) return;
    const failed = isFailure(kind);
    const health =
      this.healthByTarget.get(target) ?? this.createHealth(target, failed);
    if (!health) return;
    health.observe(
      failed,
      kind === OutcomeKind.Unreachable ? UNREACHABLE_WEIGHT : 1,
    );
    if (health.isOutOfUse) this.observeOutOfUse(target, health, failed, now);
    else if (health.isFailing) this.eject(target, health, now);
    else if (now - health.restoredAt > BACKOFF_RESET_MILLISECONDS)
      health.ejectionCount = 0;
  }

  /** Creates a health record on the first failure only, so that healthy targets cost nothing. */
  private createHealth(
    target: string,
    failed: boolean,
  ): TargetHealth | undefined {
    if (!failed) return undefined;
    const health = new TargetHealth();
    this.healthByTarget.set(target, health);
    return health;
  }

  private observeOutOfUse(
    target: string,
    health: TargetHealth,
    failed: boolean,
    now: number,
  ): void {
    if (health.ejectedUntil === undefined) return;
    // Exchanges that began before the ejection may end after it and are no new evidence.
    if (now < health.ejectedUntil && !this.isSharedFault) return;
    if (failed) {
      health.probationSuccesses = 0;
      if (!this.isSharedFault) this.eject(target, health, now);
      return;
    }
    health.probationSuccesses++;
    if (health.probationSuccesses >= PROBATION_SUCCESSES)
      this.restore(target, health, now);
  }

  private eject(target: string, health: TargetHealth, now: number): void {
    const from = health.isOutOfUse
      ? EjectionState.Probation
      : EjectionState.InUse;
    const ejectionMilliseconds = Math.min(
      MAXIMUM_EJECTION_MILLISECONDS,
      INITIAL_EJECTION_MILLISECONDS * 2 ** health.ejectionCount,
    );
    health.ejectedUntil = now + ejectionMilliseconds;
    health.ejectionCount++;
    health.probationSuccesses = 0;
    this.updateSharedFault();
    const to = EjectionState.Ejected;
    this.onChange(stateChange(target, health, from, to, ejectionMilliseconds));
  }

  private restore(target: string, health: TargetHealth, now: number): void {
    const change = stateChange(
      target,
      health,
      EjectionState.Probation,
      EjectionState.InUse,
      0,
    );
    const wasSharedFault = this.isSharedFault;
    health.ejectedUntil = undefined;
    health.restoredAt = now;
    health.failureShare = 0;
    health.exchanges = 0;
    this.updateSharedFault();
    this.onChange(change);
    if (wasSharedFault && !this.isSharedFault) this.endSharedFault(now);
  }

  /**
   * Puts every target that is still ejected on probation at once, since the shared fault was the
   * cause. Otherwise half of the pool would be ejected just as the fault ends, for periods that
   * grew during it.
   */
  private endSharedFault(now: number): void {
    for (const health of this.healthByTarget.values()) {
      if (health.ejectedUntil === undefined) continue;
      health.ejectedUntil = Math.min(health.ejectedUntil, now);
      health.ejectionCount = 1;
    }
  }

  private updateSharedFault(): void {
    let outOfUse = 0;
    let outOfUseInDataCentre = 0;
    for (const [id, health] of this.healthByTarget) {
      if (!health.isOutOfUse) continue;
      outOfUse++;
      if (this.targets.get(id)?.isSameDataCentre) outOfUseInDataCentre++;
    }
    // If targets of this data centre work while all others fail, the cause is a partition and not a
    // shared fault: the targets of the other data centres stay ejected.
    this.exceedsMaximum =
      outOfUse > this.maximumEjected &&
      outOfUseInDataCentre > this.maximumEjectedInDataCentre;
  }
}

/** Returns how many targets may be ejected; -1 for an empty group, so that it never limits. */
function maximumEjectedOf(targets: readonly EjectionTarget[]): number {
  const sizes = new Map<string, number>();
  for (const {rack} of targets) sizes.set(rack, (sizes.get(rack) ?? 0) + 1);
  const half = Math.floor(targets.length * MAXIMUM_EJECTED_SHARE);
  const largestRack = Math.max(0, ...sizes.values());
  return Math.min(targets.length - 1, Math.max(half, largestRack));
}

function stateChange(
  target: string,
  health: TargetHealth,
  from: EjectionState,
  to: EjectionState,
  ejectionMilliseconds: number,
): EjectionStateChange {
  const {failuresInARow, failureShare} = health;
  return {
    target,
    from,
    to,
    failuresInARow,
    failureShare,
    ejectionMilliseconds,
  };
}
