import {sleep, type Clock, type DaemonIdentity} from '@gentiandoor/kernel';
import type {PeerDirectory} from '@gentiandoor/shared-state';
import type {PeerStateSync} from './peer-state-sync.js';
import type {SharedStateOptions} from './shared-state-options.js';
import type {StateReplica} from './state-replica.js';

const CHECK_INTERVAL_MILLISECONDS = 50;
/** Peers that a starting daemon waits to hear of, of those it knows. */
const SUFFICIENT_PEERS = 3;

/** What the gate needs. */
export interface ServingGateDependencies {
  readonly clock: Clock;
  readonly identity: DaemonIdentity;
  readonly peerDirectory: PeerDirectory;
}

/** What the log has shown since the start. */
export interface LogProgress {
  /** The end of the stream as the log last said; undefined before its first answer. */
  readonly end: number | undefined;
  readonly isReachable: boolean;
}

/**
 * Decides when a daemon that starts may serve: not under a version lower than the log or any
 * linked peer shows. With the log it reads to its end first; without the log it takes the
 * state of the peer that is furthest; with neither it serves nothing.
 */
export class ServingGate {
  /** Whether the state is far enough to join the members. */
  isCaughtUp = false;

  constructor(
    private readonly dependencies: ServingGateDependencies,
    private readonly options: SharedStateOptions,
    private readonly replica: StateReplica,
    private readonly peerStateSync: PeerStateSync,
    private readonly logProgress: LogProgress,
  ) {}

  /** Opens whenever the state has caught up and the join was read back; runs on, for the state may be given up later. */
  async run(stop: AbortSignal): Promise<void> {
    const {clock} = this.dependencies;
    const startedAt = clock.monotonicMilliseconds();
    while (!stop.aborted) {
      const waited = clock.monotonicMilliseconds() - startedAt;
      this.isCaughtUp = this.replica.isServing || this.mayServe(waited);
      if (!this.replica.isServing && this.isCaughtUp && this.isJoinSettled())
        this.replica.startServing();
      const pause = this.replica.isServing
        ? this.options.summary_milliseconds
        : CHECK_INTERVAL_MILLISECONDS;
      await sleep(clock, pause, stop);
    }
  }

  /**
   * Moves and reboots wait for the members of their offset. A daemon that routed before its own
   * join was read back would not be waited for, and two pools would use one VM. While the log
   * cannot be reached it serves with the state of a peer, which is a member and holds up what
   * this one would have to.
   */
  private isJoinSettled(): boolean {
    const {identity} = this.dependencies;
    if (!this.logProgress.isReachable) return true;
    return this.replica.live.members.has(identity.incarnation);
  }

  /** `waitedMilliseconds` since the start. */
  mayServe(waitedMilliseconds: number): boolean {
    if (this.isBehindPeers()) return false;
    const isGathered =
      this.hasHeardSufficientPeers() ||
      waitedMilliseconds >= this.options.gather_milliseconds;
    if (!isGathered) return false;
    const {end, isReachable} = this.logProgress;
    const {nextOffset, inForce} = this.replica.live;
    if (isReachable) return end !== undefined && nextOffset >= end;
    const serving = this.peerStateSync
      .peerStates()
      .filter(state => state.summary.isServing);
    return (
      inForce !== undefined &&
      serving.length > 0 &&
      serving.every(state => state.summary.offset <= nextOffset)
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
    // Without peer links of its own nobody will be heard.
    if (peerDirectory.ownAddress === undefined) return true;
    const known = peerDirectory.entries().length;
    if (known === 0) return false;
    return (
      this.peerStateSync.peerStates().length >=
      Math.min(known, SUFFICIENT_PEERS)
    );
  }
}
