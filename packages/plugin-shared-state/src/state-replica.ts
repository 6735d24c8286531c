import {
  LogEvent,
  MetricName,
  type Clock,
  type Logger,
  type Metrics,
} from '@gentiandoor/kernel';
import {
  MAXIMUM_RECORD_FORMAT,
  RejectionReason,
  applyPayload,
  emptyFleetState,
  stateHash,
  type FleetState,
  type FoldOutcome,
  type TrustedOperators,
} from '@gentiandoor/shared-state';
import {preparseBundle} from './preparse-bundle.js';
import {HashHistory} from './hash-history.js';
import {RecentRecords} from './recent-records.js';
import {UnverifiedRecords} from './unverified-records.js';

/** Maximum time for which applying records may block the event loop. */
const SLICE_MILLISECONDS = 5;

/** Where records were read from. */
export enum RecordSource {
  Log = 'log',
  Peer = 'peer',
}

/** Dependencies of `StateReplica`. */
export interface StateReplicaDependencies {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Yields to other work on the event loop. */
export function yieldToEventLoop(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}

/**
 * Holds the folded state and applies records to it in order, from any source. The served
 * state is empty until the folded state has caught up: otherwise a starting daemon would serve
 * under each older version while it reads through the log.
 */
export class StateReplica {
  readonly recentRecords = new RecentRecords();
  readonly hashHistory = new HashHistory();
  /** The folded state, which may still be catching up. */
  live: FleetState;
  /** Offset up to which the log itself was read; reading continues there. */
  verifiedOffset = 0;
  /** Monotonic milliseconds at which the current bundle came into force at this daemon. */
  inForceSince = 0;
  /** Called for each record that was applied or rejected. */
  onOutcome: (outcome: FoldOutcome) => void = () => undefined;
  private readonly emptyState: FleetState;
  private readonly unverifiedRecords = new UnverifiedRecords();
  private readonly listeners: Array<() => void> = [];
  private serving = false;
  /** The highest bundle version served so far. */
  private highestServedVersion = 0;
  private lastChange: Promise<void> = Promise.resolve();

  constructor(
    private readonly trustedOperators: TrustedOperators,
    private readonly dependencies: StateReplicaDependencies,
  ) {
    this.live = emptyFleetState(trustedOperators);
    this.emptyState = emptyFleetState(trustedOperators);
  }

  /** The state by which requests are served; empty before `startServing`. */
  get servedState(): FleetState {
    return this.serving ? this.live : this.emptyState;
  }

  get isServing(): boolean {
    return this.serving;
  }

  /**
   * True when daemons of a newer version have raised the record format above what this version
   * reads; no further records are applied.
   */
  get isFormatUnsupported(): boolean {
    return this.live.formatInUse > MAXIMUM_RECORD_FORMAT;
  }

  onChange(listener: () => void): void {
    this.listeners.push(listener);
  }

  /** Makes the folded state the served state. */
  startServing(): void {
    const version = this.live.inForce?.bundle.version ?? 0;
    // A rebuilt state must not make an older version served again.
    if (this.serving || version < this.highestServedVersion) return;
    this.serving = true;
    this.highestServedVersion = version;
    this.logInForce();
    this.notify();
  }

  /**
   * Applies the records from offset `from` on. Records from the log that were already applied
   * are compared with the applied ones.
   */
  apply(
    from: number,
    payloads: readonly Uint8Array[],
    source: RecordSource,
  ): Promise<void> {
    return this.runExclusive(() => this.applyAll(from, payloads, source));
  }

