import {
  Guarantee,
  type Invariant,
  type Mutation,
  type Specification,
  type SpecificationFactory,
} from './specification.js';
import {mergeAt} from './array-updates.js';

/** Kinds of records about the one VM and the daemons. */
export enum OwnershipRecordKind {
  Joined = 'joined',
  Left = 'left',
  MoveStarted = 'move_started',
  Acknowledged = 'acknowledged',
  MoveAssigned = 'move_assigned',
  MoveAborted = 'move_aborted',
}

/** One record, with the fields that its kind needs. */
export interface OwnershipRecord {
  readonly kind: OwnershipRecordKind;
  /** Incarnation of a daemon. */
  readonly incarnation?: string;
  readonly pool?: string;
  readonly epoch?: number;
  /** Offset of the record that started the move; it identifies the move. */
  readonly startedAt?: number;
}

/** A move in progress, according to the fold. */
export interface FoldedMove {
  readonly startedAt: number;
  readonly toPool: string;
  /** Members that have not acknowledged the move. */
  readonly awaiting: readonly string[];
}

/** State of the VM according to the fold. */
export interface FoldedOwnership {
  readonly pool: string;
  readonly epoch: number;
  readonly move: FoldedMove | null;
  readonly members: readonly string[];
}

/** An entry daemon. */
export interface OwnershipDaemon {
  readonly incarnation: string;
  readonly isUp: boolean;
  /** Offset that it reads next. */
  readonly nextOffset: number;
  /** Pool of its request in flight on the VM; empty when there is none. */
  readonly requestPool: string;
  /** Move that it last acknowledged; -1 before the first. */
  readonly acknowledgedMove: number;
  /** Record that it has sent to the log and that is not appended yet. */
  readonly pendingRecord: OwnershipRecord | null;
}

/** Bounds of one exploration. */
export interface OwnershipBounds {
  readonly moves: number;
  readonly aborts: number;
  readonly crashes: number;
}

/** The complete state: the log, the daemons and the events that may still happen. */
export interface OwnershipState {
  readonly log: readonly OwnershipRecord[];
  readonly daemons: readonly OwnershipDaemon[];
  readonly movesLeft: number;
  readonly abortsLeft: number;
  readonly crashesLeft: number;
}

/** Events of the VM, the daemons and the planner. */
export enum OwnershipEventType {
  Read = 'read',
  /** A daemon sends a request to the VM for the pool that its fold names. */
  Dispatch = 'dispatch',
  ReceiveResponse = 'answer',
  Acknowledge = 'acknowledge',
  /** The pending record of a daemon is appended, however late. */
  Append = 'land',
  StartMove = 'start_move',
  AssignMove = 'assign_move',
  AbortMove = 'abort_move',
  Crash = 'crash',
  /** A successor starts and sends its joined record. */
  Restart = 'restart',
  /** The planner removes a daemon from the members. */
  RemoveMember = 'remove',
}

/** One event; `daemonIndex` is -1 for an event of the planner. */
export interface OwnershipEvent {
  readonly type: OwnershipEventType;
  readonly daemonIndex: number;
}

/** Mutations, each of which removes one safeguard. */
export enum OwnershipMutation {
  AssignUnacknowledged = 'assign-unacknowledged',
  AcknowledgeEarly = 'acknowledge-early',
  AcknowledgeAnyMove = 'acknowledge-any-move',
  RouteBeforeJoined = 'route-before-joined',
  RemoveRunningMembers = 'remove-the-silent',
}

const SINGLE_POOL_PER_VM = 'requests of two pools never meet on the VM';
const POOLS = ['p', 'q'];
const DAEMON_NAMES = ['a', 'b'];

const EventType = OwnershipEventType;
const RecordKind = OwnershipRecordKind;
const MutationName = OwnershipMutation;

