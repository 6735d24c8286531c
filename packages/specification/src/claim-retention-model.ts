import {
  Guarantee,
  type Invariant,
  type Mutation,
  type Specification,
  type SpecificationFactory,
} from './specification.js';

/** A claim in the stream, of the issued key or of another key. */
export interface RetentionClaim {
  readonly isOfIssuedKey: boolean;
  /** Number of the request that claims the key; -1 for claims of other keys. */
  readonly request: number;
}

/** A daemon, which reads the stream and evicts its oldest claims. */
export interface RetentionDaemon {
  readonly nextOffset: number;
  /** Claims below this offset may be evicted or were never read. */
  readonly retainedFromOffset: number;
  /** Offset of the known claim of the issued key; -1 when it knows none. */
  readonly knownClaimOffset: number;
  /** Request that waits for its claim; -1 for none. */
  readonly pendingRequest: number;
  /** Offset up to which the daemon had read when the pending request began. */
  readonly nextOffsetAtRequest: number;
  readonly hasClaimed: boolean;
}

/** The complete state: one issued key, two daemons and a bounded retention window. */
export interface RetentionState {
  readonly log: readonly RetentionClaim[];
  readonly oldest: number;
  /** Offset at which the key was issued; -1 before that. */
  readonly issueOffset: number;
  readonly daemons: readonly RetentionDaemon[];
  readonly requestsLeft: number;
  readonly otherClaimsLeft: number;
  readonly restartsLeft: number;
  readonly runCount: number;
}

/** Events of callers, daemons and the log. */
export enum RetentionEventType {
  IssueKey = 'issue',
  BeginRequest = 'begin',
  AppendClaim = 'land',
  Read = 'read',
  /** A claim of another key advances the retention window. */
  ClaimOtherKey = 'other',
  /** The log drops its oldest record. */
  TruncateLog = 'retain',
  Restart = 'restart',
}

/** One event; `daemonIndex` is -1 for an event of no daemon. */
export interface RetentionEvent {
  readonly type: RetentionEventType;
  readonly daemonIndex: number;
}

/** Mutations, each of which removes one safeguard. */
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

