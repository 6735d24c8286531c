import {
  LogEvent,
  MetricName,
  jitter,
  sleep,
  toError,
  type Clock,
  type Logger,
  type Metrics,
  type RandomSource,
} from '@gentiandoor/kernel';
import {
  PeerTopic,
  MAXIMUM_RECORD_FORMAT,
  stateHash,
  type Peer,
  type PeerLinks,
} from '@gentiandoor/shared-state';
import {PeerRecords} from './peer-records.js';
import type {SharedStateOptions} from './shared-state-options.js';
import {StateDivergenceDetector} from './state-divergence-detector.js';
import type {StateReplica} from './state-replica.js';
import {stateSummarySchema, type StateSummary} from './state-summary.js';

const REQUEST_TIMEOUT_MILLISECONDS = 5000;
/**
 * Time the log has to deliver records that a peer already has before they are fetched from the
 * peer.
 */
const LOG_GRACE_MILLISECONDS = 300;
/**
 * Intervals while the daemon does not serve yet, and while the log is unreachable. Peers also
 * broadcast changes in between.
 */
const STARTING_INTERVAL_MILLISECONDS = 250;
const LOG_UNREACHABLE_INTERVAL_MILLISECONDS = 1000;

/** Connection to the log as `PeerStateSync` uses it. */
export interface LogConnection {
  readonly isReachable: boolean;
  /** Aborts the read in flight and starts a new one. */
  refresh(): void;
}

/** Dependencies of `PeerStateSync`. */
export interface PeerStateSyncDependencies {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly peerLinks: PeerLinks;
}

/** What this daemon knows about the state of a peer. */
export interface PeerState {
  readonly peer: Peer;
  readonly summary: StateSummary;
  /**
   * Milliseconds from the bundle coming into force here until the peer reported it; undefined
   * when the peer reported it first.
   */
  readonly tookMilliseconds: number | undefined;
}

/**
 * Compares states with peers and fetches records from them that the log does not deliver. A
 * daemon that cannot reach the log continues with records that its peers read; its own fold
 * validates them with the same signature checks.
 */
export class PeerStateSync {
  private readonly stateByIncarnation = new Map<string, PeerState>();
  private readonly peerRecords: PeerRecords;
  private readonly divergenceDetector: StateDivergenceDetector;
  private isCatchingUp = false;
  private lastBroadcast = '';

  constructor(
    private readonly dependencies: PeerStateSyncDependencies,
    private readonly options: SharedStateOptions,
    private readonly replica: StateReplica,
    private readonly log: LogConnection,
  ) {
    const {peerLinks} = dependencies;
    peerLinks.setHandler(PeerTopic.StateSummary, async (from, message) => {
      this.receiveSummary(from, message);
      return this.summary();
    });
    this.peerRecords = new PeerRecords(dependencies, replica);
    this.divergenceDetector = new StateDivergenceDetector(
      dependencies,
      replica,
    );
    replica.onChange(() => this.onChange());
  }

  /** Returns the last summaries of the peers that are linked now. */
  peerStates(): PeerState[] {
    const linked = this.dependencies.peerLinks.connected();
    return linked.flatMap(
      peer => this.stateByIncarnation.get(peer.incarnation) ?? [],
    );
  }

  /** Returns the summary of this daemon's own state. */
  summary(): StateSummary {
    const {live, isServing} = this.replica;
    return {
      offset: live.nextOffset,
      hash: stateHash(live),
      readsFormat: MAXIMUM_RECORD_FORMAT,
      version: live.inForce?.bundle.version ?? 0,
      digest: live.inForce?.digest ?? '',
      isLogReachable: this.log.isReachable,
      isServing,
    };
  }

  /**
   * Broadcasts summaries at a steady interval, and requests the state of peers while this
   * daemon is behind or the log is unreachable.
   */
  async run(stop: AbortSignal): Promise<void> {
    const {clock, random, peerLinks} = this.dependencies;
    let broadcastAt = -Infinity;
    while (!stop.aborted) {
      const needsPeers = !this.replica.isServing || !this.log.isReachable;
      const now = clock.monotonicMilliseconds();
      if (now - broadcastAt >= this.options.summary_milliseconds / 2) {
        broadcastAt = now;
        peerLinks.broadcast(PeerTopic.StateSummary, this.summary());
      }
      if (needsPeers) await this.requestMissingSummaries();
      this.catchUpFromPeers();
      await sleep(clock, jitter(random, this.tickMilliseconds()), stop);
    }
  }

