import {sleep, type Clock, type DaemonIdentity} from '@gentiandoor/kernel';
import type {PeerDirectory} from '@gentiandoor/shared-state';
import type {PeerStateSync} from './peer-state-sync.js';
import type {SharedStateOptions} from './shared-state-options.js';
import type {StateReplica} from './state-replica.js';

const CHECK_INTERVAL_MILLISECONDS = 50;
/** Number of known peers whose summaries a starting daemon waits for. */
const SUFFICIENT_PEERS = 3;

/** Dependencies of `ServingGate`. */
export interface ServingGateDependencies {
  readonly clock: Clock;
  readonly identity: DaemonIdentity;
  readonly peerDirectory: PeerDirectory;
}

/** What this daemon has learned from the log since its start. */
export interface LogProgress {
  /** End of the stream in the last response of the log; undefined before the first one. */
  readonly end: number | undefined;
  readonly isReachable: boolean;
}

/**
 * Decides when a starting daemon may serve: never under a lower version than the log or any
 * linked peer shows. If the log is reachable, the daemon reads to its end first. Otherwise it
 * takes the state of the most advanced peer. With neither it serves nothing.
 */
export class ServingGate {
  /** Whether the state has caught up far enough to join the members. */
  isCaughtUp = false;

  constructor(
    private readonly dependencies: ServingGateDependencies,
    private readonly options: SharedStateOptions,
    private readonly replica: StateReplica,
    private readonly peerStateSync: PeerStateSync,
    private readonly logProgress: LogProgress,
  ) {}

  /**
   * Starts serving whenever the state has caught up and the join was read back. Keeps running,
   * because the state may be discarded later.
   */
  async run(stop: AbortSignal): Promise<void> {
    const {clock} = this.dependencies;
    const startedAt = clock.monotonicMilliseconds();
    while (!stop.aborted) {
      const waitedMilliseconds = clock.monotonicMilliseconds() - startedAt;
      this.isCaughtUp =
        this.replica.isServing || this.mayServe(waitedMilliseconds);
      if (!this.replica.isServing && this.isCaughtUp && this.isJoinSettled())
        this.replica.startServing();
      const intervalMilliseconds = this.replica.isServing
        ? this.options.summary_milliseconds
        : CHECK_INTERVAL_MILLISECONDS;
      await sleep(clock, intervalMilliseconds, stop);
    }
  }

  /**
   * Moves and reboots wait for the daemons that are members at their offset. They would not
   * wait for a daemon that routes requests before its own join was read back, and two pools
   * would use one VM. While the log is unreachable, this daemon serves with the state of a
   * peer: that peer is a member, and a move that would have to wait for this daemon waits for
   * the peer.
   */
  private isJoinSettled(): boolean {
    const {identity} = this.dependencies;
    if (!this.logProgress.isReachable) return true;
    return this.replica.live.members.has(identity.incarnation);
  }

  /**
   * Returns whether the state is current enough to serve, `waitedMilliseconds` after the
   * start.
   */
  mayServe(waitedMilliseconds: number): boolean {
    if (this.isBehindPeers()) return false;
    const hasGatheredPeers =
      this.hasHeardSufficientPeers() ||
      waitedMilliseconds >= this.options.gather_milliseconds;
    if (!hasGatheredPeers) return false;
    const {end, isReachable} = this.logProgress;
    const {nextOffset, inForce} = this.replica.live;
    if (isReachable) return end !== undefined && nextOffset >= end;
    const servingPeers = this.peerStateSync
      .peerStates()
      .filter(state => state.summary.isServing);
    return (
      inForce !== undefined &&
      servingPeers.length > 0 &&
      servingPeers.every(state => state.summary.offset <= nextOffset)
    );
  }

  private isBehindPeers(): boolean {
    const version = this.replica.live.inForce?.bundle.version ?? 0;
    return this.peerStateSync
      .peerStates()
      .some(state => state.summary.version > version);
  }

  private hasHeardSufficientPeers(): boolean {
    const {peerDirectory} = this.dependencies;
    // A daemon without a peer address of its own has no links and will receive no summaries.
    if (peerDirectory.ownAddress === undefined) return true;
    const knownCount = peerDirectory.entries().length;
    if (knownCount === 0) return false;
    return (
      this.peerStateSync.peerStates().length >=
      Math.min(knownCount, SUFFICIENT_PEERS)
    );
  }
}