  /**
   * Restores the state of a verified snapshot; returns false when it is older than the present
   * state.
   */
  restore(state: FleetState): Promise<boolean> {
    return this.runExclusive(async () => {
      const version = this.live.inForce?.bundle.version ?? 0;
      if (state.nextOffset <= this.live.nextOffset) return false;
      if ((state.inForce?.bundle.version ?? 0) < version) return false;
      const previousDigest = this.live.inForce?.digest;
      this.live = state;
      this.verifiedOffset = state.nextOffset;
      this.unverifiedRecords.clear();
      this.hashHistory.clear();
      this.recentRecords.reset(state.nextOffset);
      this.hashHistory.add(state.nextOffset, stateHash(state));
      this.dependencies.logger.info(LogEvent.SnapshotLoaded, {
        offset: state.nextOffset,
      });
      if (state.inForce?.digest !== previousDigest) this.onBundleInForce();
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
    let appliedCount = 0;
    for (const [index, payload] of payloads.entries()) {
      const offset = from + index;
      if (offset > this.live.nextOffset || this.isFormatUnsupported) break;
      if (offset === this.live.nextOffset) {
        await preparseBundle(this.live, payload, yieldToEventLoop);
        this.applyOne(payload, source);
        appliedCount++;
      } else if (
        source === RecordSource.Log &&
        !this.verifyAgainstLog(offset, payload)
      ) {
        return;
      }
      if (source === RecordSource.Log) this.verifiedOffset = offset + 1;
      if (clock.monotonicMilliseconds() - sliceStart < SLICE_MILLISECONDS)
        continue;
      await yieldToEventLoop();
      sliceStart = clock.monotonicMilliseconds();
    }
    if (appliedCount > 0) this.notify();
  }

  /**
   * Compares a record from the log with the one a peer sent for the offset. If they differ, the
   * state is discarded and rebuilt from the log. Nothing is served meanwhile, because the state
   * may have been built from forged records.
   */
  private verifyAgainstLog(offset: number, payload: Uint8Array): boolean {
    if (this.unverifiedRecords.verify(offset, payload)) return true;
    const {logger, metrics} = this.dependencies;
    metrics.increment(MetricName.StateHashDifferences);
    logger.error(LogEvent.StateHashDiffers, {
      offset,
      detail: 'a record from a peer is not the one in the log',
    });
    this.live = emptyFleetState(this.trustedOperators);
    this.verifiedOffset = 0;
    this.unverifiedRecords.clear();
    this.hashHistory.clear();
    this.recentRecords.reset(0);
    this.serving = false;
    this.notify();
    return false;
  }

  private applyOne(payload: Uint8Array, source: RecordSource): void {
    const previousDigest = this.live.inForce?.digest;
    const outcome = applyPayload(this.live, payload);
    this.recentRecords.add(outcome.offset, payload);
    if (source === RecordSource.Peer)
      this.unverifiedRecords.add(outcome.offset, payload);
    this.hashHistory.add(this.live.nextOffset, stateHash(this.live));
    this.reportOutcome(outcome);
    if (this.live.inForce?.digest !== previousDigest) this.onBundleInForce();
    this.onOutcome(outcome);
  }

  private reportOutcome(outcome: FoldOutcome): void {
    const {logger, metrics} = this.dependencies;
    const {offset, rejection} = outcome;
    if (!rejection) {
      metrics.increment(MetricName.RecordsApplied);
      if (this.isFormatUnsupported)
        logger.error(LogEvent.RecordUnreadable, {
          offset,
          detail: `records of format ${this.live.formatInUse} are in use, this version reads up to ${MAXIMUM_RECORD_FORMAT}`,
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

  private onBundleInForce(): void {
    this.inForceSince = this.dependencies.clock.monotonicMilliseconds();
    if (!this.serving) return;
    this.highestServedVersion =
      this.live.inForce?.bundle.version ?? this.highestServedVersion;
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

  /**
   * Serialises changes of the state by records from the log, records from peers and snapshots.
   */
  private runExclusive<Result>(action: () => Promise<Result>): Promise<Result> {
    const result = this.lastChange.then(action);
    this.lastChange = result.then(
      () => undefined,
      () => undefined,
    );
    return result;
  }
}
