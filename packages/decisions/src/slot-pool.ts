import type {RandomSource, Timer} from '@gentiandoor/kernel';
import type {WorkLengthPolicy} from './work-length-policy.js';
import {retryAfterSeconds, type SlotReleaseRate} from './slot-release-rate.js';
import type {EjectionPolicy} from './ejection.js';
import {PoolSlot, type SlotRequest, type SlotIssuer} from './pool-slot.js';
import type {SlowTargetRule} from './slow-target.js';
import type {PeerUsage, PeerUsageByKey, SlotLimiter} from './slot-limiter.js';
import type {TargetSelector} from './target-selector.js';
import type {RoutableTarget, TargetEntry} from './target-entry.js';
import {TargetSet} from './target-set.js';
import {OutcomeKind, isFailure, type TargetOutcome} from './target-outcome.js';
import type {TeamQuota} from './team-quota.js';
import type {
  QueueRejectionReason,
  QueueRejection,
  RequestQueue,
} from './request-queue.js';
import type {CachedClock} from './cached-clock.js';
import type {WeightRamp} from './weight-ramp.js';
import {WorkLength} from './work-length.js';

/** Why work was sent to another data centre. */
export enum SpillReason {
  /** Every slot in this data centre that this daemon may use is taken. */
  DataCentreFull = 'near_full',
  /** No target in this data centre is usable. */
  DataCentreUnavailable = 'near_gone',
}

/** The components of a pool's decisions. */
export interface SlotPoolDependencies {
  readonly clock: CachedClock;
  readonly random: RandomSource;
  readonly limiter: SlotLimiter;
  readonly selector: TargetSelector;
  readonly ejection: EjectionPolicy;
  readonly ramp: WeightRamp;
  readonly releaseRate: SlotReleaseRate;
  readonly workLengthPolicy: WorkLengthPolicy;
  readonly slowTargets: SlowTargetRule;
  readonly quota: TeamQuota;
  readonly queue: RequestQueue<SlotRequest>;
  readonly onSpill: (reason: SpillReason) => void;
  /** Called when requests start to wait, so that peers can be notified and leave slots free. */
  readonly onWaitingStarted: () => void;
}

/** How often deadlines and the standing queue are checked while requests wait. */
const SWEEP_MILLISECONDS = 10;
/**
 * Assigns the slots of one pool to requests: at once if a slot is free, otherwise in queue order.
 * Dispatch and expiry are one decision: a request leaves the queue in the same step that grants or
 * refuses it, and nothing else runs in between.
 */
export class SlotPool implements SlotIssuer {
  private readonly targets: TargetSet;
  /** False once no target had a free slot; saves scanning all targets for each request. */
  private mayHaveFreeSlot = true;
  private sweep: Timer | undefined;

  constructor(private readonly dependencies: SlotPoolDependencies) {
    const {clock, releaseRate} = dependencies;
    this.targets = new TargetSet({
      ...dependencies,
      now: () => clock.monotonicMilliseconds(),
      usualMilliseconds: () =>
        releaseRate.meanSlotMilliseconds(WorkLength.Short),
      expectedQueueMilliseconds: () =>
        (this.waiting + 1) / releaseRate.slotsPerMillisecond(WorkLength.Short),
    });
  }

  get waiting(): number {
    return this.dependencies.queue.length;
  }

  get inFlight(): number {
    const {releaseRate} = this.dependencies;
    return (
      releaseRate.inFlightOf(WorkLength.Short) +
      releaseRate.inFlightOf(WorkLength.Long)
    );
  }

  /** Replaces the routable targets; called only when they change. */
  setTargets(targets: readonly RoutableTarget[]): void {
    this.dependencies.clock.refresh();
    this.targets.set(targets);
    this.onCapacityChanged();
  }

  /** Grants or refuses the request, now or later. */
  acquire(request: SlotRequest): void {
    const {queue, clock} = this.dependencies;
    clock.refresh();
    if (queue.length > 0 && this.mayHaveFreeSlot) this.dispatchWaiting();
    // A slot that is still free after dispatch is one that no waiting request may use.
    const mayStart = queue.length === 0 || this.mayHaveFreeSlot;
    if (mayStart && this.tryStart(request)) return;
    if (this.capacity() === 0) {
      this.refuse(request, undefined);
      return;
    }
    const isFirst = queue.length === 0;
    this.refuseAll(queue.enqueue(request, this.now()));
    if (isFirst && queue.length > 0) this.dependencies.onWaitingStarted();
    this.scheduleSweep();
  }

