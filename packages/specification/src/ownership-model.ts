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

/** One record; the fields that its kind needs. */
export interface OwnershipRecord {
  readonly kind: OwnershipRecordKind;
  /** Incarnation of a daemon. */
  readonly incarnation?: string;
  readonly pool?: string;
  readonly epoch?: number;
  /** Offset of the move's first record: the identity of the move. */
  readonly startedAt?: number;
}

/** A move under way, as the fold has it. */
export interface FoldedMove {
  readonly startedAt: number;
  readonly toPool: string;
  /** Members that have not acknowledged. */
  readonly awaiting: readonly string[];
}

/** What the fold says of the VM. */
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
  /** Pool for which it has a request on the VM; empty when none. */
  readonly requestPool: string;
  /** Move that it acknowledged last; -1 before the first. */
  readonly acknowledgedMove: number;
  /** What it says to the log and has not landed yet. */
  readonly pendingRecord: OwnershipRecord | null;
}

/** Bounds of one exploration. */
export interface OwnershipBounds {
  readonly moves: number;
  readonly aborts: number;
  readonly crashes: number;
}

/** The whole state. */
export interface OwnershipState {
  readonly log: readonly OwnershipRecord[];
  readonly daemons: readonly OwnershipDaemon[];
  readonly movesLeft: number;
  readonly abortsLeft: number;
  readonly crashesLeft: number;
}

/** What may happen to the VM and the daemons. */
export enum OwnershipEventType {
  Read = 'read',
  /** A request goes to the VM under the pool that the daemon's fold names. */
  Dispatch = 'dispatch',
  ReceiveResponse = 'answer',
  Acknowledge = 'acknowledge',
  /** What a daemon said lands, however late. */
  Append = 'land',
  StartMove = 'start_move',
  AssignMove = 'assign_move',
  AbortMove = 'abort_move',
  Crash = 'crash',
  /** A successor starts and says that it joins. */
  Restart = 'restart',
  /** The planner takes a daemon out of the members. */
  RemoveMember = 'remove',
}

/** One thing that happens; `of` is the place of a daemon. */
export interface OwnershipEvent {
  readonly type: OwnershipEventType;
  readonly daemonIndex: number;
}

/** Safeguards that a mutation takes out. */
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

/** The fold of the specification over a stretch of the log. */
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
  const of = record.incarnation ?? '';
  const isNamed = move?.startedAt === record.startedAt;
  switch (record.kind) {
    case RecordKind.Joined: {
      const others = members.filter(member => member[0] !== of[0]);
      return {...state, members: [...others, of].sort()};
    }
    case RecordKind.Left:
      return {...state, members: members.filter(member => member !== of)};
    case RecordKind.MoveStarted:
      if (move || record.epoch !== state.epoch) return state;
      return {
        ...state,
        move: {startedAt: offset, toPool: record.pool!, awaiting: members},
      };
    case RecordKind.Acknowledged: {
      if (!move || !members.includes(of)) return state;
      if (!isNamed && mutation !== MutationName.AcknowledgeAnyMove)
        return state;
      const awaiting = move.awaiting.filter(member => member !== of);
      return {...state, move: {...move, awaiting}};
    }
    case RecordKind.MoveAssigned:
      if (!move || !isNamed || !isDrained(state, mutation)) return state;
      return {...state, pool: move.toPool, epoch: state.epoch + 1, move: null};
    case RecordKind.MoveAborted:
      return move && isNamed ? {...state, move: null} : state;
  }
}

/** Every daemon that could route under the old owner has acknowledged or is gone. */
function isDrained(
  {move, members}: FoldedOwnership,
  mutation: string | undefined,
): boolean {
  if (mutation === MutationName.AssignUnacknowledged) return true;
  return !move!.awaiting.some(member => members.includes(member));
}

