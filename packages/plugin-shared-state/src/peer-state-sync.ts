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
/** A log that said nothing for so long while a peer went ahead is helped out by the peer. */
const LOG_GRACE_MILLISECONDS = 300;
/** Ticks while the daemon does not serve yet, and while it is cut off: peers tell it of news besides. */
const STARTING_INTERVAL_MILLISECONDS = 250;
const LOG_UNREACHABLE_INTERVAL_MILLISECONDS = 1000;

/** The log as the exchange sees it. */
export interface LogConnection {
  readonly isReachable: boolean;
  /** Ends the read that is out and reads afresh. */
  refresh(): void;
}

/** What the exchange needs. */
export interface PeerStateSyncDependencies {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly peerLinks: PeerLinks;
}

/** What is known of a peer's state. */
export interface PeerState {
  readonly peer: Peer;
  readonly summary: StateSummary;
  /** Milliseconds from this daemon having its version in force to hearing that the peer has; undefined when the peer was first. */
  readonly tookMilliseconds: number | undefined;
}

/**
 * Compares states with peers and takes from them what the log does not bring: a daemon cut
 * off from the log goes on with records that its peers read, and its own fold, with the same
 * signature checks, judges them.
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

  /** The peers whose links are up, with what they last said. */
  peerStates(): PeerState[] {
    const linked = this.dependencies.peerLinks.connected();
    return linked.flatMap(
      peer => this.stateByIncarnation.get(peer.incarnation) ?? [],
    );
  }

  /** This daemon's own summary. */
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

  /** Tells peers at a steady pace, and looks for help while there is need. */
  async run(stop: AbortSignal): Promise<void> {
    const {clock, random, peerLinks} = this.dependencies;
    let toldAt = -Infinity;
    while (!stop.aborted) {
      const isNeedy = !this.replica.isServing || !this.log.isReachable;
      const now = clock.monotonicMilliseconds();
      if (now - toldAt >= this.options.summary_milliseconds / 2) {
        toldAt = now;
        peerLinks.broadcast(PeerTopic.StateSummary, this.summary());
      }
      if (isNeedy) await this.requestMissingSummaries();
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

  /** Asks linked peers that have not said anything yet. */
  private async requestMissingSummaries(): Promise<void> {
    const {peerLinks} = this.dependencies;
    const strangers = peerLinks
      .connected()
      .filter(peer => !this.stateByIncarnation.has(peer.incarnation));
    await Promise.all(
      strangers.map(async peer => {
        const answer = await peerLinks
          .request(
            peer.incarnation,
            PeerTopic.StateSummary,
            this.summary(),
            REQUEST_TIMEOUT_MILLISECONDS,
          )
          .catch(() => undefined);
        if (answer !== undefined) this.receiveSummary(peer, answer);
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
    this.forgetUnlinked();
    this.divergenceDetector.compare(peer, summary);
    if (summary.offset > this.replica.live.nextOffset) this.catchUpFromPeers();
  }

  private propagationMilliseconds(
    peer: Peer,
    summary: StateSummary,
  ): number | undefined {
    const before = this.stateByIncarnation.get(peer.incarnation);
    const own = this.replica.live.inForce;
    if (!own || summary.digest !== own.digest) return undefined;
    if (before?.summary.digest === summary.digest)
      return before.tookMilliseconds;
    const now = this.dependencies.clock.monotonicMilliseconds();
    return now - this.replica.inForceSince;
  }

  private forgetUnlinked(): void {
    const linked = new Set(
      this.dependencies.peerLinks.connected().map(peer => peer.incarnation),
    );
    for (const incarnation of this.stateByIncarnation.keys())
      if (!linked.has(incarnation)) this.stateByIncarnation.delete(incarnation);
  }

  private onChange(): void {
    const summary = this.summary();
    const isCutOff = this.peerStates().some(
      state => !state.summary.isLogReachable,
    );
    const key = `${summary.digest} ${summary.isServing}`;
    if (key === this.lastBroadcast && !isCutOff) return;
    this.lastBroadcast = key;
    this.dependencies.peerLinks.broadcast(PeerTopic.StateSummary, summary);
  }

  /**
   * A peer is ahead: the log should bring the same records at once. If its read has hung on a
   * silent connection, a fresh one is made; if the log cannot be reached, the peer gives them.
   */
  private catchUpFromPeers(): void {
    const ahead = this.mostAdvancedPeer();
    if (!ahead || this.isCatchingUp) return;
    this.isCatchingUp = true;
    void this.catchUpFrom(ahead)
      .catch((error: unknown) =>
        this.dependencies.logger.debug(LogEvent.PeerLost, {
          ...ahead.peer,
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

  private async catchUpFrom(ahead: PeerState): Promise<void> {
    const {clock} = this.dependencies;
    const target = ahead.summary.offset;
    if (this.log.isReachable) {
      await sleep(clock, LOG_GRACE_MILLISECONDS);
      if (this.replica.live.nextOffset >= target) return;
      this.log.refresh();
    }
    while (this.replica.live.nextOffset < target) {
      const before = this.replica.live.nextOffset;
      await this.peerRecords.pullFrom(ahead.peer);
      if (this.replica.live.nextOffset === before) return;
    }
  }
}
