import {
  LogEvent,
  MetricName,
  type Logger,
  type Metrics,
} from '@gentiandoor/kernel';
import {MAXIMUM_RECORD_FORMAT, type Peer} from '@gentiandoor/shared-state';
import type {StateReplica} from './state-replica.js';
import type {StateSummary} from './state-summary.js';

/** Offsets of peers ahead of this daemon, kept to compare their hashes when it gets there. */
const MAXIMUM_PENDING_OFFSETS = 64;

/** What the comparison needs. */
export interface StateDivergenceDetectorDependencies {
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/**
 * Holds the states of peers against this daemon's at equal offsets. Without it two daemons
 * that fold one record differently would route and drain by two truths, and nobody would know.
 */
export class StateDivergenceDetector {
  private readonly pendingHashByOffset = new Map<
    number,
    {hash: string; peer: string}
  >();

  constructor(
    private readonly dependencies: StateDivergenceDetectorDependencies,
    private readonly replica: StateReplica,
  ) {
    replica.onChange(() => this.comparePending());
  }

  /** Compares now, or when this daemon gets to the peer's offset. */
  compare(peer: Peer, summary: StateSummary): void {
    this.compareBundles(peer, summary);
    if (summary.readsFormat !== MAXIMUM_RECORD_FORMAT) return;
    const own = this.replica.hashHistory.hashAt(summary.offset);
    if (own !== undefined) {
      this.compareHashes(own, summary.hash, summary.offset, peer.name);
      return;
    }
    if (summary.offset <= this.replica.live.nextOffset) return;
    this.pendingHashByOffset.set(summary.offset, {
      hash: summary.hash,
      peer: peer.name,
    });
    if (this.pendingHashByOffset.size <= MAXIMUM_PENDING_OFFSETS) return;
    const [oldest] = this.pendingHashByOffset.keys();
    this.pendingHashByOffset.delete(oldest);
  }

  private comparePending(): void {
    for (const [offset, {hash, peer}] of this.pendingHashByOffset) {
      const own = this.replica.hashHistory.hashAt(offset);
      if (own !== undefined) this.compareHashes(own, hash, offset, peer);
      if (offset <= this.replica.live.nextOffset)
        this.pendingHashByOffset.delete(offset);
    }
  }

  private compareHashes(
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
    const own = this.replica.live.inForce;
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