/** One VM between two pools, two daemons that route to it, one planner. */
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
          .map(({requestPool: carries}) => carries)
          .filter(Boolean);
        return new Set(pools).size <= 1;
      },
    },
  ];

  constructor(
    {moves: starts, aborts, crashes}: OwnershipBounds,
    private readonly mutation: string | undefined,
  ) {
    this.name = `ownership (${starts} moves, ${aborts} aborts, ${crashes} crashes)`;
    this.bounds = `1 VM, 2 pools, 2 daemons, ${starts} moves, ${aborts} aborts, ${crashes} crashes, any record of a daemon late`;
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
      movesLeft: starts,
      abortsLeft: aborts,
      crashesLeft: crashes,
    };
  }

  describe({type, daemonIndex: of}: OwnershipEvent): string {
    return of < 0 ? `planner: ${type}` : `daemon ${DAEMON_NAMES[of]}: ${type}`;
  }

  enabledEvents(state: OwnershipState): OwnershipEvent[] {
    const events: OwnershipEvent[] = [];
    const add = (type: OwnershipEventType, of: number, when: boolean) => {
      if (when) events.push({type, daemonIndex: of});
    };
    const folded = this.fold(state.log);
    state.daemons.forEach((daemon, of) => {
      const known = this.fold(state.log.slice(0, daemon.nextOffset));
      const {isUp, requestPool: carries, pendingRecord: saying} = daemon;
      add(EventType.Read, of, isUp && daemon.nextOffset < state.log.length);
      add(
        EventType.Dispatch,
        of,
        carries === '' && this.mayRoute(daemon, known),
      );
      add(EventType.ReceiveResponse, of, carries !== '');
      add(EventType.Acknowledge, of, this.mayAcknowledge(daemon, known));
      add(EventType.Append, of, saying !== null);
      add(EventType.Crash, of, isUp && state.crashesLeft > 0);
      add(EventType.Restart, of, !isUp);
      const isMember = folded.members.includes(daemon.incarnation);
      const mayRemove =
        !isUp || this.mutation === MutationName.RemoveRunningMembers;
      add(EventType.RemoveMember, of, isMember && mayRemove);
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
    {type, daemonIndex: of}: OwnershipEvent,
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
        const {incarnation} = state.daemons[of];
        return append(state, {kind: RecordKind.Left, incarnation: incarnation});
      }
      case EventType.Crash: {
        const gone = {isUp: false, requestPool: '', pendingRecord: null};
        return {
          ...withDaemon(state, of, gone),
          crashesLeft: state.crashesLeft - 1,
        };
      }
      default:
        return this.stepDaemon(state, type, of);
    }
  }

  private stepDaemon(
    state: OwnershipState,
    type: OwnershipEventType,
    of: number,
  ): OwnershipState {
    const daemon = state.daemons[of];
    const known = this.fold(state.log.slice(0, daemon.nextOffset));
    switch (type) {
      case EventType.Read:
        return withDaemon(state, of, {nextOffset: daemon.nextOffset + 1});
      case EventType.Dispatch:
        return withDaemon(state, of, {requestPool: known.pool});
      case EventType.ReceiveResponse:
        return withDaemon(state, of, {requestPool: ''});
      case EventType.Acknowledge:
        return withDaemon(state, of, {
          acknowledgedMove: known.move!.startedAt,
          pendingRecord: {
            kind: RecordKind.Acknowledged,
            incarnation: daemon.incarnation,
            startedAt: known.move!.startedAt,
          },
        });
      case EventType.Append:
        return append(
          withDaemon(state, of, {pendingRecord: null}),
          daemon.pendingRecord!,
        );
      default:
        return restart(state, of);
    }
  }

  private mayRoute(daemon: OwnershipDaemon, known: FoldedOwnership): boolean {
    if (!daemon.isUp || known.move) return false;
    // A daemon that is no member in its own fold is awaited by no move.
    const isJoined = known.members.includes(daemon.incarnation);
    return isJoined || this.mutation === MutationName.RouteBeforeJoined;
  }

  private mayAcknowledge(
    {
      isUp,
      incarnation,
      requestPool: carries,
      acknowledgedMove: acknowledged,
      pendingRecord: saying,
    }: OwnershipDaemon,
    {move}: FoldedOwnership,
  ): boolean {
    if (!isUp || saying !== null || !move) return false;
    if (move.startedAt === acknowledged) return false;
    const isIdle =
      carries === '' || this.mutation === MutationName.AcknowledgeEarly;
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

function restart(state: OwnershipState, of: number): OwnershipState {
  const {incarnation} = state.daemons[of];
  const successor = `${incarnation[0]}${Number(incarnation.slice(1)) + 1}`;
  return withDaemon(state, of, {
    incarnation: successor,
    isUp: true,
    nextOffset: 0,
    acknowledgedMove: -1,
    pendingRecord: {kind: RecordKind.Joined, incarnation: successor},
  });
}

function withDaemon(
  state: OwnershipState,
  of: number,
  change: Partial<OwnershipDaemon>,
): OwnershipState {
  const daemons = mergeAt(state.daemons, of, change);
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

/** Ownership of one VM while it moves, within the given bounds. */
export function ownershipSpecifications(
  bounds: OwnershipBounds,
): SpecificationFactory<OwnershipState, OwnershipEvent> {
  return {
    mutations: bounds.crashes > 0 ? CRASH_MUTATIONS : MOVE_MUTATIONS,
    create: mutation => new OwnershipSpecification(bounds, mutation),
  };
}