/** An issued key that is used again after its claim was evicted. */
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
      holds: ({runCount}) => runCount <= 1,
    },
  ];

  constructor(private readonly mutation: string | undefined) {}

  describe({type, daemonIndex}: RetentionEvent): string {
    return daemonIndex < 0 ? type : `daemon ${DAEMONS[daemonIndex]}: ${type}`;
  }

  enabledEvents(state: RetentionState): RetentionEvent[] {
    const events: RetentionEvent[] = [];
    const add = (
      type: RetentionEventType,
      daemonIndex: number,
      when: boolean,
    ) => {
      if (when) events.push({type, daemonIndex});
    };
    const end = state.log.length;
    add(EventType.ClaimOtherKey, -1, state.otherClaimsLeft > 0);
    add(EventType.TruncateLog, -1, state.oldest < end);
    state.daemons.forEach((daemon, daemonIndex) => {
      const isPending = daemon.pendingRequest >= 0;
      const mayBegin =
        state.requestsLeft > 0 && state.issueOffset >= 0 && !isPending;
      // The daemons are interchangeable, so the first one always issues the key. This symmetry
      // reduces the number of states.
      add(
        EventType.IssueKey,
        daemonIndex,
        daemonIndex === 0 && state.issueOffset < 0,
      );
      add(
        EventType.BeginRequest,
        daemonIndex,
        mayBegin && this.isAdmitted(state, daemon),
      );
      add(EventType.AppendClaim, daemonIndex, isPending && !daemon.hasClaimed);
      add(EventType.Read, daemonIndex, daemon.nextOffset < end);
      add(EventType.Restart, daemonIndex, state.restartsLeft > 0);
    });
    return events;
  }

  step(
    state: RetentionState,
    {type, daemonIndex}: RetentionEvent,
  ): RetentionState {
    const daemon = state.daemons[daemonIndex];
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
        const restarted = withDaemon(
          state,
          daemonIndex,
          createDaemon(state.oldest),
        );
        return {...restarted, restartsLeft: state.restartsLeft - 1};
      }
      case EventType.BeginRequest: {
        const pendingRequest = state.requestsLeft;
        const begun = withDaemon(state, daemonIndex, {
          ...daemon,
          pendingRequest,
          nextOffsetAtRequest: daemon.nextOffset,
          hasClaimed: false,
        });
        return {...begun, requestsLeft: state.requestsLeft - 1};
      }
      case EventType.AppendClaim: {
        const claim = {isOfIssuedKey: true, request: daemon.pendingRequest};
        const appended = withDaemon(state, daemonIndex, {
          ...daemon,
          hasClaimed: true,
        });
        return {...appended, log: [...state.log, claim]};
      }
      case EventType.Read:
        return this.read(state, daemonIndex);
    }
  }

  private isAdmitted(state: RetentionState, daemon: RetentionDaemon): boolean {
    if (daemon.knownClaimOffset >= 0) return false;
    return (
      state.issueOffset >= daemon.retainedFromOffset ||
      this.mutation === MutationName.NoIssueOffsetCheck
    );
  }

  private read(state: RetentionState, daemonIndex: number): RetentionState {
    const daemon = state.daemons[daemonIndex];
    if (daemon.nextOffset < state.oldest) return skipGap(state, daemonIndex);
    const {isOfIssuedKey, request} = state.log[daemon.nextOffset];
    const isFirst = isOfIssuedKey && daemon.knownClaimOffset < 0;
    const isOwn = isOfIssuedKey && request === daemon.pendingRequest;
    const knownClaimOffset = isFirst
      ? daemon.nextOffset
      : daemon.knownClaimOffset;
    const next = evictOldClaim({
      ...daemon,
      knownClaimOffset,
      nextOffset: daemon.nextOffset + 1,
    });
    const settled = isOwn ? {...next, pendingRequest: -1} : next;
    const isWithinRetention =
      daemon.retainedFromOffset <= daemon.nextOffsetAtRequest ||
      this.mutation === MutationName.NoRecheckAtReadBack;
    const runCount =
      state.runCount + (isFirst && isOwn && isWithinRetention ? 1 : 0);
    return {...withDaemon(state, daemonIndex, settled), runCount};
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

// A request that waits for its claim is abandoned: the batch that would have settled it may be
// lost.
function skipGap(state: RetentionState, daemonIndex: number): RetentionState {
  const {oldest} = state;
  return withDaemon(state, daemonIndex, {
    ...state.daemons[daemonIndex],
    nextOffset: oldest,
    retainedFromOffset: oldest,
    pendingRequest: -1,
  });
}

/** Evicts the known claim when it is older than the retention window. */
function evictOldClaim(daemon: RetentionDaemon): RetentionDaemon {
  const retainedFromOffset = Math.max(
    daemon.retainedFromOffset,
    daemon.nextOffset - MAXIMUM_CLAIMS,
  );
  const isEvicted =
    daemon.knownClaimOffset >= 0 &&
    daemon.knownClaimOffset < retainedFromOffset;
  return {
    ...daemon,
    retainedFromOffset,
    knownClaimOffset: isEvicted ? -1 : daemon.knownClaimOffset,
  };
}

function withDaemon(
  state: RetentionState,
  daemonIndex: number,
  changed: RetentionDaemon,
): RetentionState {
  const daemons = state.daemons.map((daemon, index) =>
    index === daemonIndex ? changed : daemon,
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

/** Specification of claims with bounded retention. */
export const RETENTION_SPECIFICATIONS: SpecificationFactory<
  RetentionState,
  RetentionEvent
> = {
  mutations: MUTATIONS,
  create: mutation => new RetentionSpecification(mutation),
};
