import {
  Promised,
  type Invariant,
  type Mutation,
  type Specification,
  type Subject,
} from './specification.js';

/** A claim in the stream: of the key that is watched, or of another. */
export interface WindowClaim {
  readonly isWatched: boolean;
  /** Daemon and number of its request; -1 for claims of other keys. */
  readonly request: number;
}

/** A daemon: it reads the stream and forgets its oldest claims. */
export interface WindowDaemon {
  readonly read: number;
  /** Claims below this offset may be forgotten or were never read. */
  readonly horizon: number;
  /** Offset of the claim of the key that it knows; -1 when it knows none. */
  readonly known: number;
  /** Request that waits for its claim, with the offset up to which it knew; -1 for none. */
  readonly pending: number;
  readonly knownFrom: number;
  readonly hasClaimed: boolean;
}

/** The whole state: one issued key, two daemons, a bounded window. */
export interface WindowState {
  readonly log: readonly WindowClaim[];
  readonly oldest: number;
  /** Offset at which the key was issued; -1 before. */
  readonly bornAt: number;
  readonly daemons: readonly WindowDaemon[];
  readonly requests: number;
  readonly others: number;
  readonly restarts: number;
  readonly runs: number;
}

/** What may happen. */
export enum WindowEventType {
  Issue = 'issue',
  Begin = 'begin',
  Land = 'land',
  Read = 'read',
  /** A claim of another key pushes the window on. */
  Other = 'other',
  /** The log lets its oldest record go. */
  Retain = 'retain',
  Restart = 'restart',
}

/** One thing that happens. */
export interface WindowEvent {
  readonly type: WindowEventType;
  readonly of: number;
}

/** Safeguards that a mutation takes out. */
export enum WindowMutation {
  NoBirth = 'no-birth',
  NoSecondLook = 'no-second-look',
}

const KEPT = 1;
const AT_MOST_ONCE =
  'an issued key runs at most once, however late it comes again';
const T = WindowEventType;
const M = WindowMutation;
const DAEMONS = ['a', 'b'];

/** A key that comes again after its claim was forgotten. */
class WindowSpecification implements Specification<WindowState, WindowEvent> {
  readonly name = 'window (1 claim kept, 2 requests, 1 other claim)';
  readonly bounds =
    '1 issued key, 2 daemons that keep 1 claim, 2 requests, 1 claim of another key, 1 restart, retention';
  readonly initial: WindowState = {
    log: [],
    oldest: 0,
    bornAt: -1,
    daemons: DAEMONS.map(() => freshAt(0)),
    requests: 2,
    others: 1,
    restarts: 1,
    runs: 0,
  };
  readonly invariants: ReadonlyArray<Invariant<WindowState>> = [
    {
      promise: Promised.AtMostOnce,
      name: AT_MOST_ONCE,
      holds: ({runs}) => runs <= 1,
    },
  ];

  constructor(private readonly mutation: string | undefined) {}

  describe({type, of}: WindowEvent): string {
    return of < 0 ? type : `daemon ${DAEMONS[of]}: ${type}`;
  }

  events(state: WindowState): WindowEvent[] {
    const events: WindowEvent[] = [];
    const add = (type: WindowEventType, of: number, when: boolean) => {
      if (when) events.push({type, of});
    };
    const end = state.log.length;
    add(T.Other, -1, state.others > 0);
    add(T.Retain, -1, state.oldest < end);
    state.daemons.forEach((daemon, of) => {
      const isPending = daemon.pending >= 0;
      const mayBegin = state.requests > 0 && state.bornAt >= 0 && !isPending;
      // The daemons are alike, so the first may as well issue the key.
      add(T.Issue, of, of === 0 && state.bornAt < 0);
      add(T.Begin, of, mayBegin && this.isAdmitted(state, daemon));
      add(T.Land, of, isPending && !daemon.hasClaimed);
      add(T.Read, of, daemon.read < end);
      add(T.Restart, of, state.restarts > 0);
    });
    return events;
  }

  step(state: WindowState, {type, of}: WindowEvent): WindowState {
    const daemon = state.daemons[of];
    switch (type) {
      case T.Issue:
        return {...state, bornAt: daemon.read};
      case T.Other: {
        const log = [...state.log, {isWatched: false, request: -1}];
        return {...state, log, others: state.others - 1};
      }
      case T.Retain:
        return {...state, oldest: state.oldest + 1};
      case T.Restart: {
        const restarted = withDaemon(state, of, freshAt(state.oldest));
        return {...restarted, restarts: state.restarts - 1};
      }
      case T.Begin: {
        const pending = state.requests;
        const begun = withDaemon(state, of, {
          ...daemon,
          pending,
          knownFrom: daemon.read,
          hasClaimed: false,
        });
        return {...begun, requests: state.requests - 1};
      }
      case T.Land: {
        const claim = {isWatched: true, request: daemon.pending};
        const landed = withDaemon(state, of, {...daemon, hasClaimed: true});
        return {...landed, log: [...state.log, claim]};
      }
      case T.Read:
        return this.read(state, of);
    }
  }

  private isAdmitted(state: WindowState, daemon: WindowDaemon): boolean {
    if (daemon.known >= 0) return false;
    return state.bornAt >= daemon.horizon || this.mutation === M.NoBirth;
  }

  private read(state: WindowState, of: number): WindowState {
    const daemon = state.daemons[of];
    if (daemon.read < state.oldest) return skipGap(state, of);
    const {isWatched, request} = state.log[daemon.read];
    const isFirst = isWatched && daemon.known < 0;
    const isOwn = isWatched && request === daemon.pending;
    const known = isFirst ? daemon.read : daemon.known;
    const next = remember({...daemon, known, read: daemon.read + 1});
    const settled = isOwn ? {...next, pending: -1} : next;
    const isSure =
      daemon.horizon <= daemon.knownFrom || this.mutation === M.NoSecondLook;
    const runs = state.runs + (isFirst && isOwn && isSure ? 1 : 0);
    return {...withDaemon(state, of, settled), runs};
  }
}

function freshAt(offset: number): WindowDaemon {
  return {
    read: offset,
    horizon: offset,
    known: -1,
    pending: -1,
    knownFrom: 0,
    hasClaimed: false,
  };
}

// What waits for its claim gives up: the batch that told its fate may be lost.
function skipGap(state: WindowState, of: number): WindowState {
  const {oldest} = state;
  return withDaemon(state, of, {
    ...state.daemons[of],
    read: oldest,
    horizon: oldest,
    pending: -1,
  });
}

/** Forgets what stands more than the window behind. */
function remember(daemon: WindowDaemon): WindowDaemon {
  const horizon = Math.max(daemon.horizon, daemon.read - KEPT);
  const isForgotten = daemon.known >= 0 && daemon.known < horizon;
  return {...daemon, horizon, known: isForgotten ? -1 : daemon.known};
}

function withDaemon(
  state: WindowState,
  of: number,
  changed: WindowDaemon,
): WindowState {
  const daemons = state.daemons.map((daemon, place) =>
    place === of ? changed : daemon,
  );
  return {...state, daemons};
}

const MUTATIONS: readonly Mutation[] = [
  {
    name: M.NoBirth,
    without: 'the offset of its birth in an issued key',
    breaks: AT_MOST_ONCE,
  },
  {
    name: M.NoSecondLook,
    without: 'the second look at the horizon when a claim is read back',
    breaks: AT_MOST_ONCE,
  },
];

/** Claims that are forgotten. */
export const WINDOW: Subject<WindowState, WindowEvent> = {
  mutations: MUTATIONS,
  make: mutation => new WindowSpecification(mutation),
};