/** Folds a section of the log into the ownership of the VM. */
export function foldOwnership(
  log: readonly OwnershipRecord[],
  mutation?: string,
): FoldedOwnership {
  let state: FoldedOwnership = {
    pool: POOLS[0],
    epoch: 1,
    move: null,
    members: [],
  };
  log.forEach((record, offset) => {
    state = applyOwnership(state, record, offset, mutation);
  });
  return state;
}

function applyOwnership(
  state: FoldedOwnership,
  record: OwnershipRecord,
  offset: number,
  mutation: string | undefined,
): FoldedOwnership {
  const {move, members} = state;
  const incarnation = record.incarnation ?? '';
  const isCurrentMove = move?.startedAt === record.startedAt;
  switch (record.kind) {
    case RecordKind.Joined: {
      const others = members.filter(member => member[0] !== incarnation[0]);
      return {...state, members: [...others, incarnation].sort()};
    }
    case RecordKind.Left:
      return {
        ...state,
        members: members.filter(member => member !== incarnation),
      };
    case RecordKind.MoveStarted:
      if (move || record.epoch !== state.epoch) return state;
      return {
        ...state,
        move: {startedAt: offset, toPool: record.pool!, awaiting: members},
      };
    case RecordKind.Acknowledged: {
      if (!move || !members.includes(incarnation)) return state;
      if (!isCurrentMove && mutation !== MutationName.AcknowledgeAnyMove)
        return state;
      const awaiting = move.awaiting.filter(member => member !== incarnation);
      return {...state, move: {...move, awaiting}};
    }
    case RecordKind.MoveAssigned:
      if (!move || !isCurrentMove || !isDrained(state, mutation)) return state;
      return {...state, pool: move.toPool, epoch: state.epoch + 1, move: null};
    case RecordKind.MoveAborted:
      return move && isCurrentMove ? {...state, move: null} : state;
  }
}

/**
 * Returns whether every daemon that could route to the VM for its old pool has acknowledged
 * the move or left.
 */
function isDrained(
  {move, members}: FoldedOwnership,
  mutation: string | undefined,
): boolean {
  if (mutation === MutationName.AssignUnacknowledged) return true;
  return !move!.awaiting.some(member => members.includes(member));
}

/** One VM that moves between two pools, two daemons that route to it, and one planner. */
class OwnershipSpecification implements Specification<
  OwnershipState,
  OwnershipEvent
