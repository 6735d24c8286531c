import {
  AttemptStage,
  foldClaims,
  type Attempt,
  type ModelClaimBatch,
  type ClaimsDaemon,
  type ClaimsFold,
  type ClaimsState,
} from './claims-state.js';
import {
  Guarantee,
  type Invariant,
  type Mutation,
  type Specification,
  type SpecificationFactory,
} from './specification.js';
import {mergeAt} from './array-updates.js';

/** Events of callers, daemons and the log. */
export enum ClaimsEventType {
  /** The caller begins an attempt at a daemon. */
  BeginAttempt = 'begin',
  /** A daemon sends its pending claims and releases. */
  SendBatch = 'send',
  /** An append takes effect. */
  Append = 'land',
  /** An append takes effect and a duplicate of it is still in flight. */
  AppendTwice = 'land_twice',
  /** The daemon is notified that its append took effect; only one mutation uses this. */
  ReceiveResponse = 'answer',
  /** The response is lost, whether or not the append took effect. */
  LoseResponse = 'lose_answer',
  /** The daemon reads the next batch. */
  Read = 'read',
  /** Bytes are sent to a target. */
  Dispatch = 'dispatch',
  /** The daemon rejects an attempt with a won claim before it runs, as with a full queue. */
  RejectBeforeRun = 'refuse',
  /** The daemon stops waiting for the log. */
  TimeOut = 'give_up',
  /** The daemon crashes; its successor starts without any state. */
  Crash = 'crash',
}

/** One event; `index` is the index of a daemon, an attempt or an append in flight. */
export interface ClaimsEvent {
  readonly type: ClaimsEventType;
  readonly index: number;
}

/** Mutations, each of which removes one safeguard. */
export enum ClaimsMutation {
  DispatchBeforeReadBack = 'dispatch-before-read-back',
  NoSequence = 'no-sequence',
  LateWinRuns = 'late-win-runs',
  ReadFromEnd = 'read-from-end',
  NotRunWithoutReading = 'not-run-unproven',
  ReleaseAfterDispatch = 'release-after-dispatch',
  FreeClaimsOfCrashedDaemons = 'free-claims-of-the-gone',
}

/** Bounds of one exploration. */
export interface ClaimsBounds {
  readonly attempts: number;
  readonly lostResponses: number;
  readonly duplicates: number;
  readonly crashes: number;
  readonly rejections: number;
}

const DAEMONS = ['a', 'b'];
const AT_MOST_ONCE = 'the key runs at most once';
const NOT_RUN_IS_RELIABLE =
  'a try told "not run" never runs, and none had run when it began';
const RELEASED_STAYS_FREE = 'a released claim does not take the key again';

const EventType = ClaimsEventType;
const MutationName = ClaimsMutation;

/** Claims of one key by two daemons over the log, with lost responses, duplicates and crashes. */
class ClaimsSpecification implements Specification<ClaimsState, ClaimsEvent> {
  readonly name: string;
  readonly bounds: string;
  readonly initialState: ClaimsState;
  readonly invariants: ReadonlyArray<Invariant<ClaimsState>> = [
    {
      guarantee: Guarantee.AtMostOnce,
      name: AT_MOST_ONCE,
      holds: state => state.attempts.filter(({ran}) => ran).length <= 1,
    },
    {
      guarantee: Guarantee.NotRunIsReliable,
      name: NOT_RUN_IS_RELIABLE,
      holds: state =>
        state.attempts.every(
          ({stage, ran, ranBefore}) =>
            stage !== AttemptStage.ToldNotRun || (!ran && !ranBefore),
        ),
    },
    {
      guarantee: Guarantee.AtMostOnce,
      name: RELEASED_STAYS_FREE,
      holds: state => {
        const {owner, released} = this.fold(state, state.log);
        return owner === undefined || !released.includes(owner);
      },
    },
  ];

