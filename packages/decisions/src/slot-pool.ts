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

/** Why work went to another data centre. */
export enum SpillReason {
  /** Every slot near by that this daemon may use is taken. */
  DataCentreFull = 'near_full',
  /** No target near by can be used. */
  DataCentreUnavailable = 'near_gone',
}

/** The parts of a pool's decisions. */
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
  /** Requests begin to wait: peers that know it leave slots. */
  readonly onWaitingStarted: () => void;
}

/** How often deadlines and the standing queue are looked at while requests wait. */
const SWEEP_MILLISECONDS = 10;
/**
 * Gives the slots of one pool to requests: at once where there is room, else by the queue's order.
 * Dispatch and giving up are one choice: an ask leaves the queue in the same step that grants or
 * refuses it, and nothing else runs in between.
 */
export class SlotPool implements SlotIssuer {
  private readonly targets: TargetSet;
  /** False once no target had room; spares a look through all targets for each request. */
  private mayHaveFreeSlot = true;
  private sweep: Timer | undefined;

  constructor(private readonly dependencies: SlotPoolDependencies) {
    const {clock, releaseRate: drain} = dependencies;
    this.targets = new TargetSet({
      ...dependencies,
      now: () => clock.monotonicMilliseconds(),
      usualMilliseconds: () => drain.meanSlotMilliseconds(WorkLength.Short),
      expectedQueueMilliseconds: () =>
        (this.waiting + 1) / drain.slotsPerMillisecond(WorkLength.Short),
    });
  }

  get waiting(): number {
    return this.dependencies.queue.length;
  }

  get inFlight(): number {
    const {releaseRate: drain} = this.dependencies;
    return (
      drain.inFlightOf(WorkLength.Short) + drain.inFlightOf(WorkLength.Long)
    );
  }

  /** Replaces the routable targets; called on change only. */
  setTargets(targets: readonly RoutableTarget[]): void {
    this.dependencies.clock.refresh();
    this.targets.set(targets);
    this.onCapacityChanged();
  }

  /** Grants or refuses now or later. */
  acquire(ask: SlotRequest): void {
    const {queue, clock} = this.dependencies;
    clock.refresh();
    if (queue.length > 0 && this.mayHaveFreeSlot) this.dispatchWaiting();
    // Room that is left after pumping is room that none of those waiting may use.
    const mayStart = queue.length === 0 || this.mayHaveFreeSlot;
    if (mayStart && this.tryStart(ask)) return;
    if (this.capacity() === 0) {
      this.refuse(ask, undefined);
      return;
    }
    const isFirst = queue.length === 0;
    this.refuseAll(queue.enqueue(ask, this.now()));
    if (isFirst && queue.length > 0) this.dependencies.onWaitingStarted();
    this.scheduleSweep();
  }

  /** The caller gave up; false when the ask is no longer waiting. */
  cancel(ask: SlotRequest): boolean {
    return this.dependencies.queue.remove(ask);
  }

  /** Something outside changed what may run: peers' summaries, a quota, a target's standing. */
  onCapacityChanged(): void {
    this.dependencies.clock.refresh();
    this.mayHaveFreeSlot = true;
    this.targets.invalidateTotals();
    this.dispatchWaiting();
  }

  /** Slots that this daemon may use now, in all targets. */
  capacity(): number {
    return this.targets.capacity();
  }

  /** Takes in what a peer says that it uses of the targets. */
  onPeerUsage(
    peer: string,
    uses: PeerUsageByKey,
    expiryMilliseconds: number,
  ): void {
    this.dependencies.clock.refresh();
    this.dependencies.limiter.onPeerUsage(peer, uses, expiryMilliseconds);
    this.onCapacityChanged();
  }

  /** This daemon's use of each target, for its peers; empty while it has no work. */
  usage(): Map<string, PeerUsage> {
    const waiting = this.waiting > 0;
    if (!waiting && this.inFlight === 0) return new Map();
    return this.targets.usage(waiting);
  }

  /** Targets that said themselves that they are leaving. */
  leavingTargets(): string[] {
    this.dependencies.clock.refresh();
    return this.idsOf(entry => entry.isLeaving());
  }

  /** Whether the target is among the routable ones. */
  has(target: string): boolean {
    return this.targets.get(target) !== undefined;
  }

  /** Targets that get no work because of their failures. */
  ejectedTargets(): string[] {
    this.dependencies.clock.refresh();
    return this.idsOf(entry => entry.isEjected());
  }

  /** A sign of leaving from a peer. */
  onTargetLeaving(target: string): void {
    this.dependencies.clock.refresh();
    this.targets.get(target)?.onLeaving();
  }

  /** Monotonic milliseconds of the last whole answer from a target. */
  lastAnswerAt(target: string): number | undefined {
    return this.targets.get(target)?.lastAnswerAt;
  }

  /** Requests of one service that wait. */
  waitingForService(service: string): number {
    return this.dependencies.queue.lengthOf(service);
  }

  /** Whether so many targets look bad that none is treated as ejected. */
  get isSharedFault(): boolean {
    return this.dependencies.ejection.isSharedFault;
  }

  /** For `PoolSlot` only. */
  isRoutable(entry: TargetEntry): boolean {
    this.dependencies.clock.refresh();
    return entry.acceptsNewWork();
  }