> {
  readonly name: string;
  readonly bounds: string;
  readonly initialState: OwnershipState;
  readonly invariants: ReadonlyArray<Invariant<OwnershipState>> = [
    {
      guarantee: Guarantee.SinglePoolPerVm,
      name: SINGLE_POOL_PER_VM,
      holds: ({daemons}) => {
        const pools = daemons
          .map(({requestPool}) => requestPool)
          .filter(Boolean);
        return new Set(pools).size <= 1;
      },
    },
  ];

  constructor(
    {moves, aborts, crashes}: OwnershipBounds,
    private readonly mutation: string | undefined,
  ) {
    this.name = `ownership (${moves} moves, ${aborts} aborts, ${crashes} crashes)`;
    this.bounds = `1 VM, 2 pools, 2 daemons, ${moves} moves, ${aborts} aborts, ${crashes} crashes, any record of a daemon late`;
    this.initialState = {
      log: DAEMON_NAMES.map(name => ({
        kind: RecordKind.Joined,
        incarnation: `${name}1`,
      })),
      daemons: DAEMON_NAMES.map(name => ({
        incarnation: `${name}1`,
        isUp: true,
        nextOffset: DAEMON_NAMES.length,
        requestPool: '',
        acknowledgedMove: -1,
        pendingRecord: null,
      })),
      movesLeft: moves,
      abortsLeft: aborts,
      crashesLeft: crashes,
    };
  }

  describe({type, daemonIndex}: OwnershipEvent): string {
    return daemonIndex < 0
      ? `planner: ${type}`
      : `daemon ${DAEMON_NAMES[daemonIndex]}: ${type}`;
  }

  enabledEvents(state: OwnershipState): OwnershipEvent[] {
    const events: OwnershipEvent[] = [];
    const add = (
      type: OwnershipEventType,
      daemonIndex: number,
      when: boolean,
    ) => {
      if (when) events.push({type, daemonIndex});
    };
    const folded = this.fold(state.log);
    state.daemons.forEach((daemon, daemonIndex) => {
      const readState = this.fold(state.log.slice(0, daemon.nextOffset));
      const {isUp, requestPool, pendingRecord} = daemon;
      add(
        EventType.Read,
        daemonIndex,
        isUp && daemon.nextOffset < state.log.length,
      );
      add(
        EventType.Dispatch,
        daemonIndex,
        requestPool === '' && this.mayRoute(daemon, readState),
      );
      add(EventType.ReceiveResponse, daemonIndex, requestPool !== '');
      add(
        EventType.Acknowledge,
        daemonIndex,
        this.mayAcknowledge(daemon, readState),
      );
      add(EventType.Append, daemonIndex, pendingRecord !== null);
      add(EventType.Crash, daemonIndex, isUp && state.crashesLeft > 0);
      add(EventType.Restart, daemonIndex, !isUp);
      const isMember = folded.members.includes(daemon.incarnation);
      const mayRemove =
        !isUp || this.mutation === MutationName.RemoveRunningMembers;
      add(EventType.RemoveMember, daemonIndex, isMember && mayRemove);
    });
    add(EventType.StartMove, -1, state.movesLeft > 0 && folded.move === null);
    add(
      EventType.AssignMove,
      -1,
      folded.move !== null && isDrained(folded, this.mutation),
    );
    add(EventType.AbortMove, -1, state.abortsLeft > 0 && folded.move !== null);
    return events;
  }

  step(
    state: OwnershipState,
    {type, daemonIndex}: OwnershipEvent,
  ): OwnershipState {
    const folded = this.fold(state.log);
    const startedAt = folded.move?.startedAt;
    switch (type) {
      case EventType.StartMove: {
        const pool = POOLS.find(other => other !== folded.pool);
        const {epoch} = folded;
        const started = append(state, {
          kind: RecordKind.MoveStarted,
          pool,
          epoch,
        });
        return {...started, movesLeft: state.movesLeft - 1};
      }
      case EventType.AssignMove:
        return append(state, {kind: RecordKind.MoveAssigned, startedAt});
      case EventType.AbortMove: {
        const aborted = append(state, {
          kind: RecordKind.MoveAborted,
          startedAt,
        });
        return {...aborted, abortsLeft: state.abortsLeft - 1};
      }
      case EventType.RemoveMember: {
        const {incarnation} = state.daemons[daemonIndex];
        return append(state, {kind: RecordKind.Left, incarnation});
      }
      case EventType.Crash: {
        const crashedFields = {
          isUp: false,
          requestPool: '',
          pendingRecord: null,
        };
        return {
          ...withDaemon(state, daemonIndex, crashedFields),
          crashesLeft: state.crashesLeft - 1,
        };
      }
      default:
        return this.stepDaemon(state, type, daemonIndex);
    }
  }

  private stepDaemon(
    state: OwnershipState,
    type: OwnershipEventType,
    daemonIndex: number,
  ): OwnershipState {
    const daemon = state.daemons[daemonIndex];
    const readState = this.fold(state.log.slice(0, daemon.nextOffset));
    switch (type) {
      case EventType.Read:
        return withDaemon(state, daemonIndex, {
          nextOffset: daemon.nextOffset + 1,
        });
      case EventType.Dispatch:
        return withDaemon(state, daemonIndex, {requestPool: readState.pool});
      case EventType.ReceiveResponse:
        return withDaemon(state, daemonIndex, {requestPool: ''});
      case EventType.Acknowledge:
        return withDaemon(state, daemonIndex, {
          acknowledgedMove: readState.move!.startedAt,
          pendingRecord: {
            kind: RecordKind.Acknowledged,
            incarnation: daemon.incarnation,
            startedAt: readState.move!.startedAt,
          },
        });
      case EventType.Append:
        return append(
          withDaemon(state, daemonIndex, {pendingRecord: null}),
          daemon.pendingRecord!,
        );
      default:
        return restart(state, daemonIndex);
    }
  }

  private mayRoute(
    daemon: OwnershipDaemon,
    readState: FoldedOwnership,
  ): boolean {
    if (!daemon.isUp || readState.move) return false;
    // No move waits for the acknowledgement of a daemon that is not a member yet, so such a
    // daemon must not route.
    const isJoined = readState.members.includes(daemon.incarnation);
    return isJoined || this.mutation === MutationName.RouteBeforeJoined;
  }

  private mayAcknowledge(
    {
      isUp,
      incarnation,
      requestPool,
      acknowledgedMove,
      pendingRecord,
    }: OwnershipDaemon,
    {move}: FoldedOwnership,
  ): boolean {
    if (!isUp || pendingRecord !== null || !move) return false;
    if (move.startedAt === acknowledgedMove) return false;
    const isIdle =
      requestPool === '' || this.mutation === MutationName.AcknowledgeEarly;
    return isIdle && move.awaiting.includes(incarnation);
  }

  private fold(log: readonly OwnershipRecord[]): FoldedOwnership {
    return foldOwnership(log, this.mutation);
  }
}

