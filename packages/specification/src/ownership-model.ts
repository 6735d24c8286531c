import {
  Promised,
  type Invariant,
  type Mutation,
  type Specification,
  type Subject,
} from './specification.js';
import {changeAt} from './change-at.js';

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
  readonly of?: string;
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
  readonly read: number;
  /** Pool for which it has a request on the VM; empty when none. */
  readonly carries: string;
  /** Move that it acknowledged last; -1 before the first. */
  readonly acknowledged: number;
  /** What it says to the log and has not landed yet. */
  readonly saying: OwnershipRecord | null;
}

/** Bounds of one exploration. */
export interface OwnershipBounds {
  readonly starts: number;
  readonly aborts: number;
  readonly crashes: number;
}

/** The whole state. */
export interface OwnershipState {
  readonly log: readonly OwnershipRecord[];
  readonly daemons: readonly OwnershipDaemon[];
  readonly starts: number;
  readonly aborts: number;
  readonly crashes: number;
}

/** What may happen to the VM and the daemons. */
export enum OwnershipEventType {
  Read = 'read',
  /** A request goes to the VM under the pool that the daemon's fold names. */
  Dispatch = 'dispatch',
  Answer = 'answer',
  Acknowledge = 'acknowledge',
  /** What a daemon said lands, however late. */
  Land = 'land',
  StartMove = 'start_move',
  AssignMove = 'assign_move',
  AbortMove = 'abort_move',
  Crash = 'crash',
  /** A successor starts and says that it joins. */
  Restart = 'restart',
  /** The planner takes a daemon out of the members. */
  Remove = 'remove',
}

/** One thing that happens; `of` is the place of a daemon. */
export interface OwnershipEvent {
  readonly type: OwnershipEventType;
  readonly of: number;
}

/** Safeguards that a mutation takes out. */
export enum OwnershipMutation {
  AssignUnacknowledged = 'assign-unacknowledged',
  AcknowledgeEarly = 'acknowledge-early',
  AcknowledgeAnyMove = 'acknowledge-any-move',
  RouteBeforeJoined = 'route-before-joined',
  RemoveTheSilent = 'remove-the-silent',
}

const ONE_POOL = 'requests of two pools never meet on the VM';
const POOLS = ['p', 'q'];
const NAMES = ['a', 'b'];

const T = OwnershipEventType;
const K = OwnershipRecordKind;
const M = OwnershipMutation;

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
  const of = record.of ?? '';
  const isNamed = move?.startedAt === record.startedAt;
  switch (record.kind) {
    case K.Joined: {
      const others = members.filter(member => member[0] !== of[0]);
      return {...state, members: [...others, of].sort()};
    }
    case K.Left:
      return {...state, members: members.filter(member => member !== of)};
    case K.MoveStarted:
      if (move || record.epoch !== state.epoch) return state;
      return {
        ...state,
        move: {startedAt: offset, toPool: record.pool!, awaiting: members},
      };
    case K.Acknowledged: {
      if (!move || !members.includes(of)) return state;
      if (!isNamed && mutation !== M.AcknowledgeAnyMove) return state;
      const awaiting = move.awaiting.filter(member => member !== of);
      return {...state, move: {...move, awaiting}};
    }
    case K.MoveAssigned:
      if (!move || !isNamed || !isDrained(state, mutation)) return state;
      return {...state, pool: move.toPool, epoch: state.epoch + 1, move: null};
    case K.MoveAborted:
      return move && isNamed ? {...state, move: null} : state;
  }
}

/** Every daemon that could route under the old owner has acknowledged or is gone. */
function isDrained(
  {move, members}: FoldedOwnership,
  mutation: string | undefined,
): boolean {
  if (mutation === M.AssignUnacknowledged) return true;
  return !move!.awaiting.some(member => members.includes(member));
}

/** One VM between two pools, two daemons that route to it, one planner. */
class OwnershipSpecification implements Specification<
  OwnershipState,
  OwnershipEvent
