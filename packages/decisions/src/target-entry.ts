import type {EjectionPolicy} from './ejection.js';
import {EjectionState} from './ejection.js';
import {LatencyEstimate} from './latency-estimate.js';
import type {SlowTargetRule} from './slow-target.js';
import type {SlotLimiter} from './slot-limiter.js';
import type {SelectionRequest, TargetCandidate} from './target-selector.js';
import type {WeightRamp} from './weight-ramp.js';

/** A target that may receive a pool's work. */
export interface RoutableTarget {
  readonly id: string;
  /** IP address and port. */
  readonly address: string;
  readonly rack: string;
  /** Whether it is in this daemon's data centre. */
  readonly isSameDataCentre: boolean;
  /** Maximum exchanges in flight that the target accepts from all daemons together. */
  readonly slots: number;
  /** Maximum connections that the target accepts from all daemons together. */
  readonly connections: number;
}

/** Dependencies shared by all targets of a pool. */
export interface TargetEntryDependencies {
  now(): number;
  /** Returns the milliseconds that a short exchange usually takes in this pool. */
  usualMilliseconds(): number;
  /** Whether few enough targets are slow to avoid those. */
  mayAvoidSlow(): boolean;
  /** Returns the milliseconds that a request arriving now would wait for another target. */
  expectedQueueMilliseconds(): number;
  readonly limiter: SlotLimiter;
  readonly ejection: EjectionPolicy;
  readonly ramp: WeightRamp;
  readonly slowTargets: SlowTargetRule;
}

const PROBATION_IN_FLIGHT = 1;
/**
 * Long enough for the list to show a leaving target; a target that closes for its own reasons is
 * used again afterwards.
 */
const LEAVING_SIGN_MILLISECONDS = 15_000;

/** What a daemon knows about one target, and whether it may receive a request now. */
export class TargetEntry implements TargetCandidate {
  inFlight = 0;
  /** Monotonic milliseconds of the last complete response. */
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

  /** Returns the slots that this daemon may use here now. */
  limit(): number {
    const {slots, connections} = this.target;
    const maximum = Math.min(slots, connections);
    return this.dependencies.limiter.limit(this.id, maximum);
  }

  /** Returns the slots here that are this daemon's own part. */
  private ownLimit(): number {
    const {slots, connections} = this.target;
    return this.dependencies.limiter.ownLimit(
      this.id,
      Math.min(slots, connections),
    );
  }

  canAccept(request: SelectionRequest): boolean {
    const limit = request.mayBorrow === false ? this.ownLimit() : this.limit();
    if (this.inFlight >= limit || !this.acceptsNewWork()) return false;
    if (this.ejectionState() === EjectionState.InUse)
      return !this.isWorseThanWaiting();
    // A request that cannot be repeated is not used to test whether a failing target works again.
    return request.idempotent && this.inFlight < PROBATION_IN_FLIGHT;
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

  /** Whether new work may be sent there at all: it is not removed, leaving or ejected. */
  acceptsNewWork(): boolean {
    if (this.isRemoved || this.isLeaving()) return false;
    return !this.isEjected();
  }

  /** Whether it receives no work because of its failures. */
  isEjected(): boolean {
    return this.ejectionState() === EjectionState.Ejected;
  }

  /** Whether the target or a peer recently reported that it is leaving. */
  isLeaving(): boolean {
    return this.dependencies.now() < this.leavingUntil;
  }

  /** Marks the target as leaving, as reported by the target itself or a peer. */
  onLeaving(): void {
    this.leavingUntil = this.dependencies.now() + LEAVING_SIGN_MILLISECONDS;
  }

  /** Marks the target as no longer routable; exchanges in flight run to their end. */
  onRemoved(): void {
    this.isRemoved = true;
  }

  /** Whether exchanges here take several times as long as is usual in the pool. */
  isSlow(): boolean {
    const {dependencies} = this;
    const usual = dependencies.usualMilliseconds();
    const expected = this.latency.expectedMilliseconds(
      usual,
      dependencies.now(),
    );
    return dependencies.slowTargets.isSlow(expected, usual);
  }

  private isWorseThanWaiting(): boolean {
    const {dependencies} = this;
    if (!this.isSlow() || !dependencies.mayAvoidSlow()) return false;
    const usual = dependencies.usualMilliseconds();
    const expected = this.latency.expectedMilliseconds(
      usual,
      dependencies.now(),
    );
    return expected - usual > dependencies.expectedQueueMilliseconds();
  }

  /** Marks the target as routable again. */
  onReturned(target: RoutableTarget): void {
    this.target = target;
    this.isRemoved = false;
  }

  private ejectionState(): EjectionState {
    return this.dependencies.ejection.stateOf(this.id, this.dependencies.now());
  }
}
