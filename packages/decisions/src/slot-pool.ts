import type {RandomSource, Timer} from '@gentiandoor/kernel';
import type {ClassGate} from './class-gate.js';
import {retryAfterSeconds, type DrainRate} from './drain-rate.js';
import type {Ejection} from './ejection.js';
import type {SlowTargetRule} from './slow-target.js';
import type {PeerUse, PeerUses, SlotShare} from './slot-share.js';
import type {ChoiceAsk, TargetChoice} from './target-choice.js';
import {TargetEntry, type RoutableTarget} from './target-entry.js';
import {OutcomeKind, isFailure, type TargetOutcome} from './target-outcome.js';
import type {TeamQuota} from './team-quota.js';
import type {
  TurnAway,
  TurnedAway,
  Waiter,
  WaitingQueue,
} from './waiting-queue.js';
import type {TickClock} from './tick-clock.js';
import type {WeightRamp} from './weight-ramp.js';
import {WorkLength} from './work-class.js';

/** A request that wants a slot of the pool. Exactly one of `grant` and `refuse` is called, once. */
export interface SlotAsk extends Waiter, ChoiceAsk {
  grant(slot: PoolSlot): void;
  refuse(refusal: SlotRefusal): void;
}

/** Why a request got no slot. */
export interface SlotRefusal {
  /** Undefined when the pool has no target that could ever take it now. */
  readonly reason: TurnAway | undefined;
  /** Whether the team's quota kept it waiting. */
  readonly quotaHeld: boolean;
  /** Whole seconds after which to come again. */
  readonly retryAfterSeconds: number;
}

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

/** A granted slot. */
export class PoolSlot {
  /** Whether the exchange ended with an answer that is no failure. */
  wasAnswered = false;
  private isReleased = false;

  constructor(
    private readonly pool: SlotPool,
    readonly entry: TargetEntry,
    readonly ask: SlotAsk,
    /** Monotonic milliseconds of the grant. */
    readonly startedAt: number,
  ) {}

  get target(): RoutableTarget {
    return this.entry.target;
  }

  /** Asked directly before the first byte goes out. */
  isRoutable(): boolean {
    return this.pool.isRoutable(this.entry);
  }

  /** What the exchange showed of the target. */
  report(outcome: TargetOutcome): void {
    this.wasAnswered = outcome.kind === OutcomeKind.Succeeded;
    this.pool.onOutcome(this, outcome);
  }

  /** Gives the slot back; a second call does nothing. */
  release(): void {
    if (this.isReleased) return;
    this.isReleased = true;
    this.pool.onReleased(this);
  }
}

/** How often deadlines and the standing queue are looked at while requests wait. */
const SWEEP_MILLISECONDS = 10;
/** How long a sum over the pool's targets is good for. */
const SUMS_MILLISECONDS = 50;

interface PoolSums {
  readonly at: number;
  readonly capacity: number;
  readonly mayAvoidSlow: boolean;
}

/**
 * Gives the slots of one pool to requests: at once where there is room, else by the queue's order.
 * Dispatch and giving up are one choice: an ask leaves the queue in the same step that grants or
 * refuses it, and nothing else runs in between.
 */
export class SlotPool {
  private readonly entries = new Map<string, TargetEntry>();
  private near: TargetEntry[] = [];
  private far: TargetEntry[] = [];
  /** False once no target had room; spares a look through all targets for each request. */
  private mayHaveRoom = true;
  private sweep: Timer | undefined;
  private sums: PoolSums = {at: -Infinity, capacity: 0, mayAvoidSlow: false};