  constructor(
    bounds: ClaimsBounds,
    private readonly mutation: string | undefined,
  ) {
    const {attempts, lostResponses, duplicates, crashes, rejections} = bounds;
    this.name = `claims (${attempts} tries, ${lostResponses} lost, ${duplicates} doubled, ${crashes} crashes, ${rejections} refused)`;
    this.bounds = `one key, 2 daemons, ${attempts} tries, ${lostResponses} lost answers, ${duplicates} doubled appends, ${crashes} crashes, ${rejections} refusals after a won claim`;
    this.initialState = {
      log: [],
      appendsInFlight: [],
      daemons: DAEMONS.map(name => createDaemon(`${name}1`, 0)),
      attempts: Array.from({length: attempts}, () => UNSTARTED_ATTEMPT),
      lostResponsesLeft: lostResponses,
      duplicatesLeft: duplicates,
      crashesLeft: crashes,
      rejectionsLeft: rejections,
    };
  }

  describe({type, index}: ClaimsEvent): string {
    switch (type) {
      case EventType.Append:
      case EventType.AppendTwice:
        return `${type} append ${index}`;
      case EventType.Dispatch:
      case EventType.RejectBeforeRun:
      case EventType.TimeOut:
        return `${type} try ${index}`;
      default:
        return `${type} at daemon ${DAEMONS[index]}`;
    }
  }

  enabledEvents(state: ClaimsState): ClaimsEvent[] {
    const events: ClaimsEvent[] = [];
    const add = (type: ClaimsEventType, index: number, when: boolean) => {
      if (when) events.push({type, index});
    };
    state.daemons.forEach((daemon, index) => {
      add(EventType.BeginAttempt, index, mayBegin(state, index));
      add(
        EventType.SendBatch,
        index,
        !daemon.appendInFlight && hasPendingItems(daemon),
      );
      add(
        EventType.ReceiveResponse,
        index,
        this.mayReceiveResponse(state, daemon),
      );
      add(
        EventType.LoseResponse,
        index,
        state.lostResponsesLeft > 0 && daemon.appendInFlight !== null,
      );
      add(EventType.Read, index, mayRead(state, daemon));
      add(EventType.Crash, index, state.crashesLeft > 0);
    });
    state.appendsInFlight.forEach((_, index) => {
      add(EventType.Append, index, true);
      add(
        EventType.AppendTwice,
        index,
        this.mutation === MutationName.NoSequence && state.duplicatesLeft > 0,
      );
    });
    state.attempts.forEach(({stage}, index) => {
      add(EventType.Dispatch, index, stage === AttemptStage.Won);
      add(
        EventType.RejectBeforeRun,
        index,
        state.rejectionsLeft > 0 && this.mayReject(stage),
      );
      add(EventType.TimeOut, index, stage === AttemptStage.Pending);
    });
    return events;
  }

  step(state: ClaimsState, {type, index}: ClaimsEvent): ClaimsState {
    switch (type) {
      case EventType.BeginAttempt:
        return this.begin(state, index);
      case EventType.SendBatch:
        return sendBatch(state, index);
      case EventType.Append:
        return this.append(state, index, false);
      case EventType.AppendTwice:
        return this.append(state, index, true);
      case EventType.ReceiveResponse:
        return this.receiveResponse(state, index);
      case EventType.LoseResponse:
        return loseResponse(state, index);
      case EventType.Read:
        return this.read(state, index);
      case EventType.Dispatch:
        return withAttempt(state, index, {stage: AttemptStage.Ran, ran: true});
      case EventType.RejectBeforeRun:
        return this.rejectBeforeRun(state, index);
      case EventType.TimeOut:
        return this.timeOut(state, index);
      case EventType.Crash:
        return this.crash(state, index);
    }
  }

  private begin(state: ClaimsState, daemonIndex: number): ClaimsState {
    const attemptIndex = nextAttempt(state);
    const daemon = state.daemons[daemonIndex];
    const ranBefore = state.attempts.some(({ran}) => ran);
    const incarnation = daemon.incarnation;
    const {owner} = this.foldRead(state, daemon);
    if (owner !== undefined && !this.isFree(state, owner))
      return withAttempt(state, attemptIndex, {
        stage: AttemptStage.ToldUnknown,
        incarnation,
        ranBefore,
      });
    const begun = withAttempt(state, attemptIndex, {
      stage: AttemptStage.Pending,
      incarnation,
      ranBefore,
    });
    return withDaemon(begun, daemonIndex, {
      pendingClaims: [...daemon.pendingClaims, attemptIndex],
    });
  }

