import {
  LogEvent,
  MetricName,
  type Clock,
  type Logger,
  type Metrics,
} from '@gentiandoor/kernel';
import {
  RECORD_FORMAT,
  RejectionReason,
  applyPayload,
  emptyFleetState,
  stateHash,
  type FleetState,
  type FoldOutcome,
  type TrustedOperators,
} from '@gentiandoor/shared-state';
import {parseBundleAhead} from './bundle-ahead.js';
import {HashHistory} from './hash-history.js';
import {RecentRecords} from './recent-records.js';
import {UnverifiedRecords} from './unverified-records.js';

/** Time that applying records may hold the event loop. */
const SLICE_MILLISECONDS = 5;

/** Where records came from. */
export enum RecordSource {
  Log = 'log',
  Peer = 'peer',
}

/** What the keeper needs. */
export interface StateKeeperDependencies {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Gives way to other work on the event loop. */
export function restOfLoop(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}

/**
 * Holds the folded state and applies records to it, in order, whatever they come from.
 * What others see is empty until the state has caught up: a daemon that starts would
 * otherwise serve under each older version on its way through the log.
 */
export class StateKeeper {
  readonly recent = new RecentRecords();
  readonly hashes = new HashHistory();
  /** The folded state, also while it is still catching up. */
  live: FleetState;
  /** Offset up to which the log itself was read. */
  verifiedOffset = 0;
  /** Monotonic milliseconds at which the bundle in force came into force here. */
  inForceSince = 0;
  /** Called for each record that was judged. */
  onOutcome: (outcome: FoldOutcome) => void = () => undefined;
  private readonly hidden: FleetState;
  private readonly unverified = new UnverifiedRecords();
  private readonly listeners: Array<() => void> = [];
  private serving = false;
  /** The highest version that was served under. */
  private floor = 0;
  private lane: Promise<void> = Promise.resolve();

  constructor(
    private readonly trusted: TrustedOperators,
    private readonly dependencies: StateKeeperDependencies,
  ) {
    this.live = emptyFleetState(trusted);
    this.hidden = emptyFleetState(trusted);
  }

  /** The state to serve by. */
  get visible(): FleetState {
    return this.serving ? this.live : this.hidden;
  }

  get isServing(): boolean {
    return this.serving;
  }

  /** Another version has raised the format above what this one reads: the state stands still. */
  get isOutgrown(): boolean {
    return this.live.formatInUse > RECORD_FORMAT;
  }

  onChange(listener: () => void): void {
    this.listeners.push(listener);
  }

  /** Shows the state to the daemon. */
  serve(): void {
    const version = this.live.inForce?.bundle.version ?? 0;
    // A state built again must not bring back an older version.
    if (this.serving || version < this.floor) return;
    this.serving = true;
    this.floor = version;
    this.logInForce();
    this.notify();
  }

  /** Applies the records from offset `from` on; those already applied are held against them. */
  apply(
    from: number,
    payloads: readonly Uint8Array[],
    source: RecordSource,
  ): Promise<void> {
    return this.inLane(() => this.applyAll(from, payloads, source));
  }

  /** Takes the state of a verified snapshot; false when it is older than what is here. */
  restore(state: FleetState): Promise<boolean> {
    return this.inLane(async () => {
      const version = this.live.inForce?.bundle.version ?? 0;
      if (state.nextOffset <= this.live.nextOffset) return false;
      if ((state.inForce?.bundle.version ?? 0) < version) return false;
      const before = this.live.inForce?.digest;
      this.live = state;
      this.verifiedOffset = state.nextOffset;
      this.unverified.clear();
      this.hashes.clear();
      this.recent.reset(state.nextOffset);
      this.hashes.note(state.nextOffset, stateHash(state));
      this.dependencies.logger.info(LogEvent.SnapshotLoaded, {
        offset: state.nextOffset,
      });
      if (state.inForce?.digest !== before) this.noteInForce();
      this.notify();
      return true;
    });
  }

