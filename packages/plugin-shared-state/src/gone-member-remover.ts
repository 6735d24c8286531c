import {randomUUID} from 'node:crypto';
import {
  LogEvent,
  jitter,
  sleep,
  type Clock,
  type DaemonIdentity,
  type Logger,
  type RandomSource,
} from '@gentiandoor/kernel';
import {RecordKind, type Member, type VmList} from '@gentiandoor/shared-state';
import {rendezvousOrder} from './rendezvous-order.js';
import type {PublishRecord} from './membership.js';
import type {SharedStateOptions} from './shared-state-options.js';
import type {StateReplica} from './state-replica.js';

const CHECK_INTERVAL_MILLISECONDS = 5000;
/** Checks that each daemon waits for the one ranked before it to act. */
const CHECKS_PER_RANK = 2;
/** Maximum age of the VM list; an older one is no evidence that a VM is gone. */
const MAXIMUM_LIST_AGE_MILLISECONDS = 30_000;

/** Dependencies of `GoneMemberRemover`. */
export interface GoneMemberRemoverDependencies {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly identity: DaemonIdentity;
  readonly vmList: VmList;
}

/**
 * Removes members whose VM the platform no longer lists. Without it, a crashed daemon that is
 * not replaced under its name permanently blocks every move that waits for its acknowledgement.
 * Only a VM that was listed before counts as gone, because a platform may not list entry VMs at
 * all. This relies on one assumption: a VM dropped from the list can no longer reach a target.
 */
export class GoneMemberRemover {
  private readonly listed = new Set<string>();
  private readonly absentSince = new Map<string, number>();

  constructor(
    private readonly dependencies: GoneMemberRemoverDependencies,
    private readonly options: SharedStateOptions,
    private readonly replica: StateReplica,
    private readonly publish: PublishRecord,
  ) {}

  async run(stop: AbortSignal): Promise<void> {
    const {clock, random} = this.dependencies;
    while (!stop.aborted) {
      await sleep(clock, jitter(random, CHECK_INTERVAL_MILLISECONDS), stop);
      for (const member of this.goneMembers())
        await this.removeMember(member, stop);
    }
  }

  /**
   * Returns the members that have been gone long enough for this daemon, by its rank, to
   * remove them.
   */
  private goneMembers(): Member[] {
    const {clock, identity, vmList} = this.dependencies;
    if (vmList.ageMilliseconds() > MAXIMUM_LIST_AGE_MILLISECONDS) {
      this.absentSince.clear();
      return [];
    }
    const now = clock.monotonicMilliseconds();
    const members = [...this.replica.live.members.values()];
    for (const {name} of members) this.updateAbsence(name, now);
    const requiredAbsenceMilliseconds = (member: Member) => {
      const others = members.filter(({name}) => name !== member.name);
      const removalOrder = rendezvousOrder(
        others,
        `left ${member.incarnation}`,
      );
      const rank = removalOrder.indexOf(identity.incarnation);
      if (rank < 0) return Infinity;
      return (
        this.options.gone_milliseconds +
        rank * CHECKS_PER_RANK * CHECK_INTERVAL_MILLISECONDS
      );
    };
    return members.filter(member => {
      const absentSince = this.absentSince.get(member.name);
      return (
        absentSince !== undefined &&
        now - absentSince > requiredAbsenceMilliseconds(member)
      );
    });
  }

  private updateAbsence(name: string, now: number): void {
    if (this.dependencies.vmList.current().has(name)) {
      this.listed.add(name);
      this.absentSince.delete(name);
    } else if (this.listed.has(name) && !this.absentSince.has(name)) {
      this.absentSince.set(name, now);
    }
  }

  private async removeMember(member: Member, stop: AbortSignal): Promise<void> {
    const {identity, logger} = this.dependencies;
    const {name, incarnation} = member;
    const record = {
      kind: RecordKind.MemberLeft,
      id: randomUUID(),
      writer: identity.incarnation,
      incarnation,
    } as const;
    const outcome = await this.publish(record, stop).catch(() => undefined);
    if (!outcome || outcome.rejection) return;
    logger.warn(LogEvent.MemberGone, {name, incarnation});
  }
}
