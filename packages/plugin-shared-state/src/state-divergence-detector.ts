import {
  LogEvent,
  MetricName,
  type Logger,
  type Metrics,
} from '@gentiandoor/kernel';
import {MAXIMUM_RECORD_FORMAT, type Peer} from '@gentiandoor/shared-state';
import type {StateReplica} from './state-replica.js';
import type {StateSummary} from './state-summary.js';

/**
 * Maximum offsets of peers ahead of this daemon that are kept until it reaches them and can
 * compare hashes.
 */
const MAXIMUM_PENDING_OFFSETS = 64;

/** Dependencies of `StateDivergenceDetector`. */
export interface StateDivergenceDetectorDependencies {
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/**
 * Compares the states of peers with this daemon's at equal offsets. Without it, two daemons
 * that fold a record differently would route and drain by different states unnoticed.
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

  /** Compares now, or when this daemon reaches the peer's offset. */
  compare(peer: Peer, summary: StateSummary): void {
    this.compareBundles(peer, summary);
    if (summary.readsFormat !== MAXIMUM_RECORD_FORMAT) return;
    const ownHash = this.replica.hashHistory.hashAt(summary.offset);
    if (ownHash !== undefined) {
      this.compareHashes(ownHash, summary.hash, summary.offset, peer.name);
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
      const ownHash = this.replica.hashHistory.hashAt(offset);
      if (ownHash !== undefined)
        this.compareHashes(ownHash, hash, offset, peer);
      if (offset <= this.replica.live.nextOffset)
        this.pendingHashByOffset.delete(offset);
    }
  }

  private compareHashes(
    ownHash: string,
    peerHash: string,
    offset: number,
    peer: string,
  ): void {
    if (ownHash === peerHash) return;
    const {logger, metrics} = this.dependencies;
    metrics.increment(MetricName.StateHashDifferences);
    logger.error(LogEvent.StateHashDiffers, {
      offset,
      peer,
      own: ownHash,
      theirs: peerHash,
    });
  }

  /**
   * Reports a peer whose bundle has the same version but a different digest; only both
   * together identify a bundle.
   */
  private compareBundles(peer: Peer, summary: StateSummary): void {
    const ownBundle = this.replica.live.inForce;
    if (!ownBundle || ownBundle.bundle.version !== summary.version) return;
    if (ownBundle.digest === summary.digest) return;
    this.dependencies.metrics.increment(MetricName.BundleAlarms);
    this.dependencies.logger.error(LogEvent.BundleConflict, {
      version: summary.version,
      own: ownBundle.digest,
      theirs: summary.digest,
      peer: peer.name,
    });
  }
}
