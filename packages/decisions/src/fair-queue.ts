import type {WorkLengthPolicy} from './work-length-policy.js';
import type {SlotReleaseRate} from './slot-release-rate.js';
import {allowedWaitMilliseconds} from './standing-queue.js';
import {WeightedTeamQueue} from './weighted-team-queue.js';
import {
  QueueRejectionReason,
  type QueueRejection,
  type QueuedRequest,
  type RequestQueue,
} from './request-queue.js';
import {WorkLength} from './work-length.js';

/** One dispatch of so many goes past waiting urgent work, so that a flood of it starves nobody. */
const MAXIMUM_CONSECUTIVE_URGENT = 7;

class QueuesByUrgency<Item extends QueuedRequest> {
  readonly urgent = new WeightedTeamQueue<Item>();
  readonly nonUrgent = new WeightedTeamQueue<Item>();

  get length(): number {
    return this.urgent.length + this.nonUrgent.length;
  }

  of(item: Item): WeightedTeamQueue<Item> {
    return item.team.urgent ? this.urgent : this.nonUrgent;
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
export class FairQueue<
  Item extends QueuedRequest,
> implements RequestQueue<Item> {
  private readonly queues = {
    [WorkLength.Short]: new QueuesByUrgency<Item>(),
    [WorkLength.Long]: new QueuesByUrgency<Item>(),
  };
  private readonly items = new Set<Item>();
  private readonly lengths = new Map<string, number>();
  private consecutiveUrgent = 0;

  constructor(
    private readonly releaseRate: SlotReleaseRate,
    private readonly workLengthPolicy: WorkLengthPolicy,
  ) {}

  get length(): number {
    return this.items.size;
  }

  lengthOf(service: string): number {
    return this.lengths.get(service) ?? 0;
  }

  enqueue(item: Item, now: number): readonly QueueRejection<Item>[] {
    const reason = this.entryRejection(item, now);
    if (reason) return [{item, reason}];
    if (this.lengthOf(item.service) < item.queueLimit) {
      this.add(item, now);
      return [];
    }
    return this.replaceFromLongestFlow(item, now);
  }

  dequeue(now: number, mayRun: (item: Item) => boolean): Item | undefined {
    const usualFirst = this.consecutiveUrgent >= MAXIMUM_CONSECUTIVE_URGENT;
    const order = usualFirst ? [false, true] : [true, false];
    for (const urgent of order) {
      const item = this.nextOf(urgent, now, mayRun);
      if (!item) continue;
      this.consecutiveUrgent = urgent ? this.consecutiveUrgent + 1 : 0;
      this.uncount(item);
      return item;
    }
    return undefined;
  }

  remove(item: Item): boolean {
    if (!this.items.has(item)) return false;
    this.queues[item.work].of(item).remove(item);
    this.uncount(item);
    return true;
  }

  removeExpired(now: number): readonly QueueRejection<Item>[] {
    const turned: QueueRejection<Item>[] = [];
    for (const item of this.items) {
      const reason = this.waitingRejection(item, now);
      if (reason) turned.push({item, reason});
    }
    for (const {item} of turned) this.remove(item);
    return turned;
  }

  private entryRejection(
    item: Item,
    now: number,
  ): QueueRejectionReason | undefined {
    const wait = this.expectedWait(item);
    if (now + wait >= item.deadline)
      return QueueRejectionReason.DeadlineExceeded;
    if (wait > this.allowedWait(item, now))
      return QueueRejectionReason.StandingQueue;
    return undefined;
  }

  private expectedWait(item: Item): number {
    const lanes = this.queues[item.work];
    const ahead = lanes.of(item).requestsAhead(item);
    const urgent = item.team.urgent ? 0 : lanes.urgent.length;
    const rate = this.releaseRate.slotsPerMillisecond(item.work);
    return (ahead + urgent + 1) / rate;
  }

  /** Urgent work is bounded by its teams' quotas and keeps its whole wait. */
  private allowedWait(item: Item, now: number): number {
    const longest = item.deadline - item.enqueuedAt;
    if (item.team.urgent) return longest;
    const hold = this.releaseRate.meanSlotMilliseconds(item.work);
    const waitingFor = this.queues[item.work]
      .of(item)
      .waitingMilliseconds(item, now);
    return allowedWaitMilliseconds(waitingFor, longest, hold);
  }

  private waitingRejection(
    item: Item,
    now: number,
  ): QueueRejectionReason | undefined {
    if (item.deadline <= now) return QueueRejectionReason.DeadlineExceeded;
    const waited = now - item.enqueuedAt;
    return waited > this.allowedWait(item, now)
      ? QueueRejectionReason.StandingQueue
      : undefined;
  }

  private replaceFromLongestFlow(
    item: Item,
    now: number,
  ): readonly QueueRejection<Item>[] {
    const lane = this.queues[item.work].of(item);
    const longest = lane.longestFlow(item.service);
    const newest = longest?.newest();
    const isOwn =
      longest?.caller === item.caller && longest.team.name === item.team.name;
    if (!newest || isOwn || !longest || longest.length < 2)
      return [{item, reason: QueueRejectionReason.Full}];
    this.remove(newest);
    this.add(item, now);
    return [{item: newest, reason: QueueRejectionReason.Full}];
  }

  private nextOf(
    urgent: boolean,
    now: number,
    mayRun: (item: Item) => boolean,
  ): Item | undefined {
    const first = this.workLengthPolicy.preferred();
    const second =
      first === WorkLength.Short ? WorkLength.Long : WorkLength.Short;
    for (const work of [first, second]) {
      if (!this.workLengthPolicy.mayStart(work)) continue;
      const lanes = this.queues[work];
      const lane = urgent ? lanes.urgent : lanes.nonUrgent;
      if (lane.length === 0) continue;
      const item = lane.next(now, mayRun);
      if (item) return item;
    }
    return undefined;
  }

  private add(item: Item, now: number): void {
    this.queues[item.work].of(item).add(item, now);
    this.items.add(item);
    this.lengths.set(item.service, this.lengthOf(item.service) + 1);
  }

  private uncount(item: Item): void {
    this.items.delete(item);
    this.lengths.set(item.service, this.lengthOf(item.service) - 1);
  }
}
