import type {ClassGate} from './class-gate.js';
import type {DrainRate} from './drain-rate.js';
import {allowedWait} from './standing-queue.js';
import {TeamLane} from './team-lane.js';
import {
  TurnAway,
  type TurnedAway,
  type Waiter,
  type WaitingQueue,
} from './waiting-queue.js';
import {WorkLength} from './work-class.js';

/** One dispatch of so many goes past waiting urgent work, so that a flood of it starves nobody. */
const URGENT_IN_A_ROW = 7;

class ClassLanes<Item extends Waiter> {
  readonly urgent = new TeamLane<Item>();
  readonly usual = new TeamLane<Item>();

  get length(): number {
    return this.urgent.length + this.usual.length;
  }

  of(item: Item): TeamLane<Item> {
    return item.team.urgent ? this.urgent : this.usual;
  }
}

/**
 * The queue of one pool: urgent teams first, then teams by weight, callers of a team in turn, and
 * short and long work apart.
 * Answers one caller or team with most of the load: in one line for all, everyone waits behind it.
 * A request whose turn would come too late is turned away as it comes in, by its own flow's place
 * and the drain rate: the heavy caller is told at once and the others' wait stays short. When the
 * line is full, the newest of the longest flow gives way.
 */
export class FairQueue<Item extends Waiter> implements WaitingQueue<Item> {
  private readonly lanes = {
    [WorkLength.Short]: new ClassLanes<Item>(),
    [WorkLength.Long]: new ClassLanes<Item>(),
  };
  private readonly items = new Set<Item>();
  private readonly lengths = new Map<string, number>();
  private urgentInARow = 0;

  constructor(
    private readonly drain: DrainRate,
    private readonly gate: ClassGate,
  ) {}

  get length(): number {
    return this.items.size;
  }

  lengthOf(service: string): number {
    return this.lengths.get(service) ?? 0;
  }

  enter(item: Item, now: number): readonly TurnedAway<Item>[] {
    const reason = this.judge(item, now);
    if (reason) return [{item, reason}];
    if (this.lengthOf(item.service) < item.queueLimit) {
      this.add(item, now);
      return [];
    }
    return this.makeRoom(item, now);
  }

  next(now: number, mayRun: (item: Item) => boolean): Item | undefined {
    const usualFirst = this.urgentInARow >= URGENT_IN_A_ROW;
    const order = usualFirst ? [false, true] : [true, false];
    for (const urgent of order) {
      const item = this.nextOf(urgent, now, mayRun);
      if (!item) continue;
      this.urgentInARow = urgent ? this.urgentInARow + 1 : 0;
      this.forget(item);
      return item;
    }
    return undefined;
  }

  leave(item: Item): boolean {
    if (!this.items.has(item)) return false;
    this.lanes[item.work].of(item).remove(item);
    this.forget(item);
    return true;
  }

  expire(now: number): readonly TurnedAway<Item>[] {
    const turned: TurnedAway<Item>[] = [];
    for (const item of this.items) {
      const reason = this.overdue(item, now);
      if (reason) turned.push({item, reason});
    }
    for (const {item} of turned) this.leave(item);
    return turned;
  }

  private judge(item: Item, now: number): TurnAway | undefined {
    const wait = this.expectedWait(item);
    if (now + wait >= item.deadline) return TurnAway.Late;
    if (wait > this.allowedWait(item, now)) return TurnAway.Standing;
    return undefined;
  }

  private expectedWait(item: Item): number {
    const lanes = this.lanes[item.work];
    const ahead = lanes.of(item).aheadOf(item);
    const urgent = item.team.urgent ? 0 : lanes.urgent.length;
    const rate = this.drain.perMillisecond(item.work);
    return (ahead + urgent + 1) / rate;
  }

  /** Urgent work is bounded by its teams' quotas and keeps its whole wait. */
  private allowedWait(item: Item, now: number): number {
    const longest = item.deadline - item.enteredAt;
    if (item.team.urgent) return longest;
    const hold = this.drain.holdMilliseconds(item.work);
    const waitingFor = this.lanes[item.work].of(item).waitingFor(item, now);
    return allowedWait(waitingFor, longest, hold);
  }

  private overdue(item: Item, now: number): TurnAway | undefined {
    if (item.deadline <= now) return TurnAway.Late;
    const waited = now - item.enteredAt;
    return waited > this.allowedWait(item, now) ? TurnAway.Standing : undefined;
  }

  private makeRoom(item: Item, now: number): readonly TurnedAway<Item>[] {
    const lane = this.lanes[item.work].of(item);
    const longest = lane.longest(item.service);
    const newest = longest?.newest();
    const isOwn =
      longest?.caller === item.caller && longest.team.name === item.team.name;
    if (!newest || isOwn || !longest || longest.length < 2)
      return [{item, reason: TurnAway.Full}];
    this.leave(newest);
    this.add(item, now);
    return [{item: newest, reason: TurnAway.Full}];
  }

  private nextOf(
    urgent: boolean,
    now: number,
    mayRun: (item: Item) => boolean,
  ): Item | undefined {
    const first = this.gate.first();
    const second =
      first === WorkLength.Short ? WorkLength.Long : WorkLength.Short;
    for (const work of [first, second]) {
      if (!this.gate.mayStart(work)) continue;
      const lanes = this.lanes[work];
      const lane = urgent ? lanes.urgent : lanes.usual;
      if (lane.length === 0) continue;
      const item = lane.next(now, mayRun);
      if (item) return item;
    }
    return undefined;
  }

  private add(item: Item, now: number): void {
    this.lanes[item.work].of(item).add(item, now);
    this.items.add(item);
    this.lengths.set(item.service, this.lengthOf(item.service) + 1);
  }

  private forget(item: Item): void {
    this.items.delete(item);
    this.lengths.set(item.service, this.lengthOf(item.service) - 1);
  }
}