  /** Cancels a request whose caller gave up; returns false if it is no longer waiting. */
  cancel(request: SlotRequest): boolean {
    return this.dependencies.queue.remove(request);
  }

  /** Handles an external change of what may run: peers' summaries, a quota, a target's state. */
  onCapacityChanged(): void {
    this.dependencies.clock.refresh();
    this.mayHaveFreeSlot = true;
    this.targets.invalidateTotals();
    this.dispatchWaiting();
  }

  /** Returns the slots that this daemon may use now, over all targets. */
  capacity(): number {
    return this.targets.capacity();
  }

  /** Stores a peer's reported usage of the targets. */
  onPeerUsage(
    peer: string,
    usageByKey: PeerUsageByKey,
    expiryMilliseconds: number,
  ): void {
    this.dependencies.clock.refresh();
    this.dependencies.limiter.onPeerUsage(peer, usageByKey, expiryMilliseconds);
    this.onCapacityChanged();
  }

  /** Returns this daemon's usage of each target, for its peers; empty while it has no work. */
  usage(): Map<string, PeerUsage> {
    const waiting = this.waiting > 0;
    if (!waiting && this.inFlight === 0) return new Map();
    return this.targets.usage(waiting);
  }

  /** Returns the targets known to be leaving from their own responses or from a peer. */
  leavingTargets(): string[] {
    this.dependencies.clock.refresh();
    return this.idsOf(entry => entry.isLeaving());
  }

  /** Whether the target is routable. */
  has(target: string): boolean {
    return this.targets.get(target) !== undefined;
  }

  /** Returns the targets that are ejected because of their failures. */
  ejectedTargets(): string[] {
    this.dependencies.clock.refresh();
    return this.idsOf(entry => entry.isEjected());
  }

  /** Handles a notification from a peer that a target is leaving. */
  onTargetLeaving(target: string): void {
    this.dependencies.clock.refresh();
    this.targets.get(target)?.onLeaving();
  }

  /** Returns the monotonic milliseconds of the last complete response from a target. */
  lastAnswerAt(target: string): number | undefined {
    return this.targets.get(target)?.lastAnswerAt;
  }

  /** Returns how many requests of one service wait. */
  waitingForService(service: string): number {
    return this.dependencies.queue.lengthOf(service);
  }

  /** Whether so many targets are failing that none is treated as ejected. */
  get isSharedFault(): boolean {
    return this.dependencies.ejection.isSharedFault;
  }

  /** For `PoolSlot` only. */
  isRoutable(entry: TargetEntry): boolean {
    this.dependencies.clock.refresh();
    return entry.acceptsNewWork();
  }

  /** For `PoolSlot` only. */
  onOutcome({entry, request}: PoolSlot, outcome: TargetOutcome): void {
    this.dependencies.clock.refresh();
    const now = this.now();
    const {limiter, ejection} = this.dependencies;
    const {slots} = entry.target;
    if (outcome.leaving) entry.onLeaving();
    ejection.observe(entry.id, outcome.kind, now);
    if (outcome.kind === OutcomeKind.Busy) {
      limiter.onBusy(entry.id, entry.inFlight, slots);
    } else if (isFailure(outcome.kind)) {
      const usual = this.dependencies.releaseRate.meanSlotMilliseconds(
        WorkLength.Short,
      );
      entry.latency.observeFailure(usual, now);
    } else if (outcome.kind === OutcomeKind.Succeeded) {
      entry.lastAnswerAt = now;
      limiter.onSuccess(entry.id, entry.inFlight, slots);
      this.observeLatency(
        entry,
        request.work,
        outcome.latencyMilliseconds,
        now,
      );
    }
  }

