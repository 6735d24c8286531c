import {sleep, type Clock, type DaemonIdentity} from '@gentiandoor/kernel';
import type {PeerDirectory} from '@gentiandoor/shared-state';
import type {PeerExchange} from './peer-exchange.js';
import type {SharedStateOptions} from './shared-state-options.js';
import type {StateKeeper} from './state-keeper.js';

const LOOK_MILLISECONDS = 50;
/** Peers that a starting daemon waits to hear of, of those it knows. */
const ENOUGH_PEERS = 3;

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
    private readonly keeper: StateKeeper,
    private readonly exchange: PeerExchange,
    private readonly progress: LogProgress,
  ) {}

  /** Opens whenever the state has caught up and the join was read back; runs on, for the state may be given up later. */
  async run(stop: AbortSignal): Promise<void> {
    const {clock} = this.dependencies;
    const startedAt = clock.monotonicMilliseconds();
    while (!stop.aborted) {
      const waited = clock.monotonicMilliseconds() - startedAt;
      this.isCaughtUp = this.keeper.isServing || this.mayServe(waited);
      if (!this.keeper.isServing && this.isCaughtUp && this.isAwaited())
        this.keeper.serve();
      const pause = this.keeper.isServing
        ? this.options.summary_milliseconds
        : LOOK_MILLISECONDS;
      await sleep(clock, pause, stop);
    }
  }

  /**
   * Moves and reboots wait for the members of their offset. A daemon that routed before its own
   * join was read back would not be waited for, and two pools would use one VM. While the log
   * cannot be reached it serves with the state of a peer, which is a member and holds up what
   * this one would have to.
   */
  private isAwaited(): boolean {
    const {identity} = this.dependencies;
    if (!this.progress.isReachable) return true;
    return this.keeper.live.members.has(identity.incarnation);
  }

  /** `waitedMilliseconds` since the start. */
  mayServe(waitedMilliseconds: number): boolean {
    if (this.isBehindPeers()) return false;
    const isGathered =
      this.hasHeardEnough() ||
      waitedMilliseconds >= this.options.gather_milliseconds;
    if (!isGathered) return false;
    const {end, isReachable} = this.progress;
    const {nextOffset, inForce} = this.keeper.live;
    if (isReachable) return end !== undefined && nextOffset >= end;
    const serving = this.exchange
      .states()
      .filter(state => state.summary.isServing);
    return (
      inForce !== undefined &&
      serving.length > 0 &&
      serving.every(state => state.summary.offset <= nextOffset)
    );
  }

  private isBehindPeers(): boolean {
    const version = this.keeper.live.inForce?.bundle.version ?? 0;
    return this.exchange
      .states()
      .some(state => state.summary.version > version);
  }

  private hasHeardEnough(): boolean {
    const {peerDirectory} = this.dependencies;
    // Without peer links of its own nobody will be heard.
    if (peerDirectory.ownAddress === undefined) return true;
    const known = peerDirectory.entries().length;
    if (known === 0) return false;
    return this.exchange.states().length >= Math.min(known, ENOUGH_PEERS);
  }
}
