import {
  LogEvent,
  MetricName,
  type Logger,
  type Metrics,
} from '@gentiandoor/kernel';
import {RECORD_FORMAT, type Peer} from '@gentiandoor/shared-state';
import type {StateKeeper} from './state-keeper.js';
import type {StateSummary} from './state-summary.js';

/** Offsets of peers ahead of this daemon, kept to compare their hashes when it gets there. */
const MOST_PENDING = 64;

/** What the comparison needs. */
export interface StateComparisonDependencies {
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/**
 * Holds the states of peers against this daemon's at equal offsets. Without it two daemons
 * that fold one record differently would route and drain by two truths, and nobody would know.
 */
export class StateComparison {
  private readonly pending = new Map<number, {hash: string; peer: string}>();

  constructor(
    private readonly dependencies: StateComparisonDependencies,
    private readonly keeper: StateKeeper,
  ) {
    keeper.onChange(() => this.judgePending());
  }

  /** Compares now, or when this daemon gets to the peer's offset. */
  compare(peer: Peer, summary: StateSummary): void {
    this.compareBundles(peer, summary);
    if (summary.readsFormat !== RECORD_FORMAT) return;
    const own = this.keeper.hashes.at(summary.offset);
    if (own !== undefined) {
      this.judge(own, summary.hash, summary.offset, peer.name);
      return;
    }
    if (summary.offset <= this.keeper.live.nextOffset) return;
    this.pending.set(summary.offset, {hash: summary.hash, peer: peer.name});
    if (this.pending.size <= MOST_PENDING) return;
    const [oldest] = this.pending.keys();
    this.pending.delete(oldest);
  }

  private judgePending(): void {
    for (const [offset, {hash, peer}] of this.pending) {
      const own = this.keeper.hashes.at(offset);
      if (own !== undefined) this.judge(own, hash, offset, peer);
      if (offset <= this.keeper.live.nextOffset) this.pending.delete(offset);
    }
  }

  private judge(
    own: string,
    theirs: string,
    offset: number,
    peer: string,
  ): void {
    if (own === theirs) return;
    const {logger, metrics} = this.dependencies;
    metrics.increment(MetricName.StateHashDifferences);
    logger.error(LogEvent.StateHashDiffers, {offset, peer, own, theirs});
  }

  /** Equal versions, unequal bundles: identity is version and digest. */
  private compareBundles(peer: Peer, summary: StateSummary): void {
    const own = this.keeper.live.inForce;
    if (!own || own.bundle.version !== summary.version) return;
    if (own.digest === summary.digest) return;
    this.dependencies.metrics.increment(MetricName.BundleAlarms);
    this.dependencies.logger.error(LogEvent.BundleConflict, {
      version: summary.version,
      own: own.digest,
      theirs: summary.digest,
      peer: peer.name,
    });
  }
}
