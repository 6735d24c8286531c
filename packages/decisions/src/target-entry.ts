import type {EjectionPolicy} from './ejection.js';
import {EjectionState} from './ejection.js';
import {LatencyEstimate} from './latency-estimate.js';
import type {SlowTargetRule} from './slow-target.js';
import type {SlotLimiter} from './slot-limiter.js';
import type {SelectionRequest, TargetCandidate} from './target-selector.js';
import type {WeightRamp} from './weight-ramp.js';

/** A target that a pool's work may go to. */
export interface RoutableTarget {
  readonly id: string;
  /** IP number and port. */
  readonly address: string;
  readonly rack: string;
  /** Whether it is in this daemon's data centre. */
  readonly isSameDataCentre: boolean;
  /** Exchanges at one time that the target takes from all daemons. */
  readonly slots: number;
  /** Connections at one time that the target takes from all daemons. */
  readonly connections: number;
}

/** What all targets of a pool share. */
export interface TargetEntryDependencies {
  now(): number;
  /** Milliseconds that a short exchange usually takes in this pool. */
  usualMilliseconds(): number;
  /** Whether few enough targets are slow to leave those alone. */
  mayAvoidSlow(): boolean;
  /** Milliseconds that a request which comes now would wait for another target. */
  expectedQueueMilliseconds(): number;
  readonly limiter: SlotLimiter;
  readonly ejection: EjectionPolicy;
  readonly ramp: WeightRamp;
  readonly slowTargets: SlowTargetRule;
}

const PROBATION_IN_FLIGHT = 1;
/** The list shows a leaving target long before; a target that closes for its own reasons comes back. */
const LEAVING_SIGN_MILLISECONDS = 15_000;

/** What a daemon knows of one target, and whether it may get a request now. */
export class TargetEntry implements TargetCandidate {
  inFlight = 0;
  /** Monotonic milliseconds of the last whole answer. */
  lastAnswerAt: number | undefined;
  readonly latency = new LatencyEstimate();
  private leavingUntil = -Infinity;
  private isRemoved = false;

  constructor(
    public target: RoutableTarget,
    private readonly dependencies: TargetEntryDependencies,
  ) {}

  get id(): string {
    return this.target.id;
  }

  /** Slots that this daemon may use here now. */
  limit(): number {
    const {slots, connections} = this.target;
    const whole = Math.min(slots, connections);
    return this.dependencies.limiter.limit(this.id, whole);
  }

  /** Slots here that are this daemon's own part. */
  private ownLimit(): number {
    const {slots, connections} = this.target;
    return this.dependencies.limiter.ownLimit(
      this.id,
      Math.min(slots, connections),
    );
  }

  canAccept(ask: SelectionRequest): boolean {
    const bound = ask.mayBorrow === false ? this.ownLimit() : this.limit();
    if (this.inFlight >= bound || !this.acceptsNewWork()) return false;
    if (this.ejectionState() === EjectionState.InUse)
      return !this.isWorseThanWaiting();
    // A request that cannot be repeated is not used to find out whether a bad target works again.
    return ask.idempotent && this.inFlight < PROBATION_IN_FLIGHT;
  }

  cost(): number {
    if (this.ejectionState() === EjectionState.Probation) return 0;
    const usual = this.dependencies.usualMilliseconds();
    const now = this.dependencies.now();
    const expected = this.latency.expectedMilliseconds(usual, now);
    const each = expected + this.latency.penaltyMilliseconds(now);
    return ((this.inFlight + 1) * each) / this.target.slots;
  }

  weight(): number {
    return this.dependencies.ramp.weight(this.id, this.dependencies.now());
  }

  /** Whether new work may go there at all: neither gone, leaving nor ejected. */
  acceptsNewWork(): boolean {
    if (this.isRemoved || this.isLeaving()) return false;
    return !this.isEjected();
  }

  /** Whether it gets no work because of its failures. */
  isEjected(): boolean {
    return this.ejectionState() === EjectionState.Ejected;
  }

  /** Whether the target or a peer said lately that it is leaving. */
  isLeaving(): boolean {
    return this.dependencies.now() < this.leavingUntil;
  }

  /** First-hand: the target itself said that it is leaving. */
  onLeaving(): void {
    this.leavingUntil = this.dependencies.now() + LEAVING_SIGN_MILLISECONDS;
  }

  /** The target is no longer routable; exchanges in flight end by themselves. */
  onRemoved(): void {
    this.isRemoved = true;
  }

  /** Whether exchanges here take several times as long as is usual in the pool. */
  isSlow(): boolean {
    const {dependencies: parts} = this;
    const usual = parts.usualMilliseconds();
    const expected = this.latency.expectedMilliseconds(usual, parts.now());
    return parts.slowTargets.isSlow(expected, usual);
  }

  private isWorseThanWaiting(): boolean {
    const {dependencies: parts} = this;
    if (!this.isSlow() || !parts.mayAvoidSlow()) return false;
    const usual = parts.usualMilliseconds();
    const expected = this.latency.expectedMilliseconds(usual, parts.now());
    return expected - usual > parts.expectedQueueMilliseconds();
  }

  /** The target is routable again. */
  onReturned(target: RoutableTarget): void {
    this.target = target;
    this.isRemoved = false;
  }

  private ejectionState(): EjectionState {
    return this.dependencies.ejection.stateOf(this.id, this.dependencies.now());
  }
}