  private tickMilliseconds(): number {
    if (!this.replica.isServing) return STARTING_INTERVAL_MILLISECONDS;
    return this.log.isReachable
      ? this.options.summary_milliseconds
      : LOG_UNREACHABLE_INTERVAL_MILLISECONDS;
  }

  /** Requests summaries from linked peers that have not sent one yet. */
  private async requestMissingSummaries(): Promise<void> {
    const {peerLinks} = this.dependencies;
    const unknownPeers = peerLinks
      .connected()
      .filter(peer => !this.stateByIncarnation.has(peer.incarnation));
    await Promise.all(
      unknownPeers.map(async peer => {
        const response = await peerLinks
          .request(
            peer.incarnation,
            PeerTopic.StateSummary,
            this.summary(),
            REQUEST_TIMEOUT_MILLISECONDS,
          )
          .catch(() => undefined);
        if (response !== undefined) this.receiveSummary(peer, response);
      }),
    );
  }

  private receiveSummary(peer: Peer, message: unknown): void {
    const result = stateSummarySchema.safeParse(message);
    if (!result.success) {
      const tags = {reason: 'malformed'};
      this.dependencies.metrics.increment(MetricName.PeerMessagesDropped, tags);
      return;
    }
    const summary = result.data;
    this.stateByIncarnation.set(peer.incarnation, {
      peer,
      summary,
      tookMilliseconds: this.propagationMilliseconds(peer, summary),
    });
    this.removeUnlinkedPeers();
    this.divergenceDetector.compare(peer, summary);
    if (summary.offset > this.replica.live.nextOffset) this.catchUpFromPeers();
  }

  private propagationMilliseconds(
    peer: Peer,
    summary: StateSummary,
  ): number | undefined {
    const previous = this.stateByIncarnation.get(peer.incarnation);
    const ownBundle = this.replica.live.inForce;
    if (!ownBundle || summary.digest !== ownBundle.digest) return undefined;
    if (previous?.summary.digest === summary.digest)
      return previous.tookMilliseconds;
    const now = this.dependencies.clock.monotonicMilliseconds();
    return now - this.replica.inForceSince;
  }

  private removeUnlinkedPeers(): void {
    const linked = new Set(
      this.dependencies.peerLinks.connected().map(peer => peer.incarnation),
    );
    for (const incarnation of this.stateByIncarnation.keys())
      if (!linked.has(incarnation)) this.stateByIncarnation.delete(incarnation);
  }

  private onChange(): void {
    const summary = this.summary();
    const hasPeerWithoutLog = this.peerStates().some(
      state => !state.summary.isLogReachable,
    );
    const broadcastKey = `${summary.digest} ${summary.isServing}`;
    if (broadcastKey === this.lastBroadcast && !hasPeerWithoutLog) return;
    this.lastBroadcast = broadcastKey;
    this.dependencies.peerLinks.broadcast(PeerTopic.StateSummary, summary);
  }

  /**
   * Catches up when a peer is ahead. The log should deliver the same records at once. If the
   * read hangs on a silent connection, it is restarted, and the records are fetched from the
   * peer; if the log is unreachable, they are fetched from the peer immediately.
   */
  private catchUpFromPeers(): void {
    const mostAdvanced = this.mostAdvancedPeer();
    if (!mostAdvanced || this.isCatchingUp) return;
    this.isCatchingUp = true;
    void this.catchUpFrom(mostAdvanced)
      .catch((error: unknown) =>
        this.dependencies.logger.debug(LogEvent.PeerLost, {
          ...mostAdvanced.peer,
          error: toError(error).message,
        }),
      )
      .finally(() => (this.isCatchingUp = false));
  }

  private mostAdvancedPeer(): PeerState | undefined {
    const {nextOffset} = this.replica.live;
    return this.peerStates()
      .filter(state => state.summary.offset > nextOffset)
      .sort((a, b) => b.summary.offset - a.summary.offset)
      .at(0);
  }

  private async catchUpFrom(peerState: PeerState): Promise<void> {
    const {clock} = this.dependencies;
    const targetOffset = peerState.summary.offset;
    if (this.log.isReachable) {
      await sleep(clock, LOG_GRACE_MILLISECONDS);
      if (this.replica.live.nextOffset >= targetOffset) return;
      this.log.refresh();
    }
    while (this.replica.live.nextOffset < targetOffset) {
      const previousOffset = this.replica.live.nextOffset;
      await this.peerRecords.pullFrom(peerState.peer);
      if (this.replica.live.nextOffset === previousOffset) return;
    }
  }
}