  /** For `PoolSlot` only. */
  onReleased({entry, request, startedAt, wasAnswered}: PoolSlot): void {
    this.targets.onExchangeEnded(entry);
    const {releaseRate, clock} = this.dependencies;
    clock.refresh();
    releaseRate.onEnd(request.work);
    if (wasAnswered)
      releaseRate.onAnswered(request.work, this.now() - startedAt);
    this.dependencies.quota.onEnd(request.team);
    this.mayHaveFreeSlot = true;
    this.dispatchWaiting();
  }

  /**
   * Scales the latency of long work to that of short work, so that a mixture does not make a target
   * look slow.
   */
  private observeLatency(
    entry: TargetEntry,
    work: WorkLength,
    milliseconds: number,
    now: number,
  ): void {
    const {releaseRate} = this.dependencies;
    const scale =
      releaseRate.meanSlotMilliseconds(WorkLength.Short) /
      releaseRate.meanSlotMilliseconds(work);
    entry.latency.observe(milliseconds * scale, now);
  }

  private idsOf(matches: (entry: TargetEntry) => boolean): string[] {
    return [...this.targets.all()].filter(matches).map(({id}) => id);
  }

  private tryStart(request: SlotRequest): boolean {
    if (!this.mayRun(request)) return false;
    const entry = this.targets.pick(request);
    if (entry) this.start(request, entry);
    else this.mayHaveFreeSlot = false;
    return entry !== undefined;
  }

  private mayRun(request: SlotRequest): boolean {
    const {workLengthPolicy, quota} = this.dependencies;
    return (
      workLengthPolicy.mayStart(request.work) && quota.mayStart(request.team)
    );
  }

  /** Starts waiting requests while there are free slots that one of them may use. */
  private dispatchWaiting(): void {
    const {queue} = this.dependencies;
    while (queue.length > 0 && this.mayHaveFreeSlot) {
      const started = this.startNext(true) || this.startNext(false);
      if (!started) return;
    }
  }

  /** Selects a target before dequeuing: a request that leaves the queue must have one. */
  private startNext(idempotent: boolean): boolean {
    const entry = this.targets.pick({idempotent});
    if (!entry) {
      if (!idempotent) this.mayHaveFreeSlot = false;
      return false;
    }
    const request = this.dependencies.queue.dequeue(
      this.now(),
      waiting => this.mayRun(waiting) && entry.canAccept(waiting),
    );
    if (!request) return false;
    const other = request.tried?.has(entry.id)
      ? this.targets.pick(request)
      : undefined;
    this.start(request, other ?? entry);
    return true;
  }

  private start(request: SlotRequest, entry: TargetEntry): void {
    const {releaseRate, workLengthPolicy, quota} = this.dependencies;
    entry.inFlight++;
    releaseRate.onStart(request.work);
    workLengthPolicy.onStart(request.work);
    quota.onStart(request.team);
    if (!entry.target.isSameDataCentre) this.countSpill();
    request.grant(new PoolSlot(this, entry, request, this.now()));
  }

  private countSpill(): void {
    this.dependencies.onSpill(
      this.targets.hasUsableInDataCentre()
        ? SpillReason.DataCentreFull
        : SpillReason.DataCentreUnavailable,
    );
  }

  private refuseAll(rejections: readonly QueueRejection<SlotRequest>[]): void {
    for (const {item, reason} of rejections) this.refuse(item, reason);
  }

  private refuse(
    request: SlotRequest,
    reason: QueueRejectionReason | undefined,
  ): void {
    const {random, releaseRate, queue, quota} = this.dependencies;
    const rate = releaseRate.slotsPerMillisecond(request.work);
    request.refuse({
      reason,
      isQuotaExhausted: !quota.mayStart(request.team),
      retryAfterSeconds: retryAfterSeconds(random, queue.length, rate),
    });
  }

  private scheduleSweep(): void {
    if (this.sweep || this.dependencies.queue.length === 0) return;
    this.sweep = this.dependencies.clock.schedule(SWEEP_MILLISECONDS, () => {
      this.sweep = undefined;
      this.dependencies.clock.refresh();
      this.refuseAll(this.dependencies.queue.removeExpired(this.now()));
      // Free slots can also appear by time alone: an ejection or a peer's summary expires.
      this.mayHaveFreeSlot = true;
      this.dispatchWaiting();
      this.scheduleSweep();
    });
  }

  private now(): number {
    return this.dependencies.clock.monotonicMilliseconds();
  }
}
