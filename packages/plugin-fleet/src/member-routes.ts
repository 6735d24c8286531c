import {
  AdminMethod,
  type AdminRoutes,
  type DaemonIdentity,
} from '@gentiandoor/kernel';
import {
  RecordKind,
  outstandingDaemons,
  plannerOf,
  type FleetState,
  type PeerLinks,
  type SharedState,
} from '@gentiandoor/shared-state';
import type {z} from 'zod';
import {BadInputError, readHandler, recordHandler} from './admin-responses.js';
import {memberRemovalRequestSchema} from './admin-schemas.js';
import {FleetPath, type MemberBody} from './admin-shapes.js';
import type {FleetPublisher, RecordWithoutId} from './fleet-publisher.js';

/** Components that the routes depend on. */
export interface MemberRoutesDependencies {
  readonly adminRoutes: AdminRoutes;
  readonly identity: DaemonIdentity;
  readonly sharedState: SharedState;
  readonly fleetPublisher: FleetPublisher;
  readonly peerLinks: Pick<PeerLinks, 'connected'>;
}

/**
 * Admin paths for the entry daemons themselves. A crashed daemon whose VM the platform still lists
 * blocks every move that waits for its acknowledgement, and only an operator can know that it has
 * really stopped. Removal relies on that one assumption: a daemon that still runs could send a
 * request to a VM that already belongs to another pool.
 */
export class MemberRoutes {
  constructor(private readonly dependencies: MemberRoutesDependencies) {
    const {adminRoutes, fleetPublisher} = dependencies;
    adminRoutes.add(
      AdminMethod.Get,
      FleetPath.Members,
      readHandler(() => this.members()),
    );
    adminRoutes.add(
      AdminMethod.Post,
      FleetPath.MemberRemovals,
      recordHandler(fleetPublisher, memberRemovalRequestSchema, body =>
        this.removalRecord(body),
      ),
    );
  }

  private members(): MemberBody[] {
    const {state} = this.dependencies.sharedState;
    const waitingVms = vmsAwaitingAcknowledgement(state);
    const {holder} = plannerOf(state);
    return [...state.members.values()].map(member => ({
      name: member.name,
      incarnation: member.incarnation,
      dataCentre: member.dataCentre,
      peerAddress: member.peerAddress,
      linked: this.isLinked(member.incarnation),
      plans: member.incarnation === holder,
      holdsUp: waitingVms.get(member.incarnation) ?? [],
    }));
  }

  private removalRecord(
    body: z.output<typeof memberRemovalRequestSchema>,
  ): RecordWithoutId {
    const {name, reason, operator: writer} = body;
    const {state} = this.dependencies.sharedState;
    const member = [...state.members.values()].find(
      entry => entry.name === name,
    );
    if (!member) {
      const names = [...state.members.values()].map(entry => entry.name);
      throw new BadInputError(
        `name: no member ${name}; members: ${names.join()}`,
      );
    }
    const {incarnation} = member;
    // The only available evidence that the operator is wrong: a daemon that responds has
    // not stopped.
    if (this.isLinked(incarnation)) {
      throw new BadInputError(
        `${name} runs: the daemon that handled this request is that daemon or is linked to it; stop it first, then it leaves by itself`,
      );
    }
    return {kind: RecordKind.MemberLeft, writer, incarnation, reason};
  }

  private isLinked(incarnation: string): boolean {
    const {identity, peerLinks} = this.dependencies;
    if (incarnation === identity.incarnation) return true;
    return peerLinks
      .connected()
      .some(({incarnation: peer}) => peer === incarnation);
  }
}

/** Returns the VMs whose planned work waits for a daemon, by its incarnation. */
function vmsAwaitingAcknowledgement(state: FleetState): Map<string, string[]> {
  const vmsByIncarnation = new Map<string, string[]>();
  for (const work of state.work.values()) {
    for (const incarnation of outstandingDaemons(state, work)) {
      const vms = vmsByIncarnation.get(incarnation) ?? [];
      vms.push(work.vm);
      vmsByIncarnation.set(incarnation, vms);
    }
  }
  return vmsByIncarnation;
}
