import type {RandomSource, Timer} from '@gentiandoor/kernel';
import type {ClassGate} from './class-gate.js';
import {retryAfterSeconds, type DrainRate} from './drain-rate.js';
import type {Ejection} from './ejection.js';
import {PoolSlot, type SlotAsk, type SlotHolder} from './pool-slot.js';
import type {SlowTargetRule} from './slow-target.js';
import type {PeerUse, PeerUses, SlotShare} from './slot-share.js';
import type {TargetChoice} from './target-choice.js';
import type {RoutableTarget, TargetEntry} from './target-entry.js';
import {TargetSet} from './target-set.js';
import {OutcomeKind, isFailure, type TargetOutcome} from './target-outcome.js';
import type {TeamQuota} from './team-quota.js';
import type {TurnAway, TurnedAway, WaitingQueue} from './waiting-queue.js';
import type {TickClock} from './tick-clock.js';
import type {WeightRamp} from './weight-ramp.js';
import {WorkLength} from './work-class.js';

/** Why work went to another data centre. */
export enum SpillReason {
  /** Every slot near by that this daemon may use is taken. */
  NearFull = 'near_full',
  /** No target near by can be used. */
  NearGone = 'near_gone',
}

/** The parts of a pool's decisions. */
export interface SlotPoolParts {
  readonly clock: TickClock;
  readonly random: RandomSource;
  readonly share: SlotShare;
  readonly choice: TargetChoice;
  readonly ejection: Ejection;
  readonly ramp: WeightRamp;
  readonly drain: DrainRate;
  readonly gate: ClassGate;
  readonly slowTargets: SlowTargetRule;
  readonly quota: TeamQuota;
  readonly queue: WaitingQueue<SlotAsk>;
  readonly onSpill: (reason: SpillReason) => void;
  /** Requests begin to wait: peers that know it leave slots. */
  readonly onPressure: () => void;
}

/** How often deadlines and the standing queue are looked at while requests wait. */
const SWEEP_MILLISECONDS = 10;
/**
 * Gives the slots of one pool to requests: at once where there is room, else by the queue's order.
 * Dispatch and giving up are one choice: an ask leaves the queue in the same step that grants or
 * refuses it, and nothing else runs in between.
 */
export class SlotPool implements SlotHolder {
  private readonly targets: TargetSet;
  /** False once no target had room; spares a look through all targets for each request. */
  private mayHaveRoom = true;
  private sweep: Timer | undefined;

  constructor(private readonly parts: SlotPoolParts) {
    const {clock, drain} = parts;
    this.targets = new TargetSet({
      ...parts,
      now: () => clock.monotonicMilliseconds(),
      usualMilliseconds: () => drain.holdMilliseconds(WorkLength.Short),
      queueMilliseconds: () =>
        (this.waiting + 1) / drain.perMillisecond(WorkLength.Short),
    });
  }

  get waiting(): number {
    return this.parts.queue.length;
  }

  get inFlight(): number {
    const {drain} = this.parts;
    return (
      drain.inFlightOf(WorkLength.Short) + drain.inFlightOf(WorkLength.Long)
    );
  }

  /** Replaces the routable targets; called on change only. */
  setTargets(targets: readonly RoutableTarget[]): void {
    this.parts.clock.tick();
    this.targets.set(targets);
    this.onRoomChanged();
  }

  /** Grants or refuses now or later. */
  acquire(ask: SlotAsk): void {
    const {queue, clock} = this.parts;
    clock.tick();
    if (queue.length > 0 && this.mayHaveRoom) this.pump();
    // Room that is left after pumping is room that none of those waiting may use.
    const mayStart = queue.length === 0 || this.mayHaveRoom;
    if (mayStart && this.startNow(ask)) return;
    if (this.capacity() === 0) {
      this.refuse(ask, undefined);
      return;
    }
    const isFirst = queue.length === 0;
    this.turnAway(queue.enter(ask, this.now()));
    if (isFirst && queue.length > 0) this.parts.onPressure();
    this.armSweep();
  }

  /** The caller gave up; false when the ask is no longer waiting. */
  cancel(ask: SlotAsk): boolean {
    return this.parts.queue.leave(ask);
  }

  /** Something outside changed what may run: peers' summaries, a quota, a target's standing. */
  onRoomChanged(): void {
    this.parts.clock.tick();
    this.mayHaveRoom = true;
    this.targets.onChanged();
    this.pump();
  }

  /** Slots that this daemon may use now, in all targets. */
  capacity(): number {
    return this.targets.capacity();
  }

  /** Takes in what a peer says that it uses of the targets. */
  onPeer(peer: string, uses: PeerUses, expiryMilliseconds: number): void {
    this.parts.clock.tick();
    this.parts.share.onPeer(peer, uses, expiryMilliseconds);
    this.onRoomChanged();
  }

  /** This daemon's use of each target, for its peers; empty while it has no work. */
  uses(): Map<string, PeerUse> {
    const waiting = this.waiting > 0;
    if (!waiting && this.inFlight === 0) return new Map();
    return this.targets.uses(waiting);
  }

  /** Targets that said themselves that they are leaving. */
  leaving(): string[] {
    this.parts.clock.tick();
    return this.idsOf(entry => entry.isLeaving());
  }

  /** Whether the target is among the routable ones. */
  has(target: string): boolean {
    return this.targets.get(target) !== undefined;
  }

  /** Targets that get no work because of their failures. */
  ejected(): string[] {
    this.parts.clock.tick();
    return this.idsOf(entry => entry.isEjected());
  }

  /** A sign of leaving from a peer. */
  onLeaving(target: string): void {
    this.parts.clock.tick();
    this.targets.get(target)?.onLeaving();
  }

