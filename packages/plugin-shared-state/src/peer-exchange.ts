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
  RECORD_FORMAT,
  stateHash,
  type Peer,
  type PeerLinks,
} from '@gentiandoor/shared-state';
import {PeerRecords} from './peer-records.js';
import type {SharedStateOptions} from './shared-state-options.js';
import {StateComparison} from './state-comparison.js';
import type {StateKeeper} from './state-keeper.js';
import {stateSummarySchema, type StateSummary} from './state-summary.js';

const REQUEST_MILLISECONDS = 5000;
/** A log that said nothing for so long while a peer went ahead is helped out by the peer. */
const HINT_MILLISECONDS = 300;
/** Ticks while the daemon does not serve yet, and while it is cut off: peers tell it of news besides. */
const STARTING_MILLISECONDS = 250;
const CUT_OFF_MILLISECONDS = 1000;

/** The log as the exchange sees it. */
export interface LogView {
  readonly isReachable: boolean;
  /** Ends the read that is out and reads afresh. */
  refresh(): void;
}

/** What the exchange needs. */
export interface PeerExchangeDependencies {
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
export class PeerExchange {
  private readonly peers = new Map<string, PeerState>();
  private readonly records: PeerRecords;
  private readonly comparison: StateComparison;
  private pulling = false;
  private told = '';

  constructor(
    private readonly dependencies: PeerExchangeDependencies,
    private readonly options: SharedStateOptions,
    private readonly keeper: StateKeeper,
    private readonly log: LogView,
  ) {
    const {peerLinks} = dependencies;
    peerLinks.handle(PeerTopic.StateSummary, async (from, message) => {
      this.hear(from, message);
      return this.summary();
    });
    this.records = new PeerRecords(dependencies, keeper);
    this.comparison = new StateComparison(dependencies, keeper);
    keeper.onChange(() => this.onChange());
  }

  /** The peers whose links are up, with what they last said. */
  states(): PeerState[] {
    const linked = this.dependencies.peerLinks.connected();
    return linked.flatMap(peer => this.peers.get(peer.incarnation) ?? []);
  }

  /** This daemon's own summary. */
  summary(): StateSummary {
    const {live, isServing} = this.keeper;
    return {
      offset: live.nextOffset,
      hash: stateHash(live),
      readsFormat: RECORD_FORMAT,
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
      const isNeedy = !this.keeper.isServing || !this.log.isReachable;
      const now = clock.monotonicMilliseconds();
      if (now - toldAt >= this.options.summary_milliseconds / 2) {
        toldAt = now;
        peerLinks.broadcast(PeerTopic.StateSummary, this.summary());
      }
      if (isNeedy) await this.askStrangers();
      this.helpYourself();
      await sleep(clock, jitter(random, this.tickMilliseconds()), stop);
    }
  }

  private tickMilliseconds(): number {
    if (!this.keeper.isServing) return STARTING_MILLISECONDS;
    return this.log.isReachable
      ? this.options.summary_milliseconds
      : CUT_OFF_MILLISECONDS;
  }

  /** Asks linked peers that have not said anything yet. */
  private async askStrangers(): Promise<void> {
    const {peerLinks} = this.dependencies;
    const strangers = peerLinks
      .connected()
      .filter(peer => !this.peers.has(peer.incarnation));
    await Promise.all(
      strangers.map(async peer => {
        const answer = await peerLinks
          .request(
            peer.incarnation,
            PeerTopic.StateSummary,
            this.summary(),
            REQUEST_MILLISECONDS,
          )
          .catch(() => undefined);
        if (answer !== undefined) this.hear(peer, answer);
      }),
    );
  }

  private hear(peer: Peer, message: unknown): void {
    const result = stateSummarySchema.safeParse(message);
    if (!result.success) {
      const tags = {reason: 'malformed'};
      this.dependencies.metrics.increment(MetricName.PeerMessagesDropped, tags);
      return;
    }
    const summary = result.data;
    this.peers.set(peer.incarnation, {
      peer,
      summary,
      tookMilliseconds: this.tookOf(peer, summary),
    });
    this.forgetUnlinked();
    this.comparison.compare(peer, summary);
    if (summary.offset > this.keeper.live.nextOffset) this.helpYourself();
  }

  private tookOf(peer: Peer, summary: StateSummary): number | undefined {
    const before = this.peers.get(peer.incarnation);
    const own = this.keeper.live.inForce;
    if (!own || summary.digest !== own.digest) return undefined;
    if (before?.summary.digest === summary.digest)
      return before.tookMilliseconds;
    const now = this.dependencies.clock.monotonicMilliseconds();
    return now - this.keeper.inForceSince;
  }

  private forgetUnlinked(): void {
    const linked = new Set(
      this.dependencies.peerLinks.connected().map(peer => peer.incarnation),
    );
    for (const incarnation of this.peers.keys())
      if (!linked.has(incarnation)) this.peers.delete(incarnation);
  }

  private onChange(): void {
    const summary = this.summary();
    const isCutOff = this.states().some(state => !state.summary.isLogReachable);
    const key = `${summary.digest} ${summary.isServing}`;
    if (key === this.told && !isCutOff) return;
    this.told = key;
    this.dependencies.peerLinks.broadcast(PeerTopic.StateSummary, summary);
  }

  /**
   * A peer is ahead: the log should bring the same records at once. If its read has hung on a
   * silent connection, a fresh one is made; if the log cannot be reached, the peer gives them.
   */
  private helpYourself(): void {
    const ahead = this.mostAhead();
    if (!ahead || this.pulling) return;
    this.pulling = true;
    void this.catchUpBy(ahead)
      .catch((error: unknown) =>
        this.dependencies.logger.debug(LogEvent.PeerLost, {
          ...ahead.peer,
          error: toError(error).message,
        }),
      )
      .finally(() => (this.pulling = false));
  }

  private mostAhead(): PeerState | undefined {
    const {nextOffset} = this.keeper.live;
    return this.states()
      .filter(state => state.summary.offset > nextOffset)
      .sort((a, b) => b.summary.offset - a.summary.offset)
      .at(0);
  }

  private async catchUpBy(ahead: PeerState): Promise<void> {
    const {clock} = this.dependencies;
    const target = ahead.summary.offset;
    if (this.log.isReachable) {
      await sleep(clock, HINT_MILLISECONDS);
      if (this.keeper.live.nextOffset >= target) return;
      this.log.refresh();
    }
    while (this.keeper.live.nextOffset < target) {
      const before = this.keeper.live.nextOffset;
      await this.records.pullFrom(ahead.peer);
      if (this.keeper.live.nextOffset === before) return;
    }
  }
}
