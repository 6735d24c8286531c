import {
  Guarantee,
  type Invariant,
  type Mutation,
  type Specification,
  type SpecificationFactory,
} from './specification.js';

/** A claim in the stream: of the key that is watched, or of another. */
export interface RetentionClaim {
  readonly isOfIssuedKey: boolean;
  /** Daemon and number of its request; -1 for claims of other keys. */
  readonly request: number;
}

/** A daemon: it reads the stream and forgets its oldest claims. */
export interface RetentionDaemon {
  readonly nextOffset: number;
  /** Claims below this offset may be forgotten or were never read. */
  readonly retainedFromOffset: number;
  /** Offset of the claim of the key that it knows; -1 when it knows none. */
  readonly knownClaimOffset: number;
  /** Request that waits for its claim, with the offset up to which it knew; -1 for none. */
  readonly pendingRequest: number;
  readonly nextOffsetAtRequest: number;
  readonly hasClaimed: boolean;
}

/** The whole state: one issued key, two daemons, a bounded window. */
export interface RetentionState {
  readonly log: readonly RetentionClaim[];
  readonly oldest: number;
  /** Offset at which the key was issued; -1 before. */
  readonly issueOffset: number;
  readonly daemons: readonly RetentionDaemon[];
  readonly requestsLeft: number;
  readonly otherClaimsLeft: number;
  readonly restartsLeft: number;
  readonly runCount: number;
}

/** What may happen. */
export enum RetentionEventType {
  IssueKey = 'issue',
  BeginRequest = 'begin',
  AppendClaim = 'land',
  Read = 'read',
  /** A claim of another key pushes the window on. */
  ClaimOtherKey = 'other',
  /** The log lets its oldest record go. */
  TruncateLog = 'retain',
  Restart = 'restart',
}

/** One thing that happens. */
export interface RetentionEvent {
  readonly type: RetentionEventType;
  readonly daemonIndex: number;
}

/** Safeguards that a mutation takes out. */
export enum RetentionMutation {
  NoIssueOffsetCheck = 'no-birth',
  NoRecheckAtReadBack = 'no-second-look',
}

const MAXIMUM_CLAIMS = 1;
const AT_MOST_ONCE =
  'an issued key runs at most once, however late it comes again';
const EventType = RetentionEventType;
const MutationName = RetentionMutation;
const DAEMONS = ['a', 'b'];

/** A key that comes again after its claim was forgotten. */
class RetentionSpecification implements Specification<
  RetentionState,
  RetentionEvent
