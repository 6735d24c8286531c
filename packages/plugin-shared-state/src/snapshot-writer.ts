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

/** Checks that each daemon waits for the one ranked before it to act. */
const CHECKS_PER_RANK = 3;

/** Dependencies of `SnapshotWriter`. */
export interface SnapshotWriterDependencies {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly identity: DaemonIdentity;
}

/** Range of the fleet stream that the log retains, from its last response. */
export interface RetainedRange {
  readonly oldest: number;
  readonly end: number | undefined;
}

/**
 * Returns whether a snapshot is due: by records since the last one, by time, or because the
 * last one is in the older half of what the log retains. Neither count nor time is enough
 * alone: with few records a day they would expire before the count is reached, and with many
 * a day the log could expire them before any time limit.
 */
export function isSnapshotDue(
  state: FleetState,
  retainedRange: RetainedRange,
  ages: {readonly sinceMilliseconds: number; readonly wallMilliseconds: number},
  options: SharedStateOptions,
): boolean {
  if (state.nextOffset === 0) return false;
  const lastSnapshot = state.snapshots.get(NEWEST_SNAPSHOT_KEY);
  const lastOffset = lastSnapshot?.offset ?? 0;
  const recordsSinceSnapshot = state.nextOffset - lastOffset;
  if (recordsSinceSnapshot >= options.snapshot_records) return true;
  if (ages.sinceMilliseconds >= options.snapshot_milliseconds) return true;
  if (lastSnapshot && ages.wallMilliseconds >= options.snapshot_milliseconds)
    return true;
  const end = retainedRange.end ?? state.nextOffset;
  return (
    retainedRange.oldest > 0 &&
    recordsSinceSnapshot > (end - retainedRange.oldest) / 2
  );
}

/**
 * Writes snapshots when it is this daemon's turn, and raises the record format once all
 * members read it.
 */
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
    const {snapshot_check_milliseconds: checkMilliseconds} = this.options;
    let dueChecks = 0;
    while (!stop.aborted) {
      await sleep(clock, jitter(random, checkMilliseconds), stop);
      dueChecks = this.isDue() ? dueChecks + 1 : 0;
      const rank = this.rank();
      if (rank === 0) await this.raiseFormat(stop);
      if (dueChecks > rank * CHECKS_PER_RANK) await this.writeSnapshot(stop);
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

  /** Returns this daemon's rank for the next snapshot; Infinity if it is not a member. */
  private rank(): number {
    const {live} = this.replica;
    const duty = `snapshot after ${this.lastSnapshot?.offset ?? 0}`;
    const writerOrder = rendezvousOrder(live.members.values(), duty);
    const rank = writerOrder.indexOf(this.dependencies.identity.incarnation);
    return rank < 0 ? Infinity : rank;
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