> {
  readonly name: string;
  readonly bounds: string;
  readonly initial: OwnershipState;
  readonly invariants: ReadonlyArray<Invariant<OwnershipState>> = [
    {
      promise: Promised.OnePool,
      name: ONE_POOL,
      holds: ({daemons}) => {
        const pools = daemons.map(({carries}) => carries).filter(Boolean);
        return new Set(pools).size <= 1;
      },
    },
  ];

  constructor(
    {starts, aborts, crashes}: OwnershipBounds,
    private readonly mutation: string | undefined,
  ) {
    this.name = `ownership (${starts} moves, ${aborts} aborts, ${crashes} crashes)`;
    this.bounds = `1 VM, 2 pools, 2 daemons, ${starts} moves, ${aborts} aborts, ${crashes} crashes, any record of a daemon late`;
    this.initial = {
      log: NAMES.map(name => ({kind: K.Joined, of: `${name}1`})),
      daemons: NAMES.map(name => ({
        incarnation: `${name}1`,
        isUp: true,
        read: NAMES.length,
        carries: '',
        acknowledged: -1,
        saying: null,
      })),
      starts,
      aborts,
      crashes,
    };
  }

  describe({type, of}: OwnershipEvent): string {
    return of < 0 ? `planner: ${type}` : `daemon ${NAMES[of]}: ${type}`;
  }

  events(state: OwnershipState): OwnershipEvent[] {
    const events: OwnershipEvent[] = [];
    const add = (type: OwnershipEventType, of: number, when: boolean) => {
      if (when) events.push({type, of});
    };
    const folded = this.fold(state.log);
    state.daemons.forEach((daemon, of) => {
      const known = this.fold(state.log.slice(0, daemon.read));
      const {isUp, carries, saying} = daemon;
      add(T.Read, of, isUp && daemon.read < state.log.length);
      add(T.Dispatch, of, carries === '' && this.mayRoute(daemon, known));
      add(T.Answer, of, carries !== '');
      add(T.Acknowledge, of, this.mayAcknowledge(daemon, known));
      add(T.Land, of, saying !== null);
      add(T.Crash, of, isUp && state.crashes > 0);
      add(T.Restart, of, !isUp);
      const isMember = folded.members.includes(daemon.incarnation);
      const mayRemove = !isUp || this.mutation === M.RemoveTheSilent;
      add(T.Remove, of, isMember && mayRemove);
    });
    add(T.StartMove, -1, state.starts > 0 && folded.move === null);
    add(
      T.AssignMove,
      -1,
      folded.move !== null && isDrained(folded, this.mutation),
    );
    add(T.AbortMove, -1, state.aborts > 0 && folded.move !== null);
    return events;
  }

  step(state: OwnershipState, {type, of}: OwnershipEvent): OwnershipState {
    const folded = this.fold(state.log);
    const startedAt = folded.move?.startedAt;
    switch (type) {
      case T.StartMove: {
        const pool = POOLS.find(other => other !== folded.pool);
        const {epoch} = folded;
        const started = append(state, {kind: K.MoveStarted, pool, epoch});
        return {...started, starts: state.starts - 1};
      }
      case T.AssignMove:
        return append(state, {kind: K.MoveAssigned, startedAt});
      case T.AbortMove: {
        const aborted = append(state, {kind: K.MoveAborted, startedAt});
        return {...aborted, aborts: state.aborts - 1};
      }
      case T.Remove: {
        const {incarnation} = state.daemons[of];
        return append(state, {kind: K.Left, of: incarnation});
      }
      case T.Crash: {
        const gone = {isUp: false, carries: '', saying: null};
        return {...withDaemon(state, of, gone), crashes: state.crashes - 1};
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
    const known = this.fold(state.log.slice(0, daemon.read));
    switch (type) {
      case T.Read:
        return withDaemon(state, of, {read: daemon.read + 1});
      case T.Dispatch:
        return withDaemon(state, of, {carries: known.pool});
      case T.Answer:
        return withDaemon(state, of, {carries: ''});
      case T.Acknowledge:
        return withDaemon(state, of, {
          acknowledged: known.move!.startedAt,
          saying: {
            kind: K.Acknowledged,
            of: daemon.incarnation,
            startedAt: known.move!.startedAt,
          },
        });
      case T.Land:
        return append(withDaemon(state, of, {saying: null}), daemon.saying!);
      default:
        return restart(state, of);
    }
  }

  private mayRoute(daemon: OwnershipDaemon, known: FoldedOwnership): boolean {
    if (!daemon.isUp || known.move) return false;
    // A daemon that is no member in its own fold is awaited by no move.
    const isJoined = known.members.includes(daemon.incarnation);
    return isJoined || this.mutation === M.RouteBeforeJoined;
  }

  private mayAcknowledge(
    {isUp, incarnation, carries, acknowledged, saying}: OwnershipDaemon,
    {move}: FoldedOwnership,
  ): boolean {
    if (!isUp || saying !== null || !move) return false;
    if (move.startedAt === acknowledged) return false;
    const isIdle = carries === '' || this.mutation === M.AcknowledgeEarly;
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
    read: 0,
    acknowledged: -1,
    saying: {kind: K.Joined, of: successor},
  });
}

function withDaemon(
  state: OwnershipState,
  of: number,
  change: Partial<OwnershipDaemon>,
): OwnershipState {
  const daemons = changeAt(state.daemons, of, change);
  return {...state, daemons};
}

const MOVE_MUTATIONS: readonly Mutation[] = [
  {
    name: M.AssignUnacknowledged,
    without: 'waiting for the acknowledgements before the new pool gets the VM',
    breaks: ONE_POOL,
  },
  {
    name: M.AcknowledgeEarly,
    without: 'letting requests end before a daemon acknowledges',
    breaks: ONE_POOL,
  },
  {
    name: M.AcknowledgeAnyMove,
    without: 'the identity of the move in an acknowledgement',
    breaks: ONE_POOL,
  },
];

const CRASH_MUTATIONS: readonly Mutation[] = [
  {
    name: M.RouteBeforeJoined,
    without: 'reading back its own joining before a daemon routes',
    breaks: ONE_POOL,
  },
  {
    name: M.RemoveTheSilent,
    without: 'taking out only daemons that are gone',
    breaks: ONE_POOL,
  },
];

/** Ownership of one VM while it moves, within the given bounds. */
export function ownershipWithin(
  bounds: OwnershipBounds,
): Subject<OwnershipState, OwnershipEvent> {
  return {
    mutations: bounds.crashes > 0 ? CRASH_MUTATIONS : MOVE_MUTATIONS,
    make: mutation => new OwnershipSpecification(bounds, mutation),
  };
}