> {
  readonly name = 'window (1 claim kept, 2 requests, 1 other claim)';
  readonly bounds =
    '1 issued key, 2 daemons that keep 1 claim, 2 requests, 1 claim of another key, 1 restart, retention';
  readonly initialState: RetentionState = {
    log: [],
    oldest: 0,
    issueOffset: -1,
    daemons: DAEMONS.map(() => createDaemon(0)),
    requestsLeft: 2,
    otherClaimsLeft: 1,
    restartsLeft: 1,
    runCount: 0,
  };
  readonly invariants: ReadonlyArray<Invariant<RetentionState>> = [
    {
      guarantee: Guarantee.AtMostOnce,
      name: AT_MOST_ONCE,
      holds: ({runCount: runs}) => runs <= 1,
    },
  ];

  constructor(private readonly mutation: string | undefined) {}

  describe({type, daemonIndex: of}: RetentionEvent): string {
    return of < 0 ? type : `daemon ${DAEMONS[of]}: ${type}`;
  }

  enabledEvents(state: RetentionState): RetentionEvent[] {
    const events: RetentionEvent[] = [];
    const add = (type: RetentionEventType, of: number, when: boolean) => {
      if (when) events.push({type, daemonIndex: of});
    };
    const end = state.log.length;
    add(EventType.ClaimOtherKey, -1, state.otherClaimsLeft > 0);
    add(EventType.TruncateLog, -1, state.oldest < end);
    state.daemons.forEach((daemon, of) => {
      const isPending = daemon.pendingRequest >= 0;
      const mayBegin =
        state.requestsLeft > 0 && state.issueOffset >= 0 && !isPending;
      // The daemons are alike, so the first may as well issue the key.
      add(EventType.IssueKey, of, of === 0 && state.issueOffset < 0);
      add(
        EventType.BeginRequest,
        of,
        mayBegin && this.isAdmitted(state, daemon),
      );
      add(EventType.AppendClaim, of, isPending && !daemon.hasClaimed);
      add(EventType.Read, of, daemon.nextOffset < end);
      add(EventType.Restart, of, state.restartsLeft > 0);
    });
    return events;
  }

  step(
    state: RetentionState,
    {type, daemonIndex: of}: RetentionEvent,
  ): RetentionState {
    const daemon = state.daemons[of];
    switch (type) {
      case EventType.IssueKey:
        return {...state, issueOffset: daemon.nextOffset};
      case EventType.ClaimOtherKey: {
        const log = [...state.log, {isOfIssuedKey: false, request: -1}];
        return {...state, log, otherClaimsLeft: state.otherClaimsLeft - 1};
      }
      case EventType.TruncateLog:
        return {...state, oldest: state.oldest + 1};
      case EventType.Restart: {
        const restarted = withDaemon(state, of, createDaemon(state.oldest));
        return {...restarted, restartsLeft: state.restartsLeft - 1};
      }
      case EventType.BeginRequest: {
        const pending = state.requestsLeft;
        const begun = withDaemon(state, of, {
          ...daemon,
          pendingRequest: pending,
          nextOffsetAtRequest: daemon.nextOffset,
          hasClaimed: false,
        });
        return {...begun, requestsLeft: state.requestsLeft - 1};
      }
      case EventType.AppendClaim: {
        const claim = {isOfIssuedKey: true, request: daemon.pendingRequest};
        const landed = withDaemon(state, of, {...daemon, hasClaimed: true});
        return {...landed, log: [...state.log, claim]};
      }
      case EventType.Read:
        return this.read(state, of);
    }
  }

  private isAdmitted(state: RetentionState, daemon: RetentionDaemon): boolean {
    if (daemon.knownClaimOffset >= 0) return false;
    return (
      state.issueOffset >= daemon.retainedFromOffset ||
      this.mutation === MutationName.NoIssueOffsetCheck
    );
  }

  private read(state: RetentionState, of: number): RetentionState {
    const daemon = state.daemons[of];
    if (daemon.nextOffset < state.oldest) return skipGap(state, of);
    const {isOfIssuedKey: isWatched, request} = state.log[daemon.nextOffset];
    const isFirst = isWatched && daemon.knownClaimOffset < 0;
    const isOwn = isWatched && request === daemon.pendingRequest;
    const known = isFirst ? daemon.nextOffset : daemon.knownClaimOffset;
    const next = evictOldClaim({
      ...daemon,
      knownClaimOffset: known,
      nextOffset: daemon.nextOffset + 1,
    });
    const settled = isOwn ? {...next, pendingRequest: -1} : next;
    const isSure =
      daemon.retainedFromOffset <= daemon.nextOffsetAtRequest ||
      this.mutation === MutationName.NoRecheckAtReadBack;
    const runs = state.runCount + (isFirst && isOwn && isSure ? 1 : 0);
    return {...withDaemon(state, of, settled), runCount: runs};
  }
}

function createDaemon(offset: number): RetentionDaemon {
  return {
    nextOffset: offset,
    retainedFromOffset: offset,
    knownClaimOffset: -1,
    pendingRequest: -1,
    nextOffsetAtRequest: 0,
    hasClaimed: false,
  };
}

// What waits for its claim gives up: the batch that told its fate may be lost.
function skipGap(state: RetentionState, of: number): RetentionState {
  const {oldest} = state;
  return withDaemon(state, of, {
    ...state.daemons[of],
    nextOffset: oldest,
    retainedFromOffset: oldest,
    pendingRequest: -1,
  });
}

/** Forgets what stands more than the window behind. */
function evictOldClaim(daemon: RetentionDaemon): RetentionDaemon {
  const horizon = Math.max(
    daemon.retainedFromOffset,
    daemon.nextOffset - MAXIMUM_CLAIMS,
  );
  const isForgotten =
    daemon.knownClaimOffset >= 0 && daemon.knownClaimOffset < horizon;
  return {
    ...daemon,
    retainedFromOffset: horizon,
    knownClaimOffset: isForgotten ? -1 : daemon.knownClaimOffset,
  };
}

function withDaemon(
  state: RetentionState,
  of: number,
  changed: RetentionDaemon,
): RetentionState {
  const daemons = state.daemons.map((daemon, place) =>
    place === of ? changed : daemon,
  );
  return {...state, daemons};
}

const MUTATIONS: readonly Mutation[] = [
  {
    name: MutationName.NoIssueOffsetCheck,
    removedSafeguard: 'the offset of its birth in an issued key',
    brokenInvariant: AT_MOST_ONCE,
  },
  {
    name: MutationName.NoRecheckAtReadBack,
    removedSafeguard:
      'the second look at the horizon when a claim is read back',
    brokenInvariant: AT_MOST_ONCE,
  },
];

/** Claims that are forgotten. */
export const RETENTION_SPECIFICATIONS: SpecificationFactory<
  RetentionState,
  RetentionEvent
> = {
  mutations: MUTATIONS,
  create: mutation => new RetentionSpecification(mutation),
};