  /** For `PoolSlot` only. */
  onOutcome({entry, request: ask}: PoolSlot, outcome: TargetOutcome): void {
    this.dependencies.clock.refresh();
    const now = this.now();
    const {limiter: share, ejection} = this.dependencies;
    const {slots} = entry.target;
    if (outcome.leaving) entry.onLeaving();
    ejection.observe(entry.id, outcome.kind, now);
    if (outcome.kind === OutcomeKind.Busy) {
      share.onBusy(entry.id, entry.inFlight, slots);
    } else if (isFailure(outcome.kind)) {
      const usual = this.dependencies.releaseRate.meanSlotMilliseconds(
        WorkLength.Short,
      );
      entry.latency.observeFailure(usual, now);
    } else if (outcome.kind === OutcomeKind.Succeeded) {
      entry.lastAnswerAt = now;
      share.onSuccess(entry.id, entry.inFlight, slots);
      this.observeLatency(entry, ask.work, outcome.latencyMilliseconds, now);
    }
  }

  /** For `PoolSlot` only. */
  onReleased({entry, request: ask, startedAt, wasAnswered}: PoolSlot): void {
    this.targets.onExchangeEnded(entry);
    const {releaseRate: drain, clock} = this.dependencies;
    clock.refresh();
    drain.onEnd(ask.work);
    if (wasAnswered) drain.onAnswered(ask.work, this.now() - startedAt);
    this.dependencies.quota.onEnd(ask.team);
    this.mayHaveFreeSlot = true;
    this.dispatchWaiting();
  }

  /** Long work is brought to the scale of short, so that a mixture does not make a target look slow. */
  private observeLatency(
    entry: TargetEntry,
    work: WorkLength,
    milliseconds: number,
    now: number,
  ): void {
    const {releaseRate: drain} = this.dependencies;
    const scale =
      drain.meanSlotMilliseconds(WorkLength.Short) /
      drain.meanSlotMilliseconds(work);
    entry.latency.observe(milliseconds * scale, now);
  }

  private idsOf(matches: (entry: TargetEntry) => boolean): string[] {
    return [...this.targets.all()].filter(matches).map(({id}) => id);
  }

  private tryStart(ask: SlotRequest): boolean {
    if (!this.mayRun(ask)) return false;
    const entry = this.targets.pick(ask);
    if (entry) this.start(ask, entry);
    else this.mayHaveFreeSlot = false;
    return entry !== undefined;
  }

  private mayRun(ask: SlotRequest): boolean {
    const {workLengthPolicy: gate, quota} = this.dependencies;
    return gate.mayStart(ask.work) && quota.mayStart(ask.team);
  }

  /** Starts waiting asks while there is room that one of them may use. */
  private dispatchWaiting(): void {
    const {queue} = this.dependencies;
    while (queue.length > 0 && this.mayHaveFreeSlot) {
      const started = this.startNext(true) || this.startNext(false);
      if (!started) return;
    }
  }

  /** Finds a target first: an ask that leaves the queue must have one. */
  private startNext(idempotent: boolean): boolean {
    const entry = this.targets.pick({idempotent});
    if (!entry) {
      if (!idempotent) this.mayHaveFreeSlot = false;
      return false;
    }
    const ask = this.dependencies.queue.dequeue(
      this.now(),
      waiting => this.mayRun(waiting) && entry.canAccept(waiting),
    );
    if (!ask) return false;
    const other = ask.tried?.has(entry.id) ? this.targets.pick(ask) : undefined;
    this.start(ask, other ?? entry);
    return true;
  }

  private start(ask: SlotRequest, entry: TargetEntry): void {
    const {
      releaseRate: drain,
      workLengthPolicy: gate,
      quota,
    } = this.dependencies;
    entry.inFlight++;
    drain.onStart(ask.work);
    gate.onStart(ask.work);
    quota.onStart(ask.team);
    if (!entry.target.isSameDataCentre) this.countSpill();
    ask.grant(new PoolSlot(this, entry, ask, this.now()));
  }

  private countSpill(): void {
    this.dependencies.onSpill(
      this.targets.hasUsableInDataCentre()
        ? SpillReason.DataCentreFull
        : SpillReason.DataCentreUnavailable,
    );
  }

  private refuseAll(turned: readonly QueueRejection<SlotRequest>[]): void {
    for (const {item, reason} of turned) this.refuse(item, reason);
  }

  private refuse(
    ask: SlotRequest,
    reason: QueueRejectionReason | undefined,
  ): void {
    const {random, releaseRate: drain, queue, quota} = this.dependencies;
    const rate = drain.slotsPerMillisecond(ask.work);
    ask.refuse({
      reason,
      isQuotaExhausted: !quota.mayStart(ask.team),
      retryAfterSeconds: retryAfterSeconds(random, queue.length, rate),
    });
  }

  private scheduleSweep(): void {
    if (this.sweep || this.dependencies.queue.length === 0) return;
    this.sweep = this.dependencies.clock.schedule(SWEEP_MILLISECONDS, () => {
      this.sweep = undefined;
      this.dependencies.clock.refresh();
      this.refuseAll(this.dependencies.queue.removeExpired(this.now()));
      // Time alone can make room: an ejection or a peer's summary runs out.
      this.mayHaveFreeSlot = true;
      this.dispatchWaiting();
      this.scheduleSweep();
    });
  }

  private now(): number {
    return this.dependencies.clock.monotonicMilliseconds();
  }
}