  /** Monotonic milliseconds of the last whole answer from a target. */
  lastAnswerAt(target: string): number | undefined {
    return this.targets.get(target)?.lastAnswerAt;
  }

  /** Requests of one service that wait. */
  waitingOf(service: string): number {
    return this.parts.queue.lengthOf(service);
  }

  /** Whether so many targets look bad that none is treated as ejected. */
  get isSharedFault(): boolean {
    return this.parts.ejection.isSharedFault;
  }

  /** For `PoolSlot` only. */
  isRoutable(entry: TargetEntry): boolean {
    this.parts.clock.tick();
    return entry.isOpen();
  }

  /** For `PoolSlot` only. */
  onOutcome({entry, ask}: PoolSlot, outcome: TargetOutcome): void {
    this.parts.clock.tick();
    const now = this.now();
    const {share, ejection} = this.parts;
    const {slots} = entry.target;
    if (outcome.leaving) entry.onLeaving();
    ejection.observe(entry.id, outcome.kind, now);
    if (outcome.kind === OutcomeKind.Busy) {
      share.onBusy(entry.id, entry.inFlight, slots);
    } else if (isFailure(outcome.kind)) {
      const usual = this.parts.drain.holdMilliseconds(WorkLength.Short);
      entry.latency.penalise(usual, now);
    } else if (outcome.kind === OutcomeKind.Succeeded) {
      entry.lastAnswerAt = now;
      share.onSuccess(entry.id, entry.inFlight, slots);
      this.observeLatency(entry, ask.work, outcome.latencyMilliseconds, now);
    }
  }

  /** For `PoolSlot` only. */
  onReleased({entry, ask, startedAt, wasAnswered}: PoolSlot): void {
    this.targets.onEnded(entry);
    const {drain, clock} = this.parts;
    clock.tick();
    drain.onEnd(ask.work);
    if (wasAnswered) drain.onAnswered(ask.work, this.now() - startedAt);
    this.parts.quota.onEnd(ask.team);
    this.mayHaveRoom = true;
    this.pump();
  }

  /** Long work is brought to the scale of short, so that a mixture does not make a target look slow. */
  private observeLatency(
    entry: TargetEntry,
    work: WorkLength,
    milliseconds: number,
    now: number,
  ): void {
    const {drain} = this.parts;
    const scale =
      drain.holdMilliseconds(WorkLength.Short) / drain.holdMilliseconds(work);
    entry.latency.observe(milliseconds * scale, now);
  }

  private idsOf(matches: (entry: TargetEntry) => boolean): string[] {
    return [...this.targets.all()].filter(matches).map(({id}) => id);
  }

  private startNow(ask: SlotAsk): boolean {
    if (!this.mayRun(ask)) return false;
    const entry = this.targets.pick(ask);
    if (entry) this.start(ask, entry);
    else this.mayHaveRoom = false;
    return entry !== undefined;
  }

  private mayRun(ask: SlotAsk): boolean {
    const {gate, quota} = this.parts;
    return gate.mayStart(ask.work) && quota.mayStart(ask.team);
  }

  /** Starts waiting asks while there is room that one of them may use. */
  private pump(): void {
    const {queue} = this.parts;
    while (queue.length > 0 && this.mayHaveRoom) {
      const started = this.startNext(true) || this.startNext(false);
      if (!started) return;
    }
  }

  /** Finds a target first: an ask that leaves the queue must have one. */
  private startNext(idempotent: boolean): boolean {
    const entry = this.targets.pick({idempotent});
    if (!entry) {
      if (!idempotent) this.mayHaveRoom = false;
      return false;
    }
    const ask = this.parts.queue.next(
      this.now(),
      waiting => this.mayRun(waiting) && entry.hasRoom(waiting),
    );
    if (!ask) return false;
    const other = ask.tried?.has(entry.id) ? this.targets.pick(ask) : undefined;
    this.start(ask, other ?? entry);
    return true;
  }

  private start(ask: SlotAsk, entry: TargetEntry): void {
    const {drain, gate, quota} = this.parts;
    entry.inFlight++;
    drain.onStart(ask.work);
    gate.onStart(ask.work);
    quota.onStart(ask.team);
    if (!entry.target.isNear) this.countSpill();
    ask.grant(new PoolSlot(this, entry, ask, this.now()));
  }

  private countSpill(): void {
    this.parts.onSpill(
      this.targets.hasNear() ? SpillReason.NearFull : SpillReason.NearGone,
    );
  }

  private turnAway(turned: readonly TurnedAway<SlotAsk>[]): void {
    for (const {item, reason} of turned) this.refuse(item, reason);
  }

  private refuse(ask: SlotAsk, reason: TurnAway | undefined): void {
    const {random, drain, queue, quota} = this.parts;
    const rate = drain.perMillisecond(ask.work);
    ask.refuse({
      reason,
      quotaHeld: !quota.mayStart(ask.team),
      retryAfterSeconds: retryAfterSeconds(random, queue.length, rate),
    });
  }

  private armSweep(): void {
    if (this.sweep || this.parts.queue.length === 0) return;
    this.sweep = this.parts.clock.schedule(SWEEP_MILLISECONDS, () => {
      this.sweep = undefined;
      this.parts.clock.tick();
      this.turnAway(this.parts.queue.expire(this.now()));
      // Time alone can make room: an ejection or a peer's summary runs out.
      this.mayHaveRoom = true;
      this.pump();
      this.armSweep();
    });
  }

  private now(): number {
    return this.parts.clock.monotonicMilliseconds();
  }
}
