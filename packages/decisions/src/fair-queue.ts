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

/**
 * After this many urgent dispatches in a row one other request goes first, so that a flood of
 * urgent work starves nobody.
 */
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
 * The queue of one pool: urgent teams first, then teams by weight, the callers of a team in turn,
 * and short and long work separately.
 * Load: one caller or team sends most of the requests. Without fair queueing, in a single queue,
 * everyone waits behind it. A request that would be served too late is rejected on entry, based on
 * the position in its own flow and the release rate: the heavy caller is refused at once and the
 * wait of the others stays short. When the queue is full, the newest request of the longest flow is
 * evicted.
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
    const nonUrgentFirst = this.consecutiveUrgent >= MAXIMUM_CONSECUTIVE_URGENT;
    const order = nonUrgentFirst ? [false, true] : [true, false];
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
    const rejections: QueueRejection<Item>[] = [];
    for (const item of this.items) {
      const reason = this.waitingRejection(item, now);
      if (reason) rejections.push({item, reason});
    }
    for (const {item} of rejections) this.remove(item);
    return rejections;
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
    const queues = this.queues[item.work];
    const ahead = queues.of(item).requestsAhead(item);
    const urgent = item.team.urgent ? 0 : queues.urgent.length;
    const rate = this.releaseRate.slotsPerMillisecond(item.work);
    return (ahead + urgent + 1) / rate;
  }

  /** Urgent work is limited by its teams' quotas, so it may wait until its deadline. */
  private allowedWait(item: Item, now: number): number {
    const maximumWait = item.deadline - item.enqueuedAt;
    if (item.team.urgent) return maximumWait;
    const slotMilliseconds = this.releaseRate.meanSlotMilliseconds(item.work);
    const waitingMilliseconds = this.queues[item.work]
      .of(item)
      .waitingMilliseconds(item, now);
    return allowedWaitMilliseconds(
      waitingMilliseconds,
      maximumWait,
      slotMilliseconds,
    );
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
    const queue = this.queues[item.work].of(item);
    const longestFlow = queue.longestFlow(item.service);
    const newest = longestFlow?.newest();
    const isOwn =
      longestFlow?.caller === item.caller &&
      longestFlow.team.name === item.team.name;
    if (!newest || isOwn || !longestFlow || longestFlow.length < 2)
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
      const queues = this.queues[work];
      const queue = urgent ? queues.urgent : queues.nonUrgent;
      if (queue.length === 0) continue;
      const item = queue.next(now, mayRun);
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
