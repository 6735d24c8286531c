import {randomUUID} from 'node:crypto';
import {
  LogEvent,
  jitter,
  sleep,
  toError,
  type Clock,
  type DaemonIdentity,
  type Logger,
  type RandomSource,
} from '@gentiandoor/kernel';
import {
  NEWEST_SNAPSHOT_KEY,
  MAXIMUM_RECORD_FORMAT,
  RecordKind,
  splitSnapshot,
  encodeSnapshot,
  snapshotDigest,
  type FleetState,
  type LogAppender,
  type SnapshotReference,
} from '@gentiandoor/shared-state';
import {rendezvousOrder} from './rendezvous-order.js';
import type {PublishRecord} from './membership.js';
import type {SharedStateOptions} from './shared-state-options.js';
import {yieldToEventLoop, type StateReplica} from './state-replica.js';

/** Looks that the next in line waits for the one before it. */
const CHECKS_PER_RANK = 3;

/** What snapshot duty needs. */
export interface SnapshotWriterDependencies {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly identity: DaemonIdentity;
}

/** What the log keeps of the fleet stream, as it last said. */
export interface RetainedRange {
  readonly oldest: number;
  readonly end: number | undefined;
}

/**
 * Whether a snapshot is due: by records since the last, by time, or because the last one has
 * come into the older half of what the log keeps. Either alone would fail: few records a day
 * outlive their time, and many records a day outrun any clock.
 */
export function isSnapshotDue(
  state: FleetState,
  kept: RetainedRange,
  ages: {readonly sinceMilliseconds: number; readonly wallMilliseconds: number},
  options: SharedStateOptions,
): boolean {
  if (state.nextOffset === 0) return false;
  const last = state.snapshots.get(NEWEST_SNAPSHOT_KEY);
  const lastOffset = last?.offset ?? 0;
  const records = state.nextOffset - lastOffset;
  if (records >= options.snapshot_records) return true;
  if (ages.sinceMilliseconds >= options.snapshot_milliseconds) return true;
  if (last && ages.wallMilliseconds >= options.snapshot_milliseconds)
    return true;
  const end = kept.end ?? state.nextOffset;
  return kept.oldest > 0 && records > (end - kept.oldest) / 2;
}

/** Takes snapshots when it is this daemon's turn, and raises the record format once all read it. */
export class SnapshotWriter {
  private lastSnapshot: SnapshotReference | undefined;
  private lastSnapshotSeenAt: number;

  constructor(
    private readonly dependencies: SnapshotWriterDependencies,
    private readonly options: SharedStateOptions,
    private readonly replica: StateReplica,
    private readonly retainedRange: RetainedRange,
    private readonly appender: LogAppender,
    private readonly publish: PublishRecord,
  ) {
    this.lastSnapshotSeenAt = dependencies.clock.monotonicMilliseconds();
    replica.onChange(() => this.updateLastSnapshot());
  }

  async run(stop: AbortSignal): Promise<void> {
    const {clock, random} = this.dependencies;
    const {snapshot_check_milliseconds: look} = this.options;
    let looksDue = 0;
    while (!stop.aborted) {
      await sleep(clock, jitter(random, look), stop);
      looksDue = this.isDue() ? looksDue + 1 : 0;
      const rank = this.rank();
      if (rank === 0) await this.raiseFormat(stop);
      if (looksDue > rank * CHECKS_PER_RANK) await this.writeSnapshot(stop);
    }
  }

  private isDue(): boolean {
    const {clock} = this.dependencies;
    const {live, isServing} = this.replica;
    if (!isServing) return false;
    const ages = {
      sinceMilliseconds:
        clock.monotonicMilliseconds() - this.lastSnapshotSeenAt,
      wallMilliseconds: clock.wallMilliseconds() - (this.lastSnapshot?.at ?? 0),
    };
    return isSnapshotDue(live, this.retainedRange, ages, this.options);
  }

  /** This daemon's place in the line; Infinity for one that is no member. */
  private rank(): number {
    const {live} = this.replica;
    const duty = `snapshot after ${this.lastSnapshot?.offset ?? 0}`;
    const order = rendezvousOrder(live.members.values(), duty);
    const place = order.indexOf(this.dependencies.identity.incarnation);
    return place < 0 ? Infinity : place;
  }

  private async writeSnapshot(stop: AbortSignal): Promise<void> {
    const {clock, identity, logger} = this.dependencies;
    const offset = this.replica.live.nextOffset;
    const at = Math.max(0, Math.floor(clock.wallMilliseconds()));
    try {
      const snapshot = await encodeSnapshot(
        this.replica.live,
        yieldToEventLoop,
      );
      for (const chunk of splitSnapshot(offset, snapshot))
        await this.appender.append(chunk, stop);
      await this.publish(
        {
          kind: RecordKind.SnapshotTaken,
          id: randomUUID(),
          writer: identity.incarnation,
          offset,
          digest: snapshotDigest(snapshot),
          bytes: snapshot.length,
          at,
        },
        stop,
      );
      logger.info(LogEvent.SnapshotWritten, {offset, bytes: snapshot.length});
    } catch (error) {
      logger.warn(LogEvent.SnapshotFailed, {
        offset,
        error: toError(error).message,
      });
    }
  }

  private async raiseFormat(stop: AbortSignal): Promise<void> {
    const {live} = this.replica;
    if (live.formatInUse >= MAXIMUM_RECORD_FORMAT) return;
    const members = [...live.members.values()];
    if (members.some(member => member.readsFormat < MAXIMUM_RECORD_FORMAT))
      return;
    const record = {
      kind: RecordKind.FormatRaised,
      id: randomUUID(),
      writer: this.dependencies.identity.incarnation,
      format: MAXIMUM_RECORD_FORMAT,
    } as const;
    await this.publish(record, stop).catch(() => undefined);
  }

  private updateLastSnapshot(): void {
    const newest = this.replica.live.snapshots.get(NEWEST_SNAPSHOT_KEY);
    if (newest === this.lastSnapshot) return;
    this.lastSnapshot = newest;
    this.lastSnapshotSeenAt = this.dependencies.clock.monotonicMilliseconds();
  }
}