  private async applyAll(
    from: number,
    payloads: readonly Uint8Array[],
    source: RecordSource,
  ): Promise<void> {
    const {clock} = this.dependencies;
    let sliceStart = clock.monotonicMilliseconds();
    let applied = 0;
    for (const [index, payload] of payloads.entries()) {
      const offset = from + index;
      if (offset > this.live.nextOffset || this.isOutgrown) break;
      if (offset === this.live.nextOffset) {
        await parseBundleAhead(this.live, payload, restOfLoop);
        this.applyOne(payload, source);
        applied++;
      } else if (source === RecordSource.Log && !this.verify(offset, payload)) {
        return;
      }
      if (source === RecordSource.Log) this.verifiedOffset = offset + 1;
      if (clock.monotonicMilliseconds() - sliceStart < SLICE_MILLISECONDS)
        continue;
      await restOfLoop();
      sliceStart = clock.monotonicMilliseconds();
    }
    if (applied > 0) this.notify();
  }

  /**
   * A record that a peer passed on is not what the log holds: the state is given up and read
   * again from the log. Nothing is served meanwhile, for nobody knows what it rested on.
   */
  private verify(offset: number, payload: Uint8Array): boolean {
    if (this.unverified.verify(offset, payload)) return true;
    const {logger, metrics} = this.dependencies;
    metrics.increment(MetricName.StateHashDifferences);
    logger.error(LogEvent.StateHashDiffers, {
      offset,
      detail: 'a record from a peer is not the one in the log',
    });
    this.live = emptyFleetState(this.trusted);
    this.verifiedOffset = 0;
    this.unverified.clear();
    this.hashes.clear();
    this.recent.reset(0);
    this.serving = false;
    this.notify();
    return false;
  }

  private applyOne(payload: Uint8Array, source: RecordSource): void {
    const before = this.live.inForce?.digest;
    const outcome = applyPayload(this.live, payload);
    this.recent.add(outcome.offset, payload);
    if (source === RecordSource.Peer)
      this.unverified.note(outcome.offset, payload);
    this.hashes.note(this.live.nextOffset, stateHash(this.live));
    this.noteOutcome(outcome);
    if (this.live.inForce?.digest !== before) this.noteInForce();
    this.onOutcome(outcome);
  }

  private noteOutcome(outcome: FoldOutcome): void {
    const {logger, metrics} = this.dependencies;
    const {offset, rejection} = outcome;
    if (!rejection) {
      metrics.increment(MetricName.RecordsApplied);
      if (this.isOutgrown)
        logger.error(LogEvent.RecordUnreadable, {
          offset,
          detail: `records of format ${this.live.formatInUse} are in use, this version reads up to ${RECORD_FORMAT}`,
        });
      return;
    }
    metrics.increment(MetricName.RecordsRejected, {reason: rejection.reason});
    const event =
      rejection.reason === RejectionReason.Unreadable
        ? LogEvent.RecordUnreadable
        : LogEvent.RecordRejected;
    logger.warn(event, {offset, ...rejection});
  }

  private noteInForce(): void {
    this.inForceSince = this.dependencies.clock.monotonicMilliseconds();
    if (!this.serving) return;
    this.floor = this.live.inForce?.bundle.version ?? this.floor;
    this.logInForce();
  }

  private logInForce(): void {
    const {inForce} = this.live;
    if (!inForce) return;
    this.dependencies.logger.info(LogEvent.BundleInForce, {
      version: inForce.bundle.version,
      digest: inForce.digest,
    });
  }

  private notify(): void {
    for (const listener of this.listeners) listener();
  }

  /** One change at a time: records from the log, records from peers and snapshots. */
  private inLane<Result>(action: () => Promise<Result>): Promise<Result> {
    const result = this.lane.then(action);
    this.lane = result.then(
      () => undefined,
      () => undefined,
    );
    return result;
  }
}