  constructor(private readonly parts: SlotPoolParts) {}

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
    const now = this.now();
    const isFirst = this.entries.size === 0;
    const wanted = new Map(targets.map(target => [target.id, target]));
    for (const [id, entry] of this.entries) {
      if (wanted.get(id)?.address === entry.target.address) continue;
      this.remove(entry, now);
    }
    for (const target of targets) this.put(target, isFirst, now);
    const all = [...this.entries.values()];
    this.near = all.filter(entry => entry.target.isNear);
    this.far = all.filter(entry => !entry.target.isNear);
    this.parts.ejection.setTargets(targets);
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
    this.sums = {...this.sums, at: -Infinity};
    this.pump();
  }

  /** Slots that this daemon may use now, in all targets. */
  capacity(): number {
    return this.sumUp().capacity;
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
    const uses = new Map<string, PeerUse>();
    if (!waiting && this.inFlight === 0) return uses;
    for (const {id, inFlight, target} of this.entries.values()) {
      // Far targets not in use are left out: room kept there for this daemon would be room that
      // the daemons next to them miss.
      if (target.isNear || inFlight > 0 || waiting)
        uses.set(id, {inFlight, waiting});
    }
    return uses;
  }

  /** Targets that said themselves that they are leaving. */
  leaving(): string[] {
    this.parts.clock.tick();
    const found: string[] = [];
    for (const entry of this.entries.values()) {
      if (entry.isLeaving()) found.push(entry.id);
    }
    return found;
  }

  /** Whether the target is among the routable ones. */
  has(target: string): boolean {
    return this.entries.has(target);
  }

  /** Targets that get no work because of their failures. */
  ejected(): string[] {
    return [...this.entries.values()]
      .filter(entry => entry.isEjected())
      .map(({id}) => id);
  }

  /** A sign of leaving from a peer. */
  onLeaving(target: string): void {
    this.parts.clock.tick();
    this.entries.get(target)?.onLeaving();
  }

  /** Monotonic milliseconds of the last whole answer from a target. */
  lastAnswerAt(target: string): number | undefined {
    return this.entries.get(target)?.lastAnswerAt;
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
      entry.latency.penalise(this.usualMilliseconds(), now);
    } else if (outcome.kind === OutcomeKind.Succeeded) {
      entry.lastAnswerAt = now;
      share.onSuccess(entry.id, entry.inFlight, slots);
      this.observeLatency(entry, ask.work, outcome.latencyMilliseconds, now);
    }
  }

  /** For `PoolSlot` only. */
  onReleased({entry, ask, startedAt, wasAnswered}: PoolSlot): void {
    entry.inFlight--;
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

  private sumUp(): PoolSums {
    const now = this.now();
    if (now - this.sums.at < SUMS_MILLISECONDS) return this.sums;
    let capacity = 0;
    let open = 0;
    let slow = 0;
    for (const entry of this.entries.values()) {
      if (!entry.isOpen()) continue;
      open++;
      capacity += entry.limit();
      if (entry.isSlow()) slow++;
    }
    // A fault that slows all targets shows in their estimates before it shows in the mean: without
    // this bound nothing would be sent to any of them until the estimates fade.
    const mayAvoidSlow = slow <= open / 2;
    this.sums = {at: now, capacity, mayAvoidSlow};
    return this.sums;
  }

  private usualMilliseconds(): number {
    return this.parts.drain.holdMilliseconds(WorkLength.Short);
  }

  private put(target: RoutableTarget, isFirst: boolean, now: number): void {
    const known = this.entries.get(target.id);
    if (known) {
      known.target = target;
      return;
    }
    const {clock, share, ejection, ramp, drain, slowTargets} = this.parts;
    const entry = new TargetEntry(target, {
      now: () => clock.monotonicMilliseconds(),
      usualMilliseconds: () => this.usualMilliseconds(),
      mayAvoidSlow: () => this.sumUp().mayAvoidSlow,
      queueMilliseconds: () =>
        (this.waiting + 1) / drain.perMillisecond(WorkLength.Short),
      share,
      ejection,
      ramp,
      slowTargets,
    });
    this.entries.set(target.id, entry);
    if (!isFirst) ramp.onIn(target.id, now);
  }

  private remove(entry: TargetEntry, now: number): void {
    entry.onGone();
    this.entries.delete(entry.id);
    this.parts.ramp.onOut(entry.id, now);
  }

  private startNow(ask: SlotAsk): boolean {
    if (!this.mayRun(ask)) return false;
    const entry = this.pick(ask);
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
    const entry = this.pick({idempotent});
    if (!entry) {
      if (!idempotent) this.mayHaveRoom = false;
      return false;
    }
    const ask = this.parts.queue.next(
      this.now(),
      waiting => this.mayRun(waiting) && entry.hasRoom(waiting),
    );
    if (!ask) return false;
    const other = ask.tried?.has(entry.id) ? this.pick(ask) : undefined;
    this.start(ask, other ?? entry);
    return true;
  }

  /** Near before far, own slots before borrowed ones, warm targets before cold ones. */
  private pick(ask: ChoiceAsk): TargetEntry | undefined {
    const {idempotent, tried} = ask;
    for (const entries of [this.near, this.far]) {
      if (entries.length === 0) continue;
      const entry =
        this.choose(entries, {idempotent, tried, mayBorrow: false}) ??
        this.choose(entries, {idempotent, tried}) ??
        this.choose(entries, {idempotent, tried, mayBeCold: true});
      if (entry) return entry;
    }
    return tried ? this.pick({idempotent}) : undefined;
  }

  private choose(
    entries: readonly TargetEntry[],
    ask: ChoiceAsk,
  ): TargetEntry | undefined {
    return this.parts.choice.choose(entries, ask);
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
    const nearIsOpen = this.near.some(entry => entry.isOpen());
    this.parts.onSpill(
      nearIsOpen ? SpillReason.NearFull : SpillReason.NearGone,
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
