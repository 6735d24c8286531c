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

/** What may happen to claims. */
export enum ClaimsEventType {
  /** The caller tries, at a daemon. */
  BeginAttempt = 'begin',
  /** A daemon sends what has gathered. */
  SendBatch = 'send',
  /** An append takes effect. */
  Append = 'land',
  /** An append takes effect and a copy of it is still under way. */
  AppendTwice = 'land_twice',
  /** The daemon hears that its append took effect; matters only to one mutation. */
  ReceiveResponse = 'answer',
  /** The answer is lost, whether or not the append took effect. */
  LoseResponse = 'lose_answer',
  /** The daemon reads the next batch. */
  Read = 'read',
  /** Bytes go to a target. */
  Dispatch = 'dispatch',
  /** The daemon turns a won try away before it runs: the queue is full. */
  RejectBeforeRun = 'refuse',
  /** The daemon ends a wait for the log. */
  TimeOut = 'give_up',
  /** The daemon dies; its successor starts empty. */
  Crash = 'crash',
}

/** One thing that happens; `of` is a daemon, a try or an append in flight by its place. */
export interface ClaimsEvent {
  readonly type: ClaimsEventType;
  readonly index: number;
}

/** Safeguards that a mutation takes out. */
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

/** Claims of one key over the log, by two daemons, under lost and doubled appends and crashes. */
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
    const {
      attempts,
      lostResponses: losses,
      duplicates: doubles,
      crashes,
      rejections: refusals,
    } = bounds;
    this.name = `claims (${attempts} tries, ${losses} lost, ${doubles} doubled, ${crashes} crashes, ${refusals} refused)`;
    this.bounds = `one key, 2 daemons, ${attempts} tries, ${losses} lost answers, ${doubles} doubled appends, ${crashes} crashes, ${refusals} refusals after a won claim`;
    this.initialState = {
      log: [],
      appendsInFlight: [],
      daemons: DAEMONS.map(name => createDaemon(`${name}1`, 0)),
      attempts: Array.from({length: attempts}, () => UNSTARTED_ATTEMPT),
      lostResponsesLeft: losses,
      duplicatesLeft: doubles,
      crashesLeft: crashes,
      rejectionsLeft: refusals,
    };
  }

  describe({type, index: of}: ClaimsEvent): string {
    switch (type) {
      case EventType.Append:
      case EventType.AppendTwice:
        return `${type} append ${of}`;
      case EventType.Dispatch:
      case EventType.RejectBeforeRun:
      case EventType.TimeOut:
        return `${type} try ${of}`;
      default:
        return `${type} at daemon ${DAEMONS[of]}`;
    }
  }

  enabledEvents(state: ClaimsState): ClaimsEvent[] {
    const events: ClaimsEvent[] = [];
    const add = (type: ClaimsEventType, of: number, when: boolean) => {
      if (when) events.push({type, index: of});
    };
    state.daemons.forEach((daemon, of) => {
      add(EventType.BeginAttempt, of, mayBegin(state, of));
      add(
        EventType.SendBatch,
        of,
        !daemon.appendInFlight && hasPendingItems(daemon),
      );
      add(
        EventType.ReceiveResponse,
        of,
        this.mayReceiveResponse(state, daemon),
      );
      add(
        EventType.LoseResponse,
        of,
        state.lostResponsesLeft > 0 && daemon.appendInFlight !== null,
      );
      add(EventType.Read, of, mayRead(state, daemon));
      add(EventType.Crash, of, state.crashesLeft > 0);
    });
    state.appendsInFlight.forEach((_, of) => {
      add(EventType.Append, of, true);
      add(
        EventType.AppendTwice,
        of,
        this.mutation === MutationName.NoSequence && state.duplicatesLeft > 0,
      );
    });
    state.attempts.forEach(({stage}, of) => {
      add(EventType.Dispatch, of, stage === AttemptStage.Won);
      add(
        EventType.RejectBeforeRun,
        of,
        state.rejectionsLeft > 0 && this.mayReject(stage),
      );
      add(EventType.TimeOut, of, stage === AttemptStage.Pending);
    });
    return events;
  }

  step(state: ClaimsState, {type, index: of}: ClaimsEvent): ClaimsState {
    switch (type) {
      case EventType.BeginAttempt:
        return this.begin(state, of);
      case EventType.SendBatch:
        return sendBatch(state, of);
      case EventType.Append:
        return this.append(state, of, false);
      case EventType.AppendTwice:
        return this.append(state, of, true);
      case EventType.ReceiveResponse:
        return this.receiveResponse(state, of);
      case EventType.LoseResponse:
        return loseResponse(state, of);
      case EventType.Read:
        return this.read(state, of);
      case EventType.Dispatch:
        return withAttempt(state, of, {stage: AttemptStage.Ran, ran: true});
      case EventType.RejectBeforeRun:
        return this.rejectBeforeRun(state, of);
      case EventType.TimeOut:
        return this.timeOut(state, of);
      case EventType.Crash:
        return this.crash(state, of);
    }
  }

  private begin(state: ClaimsState, of: number): ClaimsState {
    const index = nextAttempt(state);
    const daemon = state.daemons[of];
    const ranBefore = state.attempts.some(({ran}) => ran);
    const at = daemon.incarnation;
    const {owner} = this.foldRead(state, daemon);
    if (owner !== undefined && !this.isFree(state, owner))
      return withAttempt(state, index, {
        stage: AttemptStage.ToldUnknown,
        incarnation: at,
        ranBefore,
      });
    const begun = withAttempt(state, index, {
      stage: AttemptStage.Pending,
      incarnation: at,
      ranBefore,
    });
    return withDaemon(begun, of, {
      pendingClaims: [...daemon.pendingClaims, index],
    });
  }

  // The fold drops what stands behind its successor, wherever it lands: such an append is
  // taken out at once, which changes no fold and keeps the number of states small.
  private append(state: ClaimsState, of: number, twice: boolean): ClaimsState {
    const batch = state.appendsInFlight[of];
    const fenced = this.mutation !== MutationName.NoSequence;
    const flight = state.appendsInFlight.filter(
      (other, place) =>
        (twice && place === of && !fenced) ||
        (place !== of && !(fenced && isSupersededBy(other, batch))),
    );
    const doubles = state.duplicatesLeft - (twice ? 1 : 0);
    return {
      ...state,
      log: [...state.log, batch],
      appendsInFlight: flight,
      duplicatesLeft: doubles,
    };
  }

  private receiveResponse(state: ClaimsState, of: number): ClaimsState {
    const {appendInFlight: sending} = state.daemons[of];
    return sending!.claims.reduce(
      (next, index) =>
        next.attempts[index].stage === AttemptStage.Pending
          ? withAttempt(next, index, {stage: AttemptStage.Won})
          : next,
      state,
    );
  }

  private read(state: ClaimsState, of: number): ClaimsState {
    const daemon = state.daemons[of];
    const batch = state.log[daemon.nextOffset];
    const fold = this.fold(
      state,
      state.log.slice(daemon.startOffset, daemon.nextOffset + 1),
    );
    let next = withDaemon(state, of, {nextOffset: daemon.nextOffset + 1});
    if (batch.holder !== daemon.incarnation || !fold.accepted.at(-1))
      return next;
    const {appendInFlight: sending} = daemon;
    next = withDaemon(next, of, {
      appendInFlight: sending?.sequence === batch.sequence ? null : sending,
      pendingClaims: without(daemon.pendingClaims, batch.claims),
      pendingReleases: without(daemon.pendingReleases, batch.releases),
    });
    for (const index of batch.claims) {
      next = this.settle(next, of, index, fold.owner === index);
    }
    return next;
  }

  private settle(
    state: ClaimsState,
    of: number,
    index: number,
    isOwner: boolean,
  ): ClaimsState {
    const {stage} = state.attempts[index];
    if (stage === AttemptStage.Pending) {
      const settled = isOwner ? AttemptStage.Won : AttemptStage.ToldUnknown;
      return withAttempt(state, index, {stage: settled});
    }
    const gaveUp =
      stage === AttemptStage.ToldNotRun || stage === AttemptStage.ToldUnknown;
    if (!gaveUp || !isOwner) return state;
    if (this.mutation === MutationName.LateWinRuns)
      return withAttempt(state, index, {ran: true});
    const releases = [...state.daemons[of].pendingReleases, index];
    return withDaemon(state, of, {pendingReleases: releases});
  }

  private rejectBeforeRun(state: ClaimsState, index: number): ClaimsState {
    const attempt = state.attempts[index];
    const of = daemonOf(state, attempt);
    const {pendingReleases: releases} = state.daemons[of];
    const stage = attempt.ran
      ? AttemptStage.ToldUnknown
      : AttemptStage.ToldNotRun;
    const told = withAttempt(state, index, {stage});
    const counted = {...told, rejectionsLeft: state.rejectionsLeft - 1};
    return withDaemon(counted, of, {pendingReleases: [...releases, index]});
  }

  // "Not run" needs the log's word that nothing stands there that this daemon has not read:
  // an earlier try may have run elsewhere.
  private timeOut(state: ClaimsState, index: number): ClaimsState {
    const daemon = state.daemons[daemonOf(state, state.attempts[index])];
    const proven =
      daemon.nextOffset === state.log.length &&
      this.foldRead(state, daemon).owner === undefined;
    const mayTell =
      proven || this.mutation === MutationName.NotRunWithoutReading;
    const stage = mayTell ? AttemptStage.ToldNotRun : AttemptStage.ToldUnknown;
    return withAttempt(state, index, {stage});
  }

  private crash(state: ClaimsState, of: number): ClaimsState {
    const {incarnation} = state.daemons[of];
    const from =
      this.mutation === MutationName.ReadFromEnd ? state.log.length : 0;
    const successor = `${incarnation[0]}${Number(incarnation.slice(1)) + 1}`;
    const attempts = state.attempts.map(attempt =>
      attempt.incarnation === incarnation && ACTIVE_STAGES.has(attempt.stage)
        ? {...attempt, stage: AttemptStage.DaemonCrashed}
        : attempt,
    );
    const crashed = {...state, attempts, crashesLeft: state.crashesLeft - 1};
    return withDaemon(crashed, of, createDaemon(successor, from));
  }

  private mayReceiveResponse(
    state: ClaimsState,
    {appendInFlight: sending}: ClaimsDaemon,
  ): boolean {
    if (this.mutation !== MutationName.DispatchBeforeReadBack || !sending)
      return false;
    return state.log.some(
      ({holder, sequence}) =>
        holder === sending.holder && sequence === sending.sequence,
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
    const fenced = this.mutation !== MutationName.NoSequence;
    return foldClaims(log, fenced, owner => this.isFree(state, owner));
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

function createDaemon(incarnation: string, from: number): ClaimsDaemon {
  return {
    incarnation,
    startOffset: from,
    nextOffset: from,
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
  pendingClaims: claims,
  pendingReleases: releases,
}: ClaimsDaemon): boolean {
  return claims.length + releases.length > 0;
}

// The daemons are alike, so the first try may as well begin at the first.
function mayBegin(state: ClaimsState, of: number): boolean {
  const next = nextAttempt(state);
  return next > 0 || (next === 0 && of === 0);
}

// What a daemon reads that waits for nothing and will be asked nothing changes nothing.
function mayRead(state: ClaimsState, daemon: ClaimsDaemon): boolean {
  if (daemon.nextOffset >= state.log.length) return false;
  if (nextAttempt(state) >= 0 || hasPendingItems(daemon)) return true;
  return state.attempts.some(
    ({stage, incarnation: at}) =>
      at === daemon.incarnation && stage === AttemptStage.Pending,
  );
}

function sendBatch(state: ClaimsState, of: number): ClaimsState {
  const {
    incarnation: holder,
    pendingClaims: claims,
    pendingReleases: releases,
    sequence,
  } = state.daemons[of];
  const batch = {holder, sequence: sequence + 1, claims, releases};
  const sent = withDaemon(state, of, {
    sequence: sequence + 1,
    appendInFlight: batch,
  });
  return {
    ...sent,
    appendsInFlight: inBatchOrder([...state.appendsInFlight, batch]),
  };
}

function loseResponse(state: ClaimsState, of: number): ClaimsState {
  const lost = withDaemon(state, of, {appendInFlight: null});
  return {...lost, lostResponsesLeft: state.lostResponsesLeft - 1};
}

function isSupersededBy(
  batch: ModelClaimBatch,
  landed: ModelClaimBatch,
): boolean {
  return batch.holder === landed.holder && batch.sequence <= landed.sequence;
}

function inBatchOrder(batches: readonly ModelClaimBatch[]): ModelClaimBatch[] {
  const rank = ({holder, sequence}: ModelClaimBatch) => `${holder}/${sequence}`;
  return [...batches].sort((left, right) =>
    rank(left) < rank(right) ? -1 : 1,
  );
}

function without(
  items: readonly number[],
  gone: readonly number[],
): readonly number[] {
  return items.filter(item => !gone.includes(item));
}

function withDaemon(
  state: ClaimsState,
  of: number,
  change: Partial<ClaimsDaemon>,
): ClaimsState {
  const daemons = mergeAt(state.daemons, of, change);
  return {...state, daemons};
}

function withAttempt(
  state: ClaimsState,
  index: number,
  change: Partial<Attempt>,
): ClaimsState {
  const attempts = mergeAt(state.attempts, index, change);
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

/** Claims within the given bounds. */
export function claimsSpecifications(
  bounds: ClaimsBounds,
): SpecificationFactory<ClaimsState, ClaimsEvent> {
  return {
    mutations: bounds.crashes > 0 ? CRASH_MUTATIONS : MUTATIONS,
    create: mutation => new ClaimsSpecification(bounds, mutation),
  };
}