  // The fold drops a batch that follows its successor, wherever it is appended. Such an append
  // is removed at once, which changes no fold and keeps the number of states small.
  private append(
    state: ClaimsState,
    appendIndex: number,
    isDuplicated: boolean,
  ): ClaimsState {
    const batch = state.appendsInFlight[appendIndex];
    const dropsStaleBatches = this.mutation !== MutationName.NoSequence;
    const appendsInFlight = state.appendsInFlight.filter(
      (other, otherIndex) =>
        (isDuplicated && otherIndex === appendIndex && !dropsStaleBatches) ||
        (otherIndex !== appendIndex &&
          !(dropsStaleBatches && isSupersededBy(other, batch))),
    );
    const duplicatesLeft = state.duplicatesLeft - (isDuplicated ? 1 : 0);
    return {
      ...state,
      log: [...state.log, batch],
      appendsInFlight,
      duplicatesLeft,
    };
  }

  private receiveResponse(
    state: ClaimsState,
    daemonIndex: number,
  ): ClaimsState {
    const {appendInFlight} = state.daemons[daemonIndex];
    return appendInFlight!.claims.reduce(
      (next, attemptIndex) =>
        next.attempts[attemptIndex].stage === AttemptStage.Pending
          ? withAttempt(next, attemptIndex, {stage: AttemptStage.Won})
          : next,
      state,
    );
  }

  private read(state: ClaimsState, daemonIndex: number): ClaimsState {
    const daemon = state.daemons[daemonIndex];
    const batch = state.log[daemon.nextOffset];
    const fold = this.fold(
      state,
      state.log.slice(daemon.startOffset, daemon.nextOffset + 1),
    );
    let next = withDaemon(state, daemonIndex, {
      nextOffset: daemon.nextOffset + 1,
    });
    if (batch.holder !== daemon.incarnation || !fold.accepted.at(-1))
      return next;
    const {appendInFlight} = daemon;
    next = withDaemon(next, daemonIndex, {
      appendInFlight:
        appendInFlight?.sequence === batch.sequence ? null : appendInFlight,
      pendingClaims: without(daemon.pendingClaims, batch.claims),
      pendingReleases: without(daemon.pendingReleases, batch.releases),
    });
    for (const attemptIndex of batch.claims) {
      next = this.settle(
        next,
        daemonIndex,
        attemptIndex,
        fold.owner === attemptIndex,
      );
    }
    return next;
  }

  private settle(
    state: ClaimsState,
    daemonIndex: number,
    attemptIndex: number,
    isOwner: boolean,
  ): ClaimsState {
    const {stage} = state.attempts[attemptIndex];
    if (stage === AttemptStage.Pending) {
      const settled = isOwner ? AttemptStage.Won : AttemptStage.ToldUnknown;
      return withAttempt(state, attemptIndex, {stage: settled});
    }
    const hasResponse =
      stage === AttemptStage.ToldNotRun || stage === AttemptStage.ToldUnknown;
    if (!hasResponse || !isOwner) return state;
    if (this.mutation === MutationName.LateWinRuns)
      return withAttempt(state, attemptIndex, {ran: true});
    const releases = [
      ...state.daemons[daemonIndex].pendingReleases,
      attemptIndex,
    ];
    return withDaemon(state, daemonIndex, {pendingReleases: releases});
  }

  private rejectBeforeRun(
    state: ClaimsState,
    attemptIndex: number,
  ): ClaimsState {
    const attempt = state.attempts[attemptIndex];
    const daemonIndex = daemonOf(state, attempt);
    const {pendingReleases} = state.daemons[daemonIndex];
    const stage = attempt.ran
      ? AttemptStage.ToldUnknown
      : AttemptStage.ToldNotRun;
    const decided = withAttempt(state, attemptIndex, {stage});
    const rejected = {...decided, rejectionsLeft: state.rejectionsLeft - 1};
    return withDaemon(rejected, daemonIndex, {
      pendingReleases: [...pendingReleases, attemptIndex],
    });
  }