function append(
  state: OwnershipState,
  record: OwnershipRecord,
): OwnershipState {
  return {...state, log: [...state.log, record]};
}

function restart(state: OwnershipState, daemonIndex: number): OwnershipState {
  const {incarnation} = state.daemons[daemonIndex];
  const successor = `${incarnation[0]}${Number(incarnation.slice(1)) + 1}`;
  return withDaemon(state, daemonIndex, {
    incarnation: successor,
    isUp: true,
    nextOffset: 0,
    acknowledgedMove: -1,
    pendingRecord: {kind: RecordKind.Joined, incarnation: successor},
  });
}

function withDaemon(
  state: OwnershipState,
  daemonIndex: number,
  change: Partial<OwnershipDaemon>,
): OwnershipState {
  const daemons = mergeAt(state.daemons, daemonIndex, change);
  return {...state, daemons};
}

const MOVE_MUTATIONS: readonly Mutation[] = [
  {
    name: MutationName.AssignUnacknowledged,
    removedSafeguard:
      'waiting for the acknowledgements before the new pool gets the VM',
    brokenInvariant: SINGLE_POOL_PER_VM,
  },
  {
    name: MutationName.AcknowledgeEarly,
    removedSafeguard: 'letting requests end before a daemon acknowledges',
    brokenInvariant: SINGLE_POOL_PER_VM,
  },
  {
    name: MutationName.AcknowledgeAnyMove,
    removedSafeguard: 'the identity of the move in an acknowledgement',
    brokenInvariant: SINGLE_POOL_PER_VM,
  },
];

const CRASH_MUTATIONS: readonly Mutation[] = [
  {
    name: MutationName.RouteBeforeJoined,
    removedSafeguard: 'reading back its own joining before a daemon routes',
    brokenInvariant: SINGLE_POOL_PER_VM,
  },
  {
    name: MutationName.RemoveRunningMembers,
    removedSafeguard: 'taking out only daemons that are gone',
    brokenInvariant: SINGLE_POOL_PER_VM,
  },
];

/** Returns the specification of the ownership of one VM while it moves. */
export function ownershipSpecifications(
  bounds: OwnershipBounds,
): SpecificationFactory<OwnershipState, OwnershipEvent> {
  return {
    mutations: bounds.crashes > 0 ? CRASH_MUTATIONS : MOVE_MUTATIONS,
    create: mutation => new OwnershipSpecification(bounds, mutation),
  };
}
