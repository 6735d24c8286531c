import {randomUUID} from 'node:crypto';
import {
  LogEvent,
  backoff,
  sleep,
  type Clock,
  type DaemonIdentity,
  type Logger,
  type RandomSource,
} from '@gentiandoor/kernel';
import {
  MAXIMUM_RECORD_FORMAT,
  RecordKind,
  RejectionReason,
  type FleetRecord,
  type FoldOutcome,
  type PeerDirectory,
} from '@gentiandoor/shared-state';
import type {StateReplica} from './state-replica.js';

const BACKOFF_BASE_MILLISECONDS = 500;
const BACKOFF_MAXIMUM_MILLISECONDS = 10_000;
const CHECK_INTERVAL_MILLISECONDS = 50;
const LEAVE_TIMEOUT_MILLISECONDS = 1000;

/** Dependencies of `Membership`. */
export interface MembershipDependencies {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly identity: DaemonIdentity;
  readonly peerDirectory: PeerDirectory;
}

/** Publishes a record and resolves with its outcome. */
export type PublishRecord = (
  record: FleetRecord,
  signal?: AbortSignal,
) => Promise<FoldOutcome>;

/**
 * Joins this incarnation through the log, rejoins it if it was removed, and leaves on a
 * graceful stop.
 */
export class Membership {
  private mustNotJoin = false;
  private hasJoined = false;
  private listedMembersHash = 0n;

  constructor(
    private readonly dependencies: MembershipDependencies,
    private readonly replica: StateReplica,
    private readonly publish: PublishRecord,
    /**
     * Whether the state has caught up; a daemon that joins earlier cannot serve yet, so
     * waiting for it is useless.
     */
    private readonly mayJoin: () => boolean,
  ) {
    replica.onChange(() => this.updatePeerDirectory());
  }

  /**
   * Joins once the state has caught up, and again if this daemon was removed while it is still
   * running.
   */
  async run(stop: AbortSignal): Promise<void> {
    const {clock, random} = this.dependencies;
    let attempt = 0;
    while (!stop.aborted && !this.mustNotJoin) {
      if (!this.mayJoin() || this.isMember()) {
        await sleep(clock, CHECK_INTERVAL_MILLISECONDS, stop);
        continue;
      }
      const isJoined = await this.join(stop);
      attempt = isJoined ? 0 : attempt + 1;
      const pause = backoff(
        random,
        attempt,
        BACKOFF_BASE_MILLISECONDS,
        BACKOFF_MAXIMUM_MILLISECONDS,
      );
      if (!isJoined) await sleep(clock, pause, stop);
    }
  }

  /** Leaves; gives up after a second, because the log may be down while the daemon stops. */
  async leave(): Promise<void> {
    if (!this.isMember()) return;
    const {clock, identity} = this.dependencies;
    const timeout = new AbortController();
    const timer = clock.schedule(LEAVE_TIMEOUT_MILLISECONDS, () =>
      timeout.abort(),
    );
    const record: FleetRecord = {
      kind: RecordKind.MemberLeft,
      id: randomUUID(),
      writer: identity.incarnation,
      incarnation: identity.incarnation,
    };
    this.mustNotJoin = true;
    await this.publish(record, timeout.signal).catch(() => undefined);
    timer.cancel();
  }

  private isMember(): boolean {
    return this.replica.live.members.has(
      this.dependencies.identity.incarnation,
    );
  }

  private async join(stop: AbortSignal): Promise<boolean> {
    const {identity, logger, peerDirectory} = this.dependencies;
    if (this.hasJoined && this.detectReplacement()) return false;
    const record: FleetRecord = {
      kind: RecordKind.MemberJoined,
      id: randomUUID(),
      writer: identity.incarnation,
      name: identity.name,
      incarnation: identity.incarnation,
      dataCentre: identity.dataCentre,
      peerAddress: peerDirectory.ownAddress ?? '',
      readsFormat: MAXIMUM_RECORD_FORMAT,
    };
    try {
      const {rejection} = await this.publish(record, stop);
      this.hasJoined ||= !rejection;
      if (rejection?.reason === RejectionReason.FormatTooOld)
        logger.error(LogEvent.RecordUnreadable, {...rejection});
      return !rejection;
    } catch {
      return false;
    }
  }

  /**
   * Detects that a newer incarnation of the same name is the member now; this one must not
   * replace it again.
   */
  private detectReplacement(): boolean {
    const {identity, logger} = this.dependencies;
    const successor = [...this.replica.live.members.values()].find(
      member => member.name === identity.name,
    );
    if (!successor) return false;
    this.mustNotJoin = true;
    logger.error(LogEvent.MemberReplaced, {
      name: identity.name,
      incarnation: identity.incarnation,
      by: successor.incarnation,
    });
    return true;
  }

  private updatePeerDirectory(): void {
    const {identity, peerDirectory} = this.dependencies;
    const {hash} = this.replica.live.members;
    if (hash === this.listedMembersHash) return;
    this.listedMembersHash = hash;
    const entries = [...this.replica.live.members.values()]
      .filter(member => member.name !== identity.name)
      .filter(member => member.peerAddress !== '')
      .map(({name, incarnation, dataCentre, peerAddress}) => ({
        name,
        incarnation,
        dataCentre,
        address: peerAddress,
      }));
    peerDirectory.replace(entries);
  }
}