  // "Not run" requires that the daemon has read the log to its end: an earlier attempt may have
  // run at another daemon.
  private timeOut(state: ClaimsState, attemptIndex: number): ClaimsState {
    const daemon = state.daemons[daemonOf(state, state.attempts[attemptIndex])];
    const isProvenNotRun =
      daemon.nextOffset === state.log.length &&
      this.foldRead(state, daemon).owner === undefined;
    const mayTell =
      isProvenNotRun || this.mutation === MutationName.NotRunWithoutReading;
    const stage = mayTell ? AttemptStage.ToldNotRun : AttemptStage.ToldUnknown;
    return withAttempt(state, attemptIndex, {stage});
  }

  private crash(state: ClaimsState, daemonIndex: number): ClaimsState {
    const {incarnation} = state.daemons[daemonIndex];
    const startOffset =
      this.mutation === MutationName.ReadFromEnd ? state.log.length : 0;
    const successor = `${incarnation[0]}${Number(incarnation.slice(1)) + 1}`;
    const attempts = state.attempts.map(attempt =>
      attempt.incarnation === incarnation && ACTIVE_STAGES.has(attempt.stage)
        ? {...attempt, stage: AttemptStage.DaemonCrashed}
        : attempt,
    );
    const crashed = {...state, attempts, crashesLeft: state.crashesLeft - 1};
    return withDaemon(
      crashed,
      daemonIndex,
      createDaemon(successor, startOffset),
    );
  }

  private mayReceiveResponse(
    state: ClaimsState,
    {appendInFlight}: ClaimsDaemon,
  ): boolean {
    if (
      this.mutation !== MutationName.DispatchBeforeReadBack ||
      !appendInFlight
    )
      return false;
    return state.log.some(
      ({holder, sequence}) =>
        holder === appendInFlight.holder &&
        sequence === appendInFlight.sequence,
    );
  }

  private mayReject(stage: AttemptStage): boolean {
    if (stage === AttemptStage.Won) return true;
    return (
      this.mutation === MutationName.ReleaseAfterDispatch &&
      stage === AttemptStage.Ran
    );
  }

  private foldRead(state: ClaimsState, daemon: ClaimsDaemon): ClaimsFold {
    return this.fold(
      state,
      state.log.slice(daemon.startOffset, daemon.nextOffset),
    );
  }

  private fold(
    state: ClaimsState,
    log: readonly ModelClaimBatch[],
  ): ClaimsFold {
    const dropsStaleBatches = this.mutation !== MutationName.NoSequence;
    return foldClaims(log, dropsStaleBatches, owner =>
      this.isFree(state, owner),
    );
  }

  private isFree(state: ClaimsState, owner: number): boolean {
    if (this.mutation !== MutationName.FreeClaimsOfCrashedDaemons) return false;
    return daemonOf(state, state.attempts[owner]) < 0;
  }
}

const UNSTARTED_ATTEMPT: Attempt = {
  stage: AttemptStage.NotBegun,
  incarnation: '',
  ran: false,
  ranBefore: false,
};

const ACTIVE_STAGES: ReadonlySet<AttemptStage> = new Set([
  AttemptStage.Pending,
  AttemptStage.Won,
  AttemptStage.Ran,
]);

function createDaemon(incarnation: string, startOffset: number): ClaimsDaemon {
  return {
    incarnation,
    startOffset,
    nextOffset: startOffset,
    sequence: 0,
    appendInFlight: null,
    pendingClaims: [],
    pendingReleases: [],
  };
}

function nextAttempt(state: ClaimsState): number {
  return state.attempts.findIndex(({stage}) => stage === AttemptStage.NotBegun);
}

function daemonOf(state: ClaimsState, attempt: Attempt): number {
  return state.daemons.findIndex(
    ({incarnation}) => incarnation === attempt.incarnation,
  );
}

function hasPendingItems({
  pendingClaims,
  pendingReleases,
}: ClaimsDaemon): boolean {
  return pendingClaims.length + pendingReleases.length > 0;
}

// The daemons are interchangeable, so the first attempt always begins at the first daemon. This
// symmetry reduces the number of states.
function mayBegin(state: ClaimsState, daemonIndex: number): boolean {
  const attemptIndex = nextAttempt(state);
  return attemptIndex > 0 || (attemptIndex === 0 && daemonIndex === 0);
}

// A read by a daemon that waits for nothing and will receive no further attempt has no effect,
// so it is not explored.
function mayRead(state: ClaimsState, daemon: ClaimsDaemon): boolean {
  if (daemon.nextOffset >= state.log.length) return false;
  if (nextAttempt(state) >= 0 || hasPendingItems(daemon)) return true;
  return state.attempts.some(
    ({stage, incarnation}) =>
      incarnation === daemon.incarnation && stage === AttemptStage.Pending,
  );
}

function sendBatch(state: ClaimsState, daemonIndex: number): ClaimsState {
  const {
    incarnation: holder,
    pendingClaims: claims,
    pendingReleases: releases,
    sequence,
  } = state.daemons[daemonIndex];
  const batch = {holder, sequence: sequence + 1, claims, releases};
  const sent = withDaemon(state, daemonIndex, {
    sequence: sequence + 1,
    appendInFlight: batch,
  });
  return {
    ...sent,
    appendsInFlight: inBatchOrder([...state.appendsInFlight, batch]),
  };
}

function loseResponse(state: ClaimsState, daemonIndex: number): ClaimsState {
  const lost = withDaemon(state, daemonIndex, {appendInFlight: null});
  return {...lost, lostResponsesLeft: state.lostResponsesLeft - 1};
}

function isSupersededBy(
  batch: ModelClaimBatch,
  appended: ModelClaimBatch,
): boolean {
  return (
    batch.holder === appended.holder && batch.sequence <= appended.sequence
  );
}

function inBatchOrder(batches: readonly ModelClaimBatch[]): ModelClaimBatch[] {
  const sortKey = ({holder, sequence}: ModelClaimBatch) =>
    `${holder}/${sequence}`;
  return [...batches].sort((left, right) =>
    sortKey(left) < sortKey(right) ? -1 : 1,
  );
}

function without(
  items: readonly number[],
  removed: readonly number[],
): readonly number[] {
  return items.filter(item => !removed.includes(item));
}

function withDaemon(
  state: ClaimsState,
  daemonIndex: number,
  change: Partial<ClaimsDaemon>,
): ClaimsState {
  const daemons = mergeAt(state.daemons, daemonIndex, change);
  return {...state, daemons};
}

function withAttempt(
  state: ClaimsState,
  attemptIndex: number,
  change: Partial<Attempt>,
): ClaimsState {
  const attempts = mergeAt(state.attempts, attemptIndex, change);
  return {...state, attempts};
}

const MUTATIONS: readonly Mutation[] = [
  {
    name: MutationName.DispatchBeforeReadBack,
    removedSafeguard: 'waiting to read a claim back',
    brokenInvariant: AT_MOST_ONCE,
  },
  {
    name: MutationName.NoSequence,
    removedSafeguard: 'the sequence that drops late and doubled batches',
    brokenInvariant: RELEASED_STAYS_FREE,
  },
  {
    name: MutationName.LateWinRuns,
    removedSafeguard:
      'the release of a claim that is won after the caller was told',
    brokenInvariant: NOT_RUN_IS_RELIABLE,
  },
  {
    name: MutationName.NotRunWithoutReading,
    removedSafeguard: 'reading to the end before "not run" is said',
    brokenInvariant: NOT_RUN_IS_RELIABLE,
  },
  {
    name: MutationName.ReleaseAfterDispatch,
    removedSafeguard: 'the rule that only an unsent request releases its claim',
    brokenInvariant: AT_MOST_ONCE,
  },
];

const CRASH_MUTATIONS: readonly Mutation[] = [
  {
    name: MutationName.ReadFromEnd,
    removedSafeguard: 'reading the stream from its oldest batch after a start',
    brokenInvariant: AT_MOST_ONCE,
  },
  {
    name: MutationName.FreeClaimsOfCrashedDaemons,
    removedSafeguard: 'keeping the claims of a daemon that died',
    brokenInvariant: AT_MOST_ONCE,
  },
];

/** Returns the specification of claims within the given bounds. */
export function claimsSpecifications(
  bounds: ClaimsBounds,
): SpecificationFactory<ClaimsState, ClaimsEvent> {
  return {
    mutations: bounds.crashes > 0 ? CRASH_MUTATIONS : MUTATIONS,
    create: mutation => new ClaimsSpecification(bounds, mutation),
  };
}
