import {
  Stage,
  foldClaims,
  type Attempt,
  type Batch,
  type ClaimsDaemon,
  type ClaimsFold,
  type ClaimsState,
} from './claims-state.js';
import {
  Promised,
  type Invariant,
  type Mutation,
  type Specification,
  type Subject,
} from './specification.js';
import {changeAt} from './change-at.js';

/** What may happen to claims. */
export enum ClaimsEventType {
  /** The caller tries, at a daemon. */
  Begin = 'begin',
  /** A daemon sends what has gathered. */
  Send = 'send',
  /** An append takes effect. */
  Land = 'land',
  /** An append takes effect and a copy of it is still under way. */
  LandTwice = 'land_twice',
  /** The daemon hears that its append took effect; matters only to one mutation. */
  Answer = 'answer',
  /** The answer is lost, whether or not the append took effect. */
  LoseAnswer = 'lose_answer',
  /** The daemon reads the next batch. */
  Read = 'read',
  /** Bytes go to a target. */
  Dispatch = 'dispatch',
  /** The daemon turns a won try away before it runs: the queue is full. */
  Refuse = 'refuse',
  /** The daemon ends a wait for the log. */
  GiveUp = 'give_up',
  /** The daemon dies; its successor starts empty. */
  Crash = 'crash',
}

/** One thing that happens; `of` is a daemon, a try or an append in flight by its place. */
export interface ClaimsEvent {
  readonly type: ClaimsEventType;
  readonly of: number;
}

/** Safeguards that a mutation takes out. */
export enum ClaimsMutation {
  DispatchBeforeReadBack = 'dispatch-before-read-back',
  NoSequence = 'no-sequence',
  LateWinRuns = 'late-win-runs',
  ReadFromEnd = 'read-from-end',
  NotRunUnproven = 'not-run-unproven',
  ReleaseAfterDispatch = 'release-after-dispatch',
  FreeClaimsOfTheGone = 'free-claims-of-the-gone',
}

/** Bounds of one exploration. */
export interface ClaimsBounds {
  readonly attempts: number;
  readonly losses: number;
  readonly doubles: number;
  readonly crashes: number;
  readonly refusals: number;
}

const DAEMONS = ['a', 'b'];
const AT_MOST_ONCE = 'the key runs at most once';
const NOT_RUN_IS_TRUE =
  'a try told "not run" never runs, and none had run when it began';
const RELEASED_STAYS_FREE = 'a released claim does not take the key again';

const T = ClaimsEventType;
const M = ClaimsMutation;

/** Claims of one key over the log, by two daemons, under lost and doubled appends and crashes. */
class ClaimsSpecification implements Specification<ClaimsState, ClaimsEvent> {
  readonly name: string;
  readonly bounds: string;
  readonly initial: ClaimsState;
  readonly invariants: ReadonlyArray<Invariant<ClaimsState>> = [
    {
      promise: Promised.AtMostOnce,
      name: AT_MOST_ONCE,
      holds: state => state.attempts.filter(({ran}) => ran).length <= 1,
    },
    {
      promise: Promised.NotRunIsTrue,
      name: NOT_RUN_IS_TRUE,
      holds: state =>
        state.attempts.every(
          ({stage, ran, ranBefore}) =>
            stage !== Stage.ToldNotRun || (!ran && !ranBefore),
        ),
    },
    {
      promise: Promised.AtMostOnce,
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
    const {attempts, losses, doubles, crashes, refusals} = bounds;
    this.name = `claims (${attempts} tries, ${losses} lost, ${doubles} doubled, ${crashes} crashes, ${refusals} refused)`;
    this.bounds = `one key, 2 daemons, ${attempts} tries, ${losses} lost answers, ${doubles} doubled appends, ${crashes} crashes, ${refusals} refusals after a won claim`;
    this.initial = {
      log: [],
      flight: [],
      daemons: DAEMONS.map(name => newDaemon(`${name}1`, 0)),
      attempts: Array.from({length: attempts}, () => NOT_BEGUN),
      losses,
      doubles,
      crashes,
      refusals,
    };
  }

  describe({type, of}: ClaimsEvent): string {
    switch (type) {
      case T.Land:
      case T.LandTwice:
        return `${type} append ${of}`;
      case T.Dispatch:
      case T.Refuse:
      case T.GiveUp:
        return `${type} try ${of}`;
      default:
        return `${type} at daemon ${DAEMONS[of]}`;
    }
  }

  events(state: ClaimsState): ClaimsEvent[] {
    const events: ClaimsEvent[] = [];
    const add = (type: ClaimsEventType, of: number, when: boolean) => {
      if (when) events.push({type, of});
    };
    state.daemons.forEach((daemon, of) => {
      add(T.Begin, of, mayBegin(state, of));
      add(T.Send, of, !daemon.sending && hasGathered(daemon));
      add(T.Answer, of, this.mayAnswer(state, daemon));
      add(T.LoseAnswer, of, state.losses > 0 && daemon.sending !== null);
      add(T.Read, of, mayRead(state, daemon));
      add(T.Crash, of, state.crashes > 0);
    });
    state.flight.forEach((_, of) => {
      add(T.Land, of, true);
      add(T.LandTwice, of, this.mutation === M.NoSequence && state.doubles > 0);
    });
    state.attempts.forEach(({stage}, of) => {
      add(T.Dispatch, of, stage === Stage.Won);
      add(T.Refuse, of, state.refusals > 0 && this.mayRefuse(stage));
      add(T.GiveUp, of, stage === Stage.Pending);
    });
    return events;
  }

  step(state: ClaimsState, {type, of}: ClaimsEvent): ClaimsState {
    switch (type) {
      case T.Begin:
        return this.begin(state, of);
      case T.Send:
        return send(state, of);
      case T.Land:
        return this.land(state, of, false);
      case T.LandTwice:
        return this.land(state, of, true);
      case T.Answer:
        return this.answer(state, of);
      case T.LoseAnswer:
        return loseAnswer(state, of);
      case T.Read:
        return this.read(state, of);
      case T.Dispatch:
        return withAttempt(state, of, {stage: Stage.Ran, ran: true});
      case T.Refuse:
        return this.refuse(state, of);
      case T.GiveUp:
        return this.giveUp(state, of);
      case T.Crash:
        return this.crash(state, of);
    }
  }

  private begin(state: ClaimsState, of: number): ClaimsState {
    const index = nextAttempt(state);
    const daemon = state.daemons[of];
    const ranBefore = state.attempts.some(({ran}) => ran);
    const at = daemon.incarnation;
    const {owner} = this.known(state, daemon);
    if (owner !== undefined && !this.isFree(state, owner))
      return withAttempt(state, index, {
        stage: Stage.ToldUnknown,
        at,
        ranBefore,
      });
    const begun = withAttempt(state, index, {
      stage: Stage.Pending,
      at,
      ranBefore,
    });
    return withDaemon(begun, of, {claims: [...daemon.claims, index]});
  }

  // The fold drops what stands behind its successor, wherever it lands: such an append is
  // taken out at once, which changes no fold and keeps the number of states small.
  private land(state: ClaimsState, of: number, twice: boolean): ClaimsState {
    const batch = state.flight[of];
    const fenced = this.mutation !== M.NoSequence;
    const flight = state.flight.filter(
      (other, place) =>
        (twice && place === of && !fenced) ||
        (place !== of && !(fenced && isBehind(other, batch))),
    );
    const doubles = state.doubles - (twice ? 1 : 0);
    return {...state, log: [...state.log, batch], flight, doubles};
  }

  private answer(state: ClaimsState, of: number): ClaimsState {
    const {sending} = state.daemons[of];
    return sending!.claims.reduce(
      (next, index) =>
        next.attempts[index].stage === Stage.Pending
          ? withAttempt(next, index, {stage: Stage.Won})
          : next,
      state,
    );
  }

  private read(state: ClaimsState, of: number): ClaimsState {
    const daemon = state.daemons[of];
    const batch = state.log[daemon.read];
    const fold = this.fold(
      state,
      state.log.slice(daemon.from, daemon.read + 1),
    );
    let next = withDaemon(state, of, {read: daemon.read + 1});
    if (batch.holder !== daemon.incarnation || !fold.counted.at(-1))
      return next;
    const {sending} = daemon;
    next = withDaemon(next, of, {
      sending: sending?.sequence === batch.sequence ? null : sending,
      claims: without(daemon.claims, batch.claims),
      releases: without(daemon.releases, batch.releases),
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
    if (stage === Stage.Pending) {
      const settled = isOwner ? Stage.Won : Stage.ToldUnknown;
      return withAttempt(state, index, {stage: settled});
    }
    const gaveUp = stage === Stage.ToldNotRun || stage === Stage.ToldUnknown;
    if (!gaveUp || !isOwner) return state;
    if (this.mutation === M.LateWinRuns)
      return withAttempt(state, index, {ran: true});
    const releases = [...state.daemons[of].releases, index];
    return withDaemon(state, of, {releases});
  }

  private refuse(state: ClaimsState, index: number): ClaimsState {
    const attempt = state.attempts[index];
    const of = daemonOf(state, attempt);
    const {releases} = state.daemons[of];
    const stage = attempt.ran ? Stage.ToldUnknown : Stage.ToldNotRun;
    const told = withAttempt(state, index, {stage});
    const counted = {...told, refusals: state.refusals - 1};
    return withDaemon(counted, of, {releases: [...releases, index]});
  }

  // "Not run" needs the log's word that nothing stands there that this daemon has not read:
  // an earlier try may have run elsewhere.
  private giveUp(state: ClaimsState, index: number): ClaimsState {
    const daemon = state.daemons[daemonOf(state, state.attempts[index])];
    const proven =
      daemon.read === state.log.length &&
      this.known(state, daemon).owner === undefined;
    const mayTell = proven || this.mutation === M.NotRunUnproven;
    const stage = mayTell ? Stage.ToldNotRun : Stage.ToldUnknown;
    return withAttempt(state, index, {stage});
  }

  private crash(state: ClaimsState, of: number): ClaimsState {
    const {incarnation} = state.daemons[of];
    const from = this.mutation === M.ReadFromEnd ? state.log.length : 0;
    const successor = `${incarnation[0]}${Number(incarnation.slice(1)) + 1}`;
    const attempts = state.attempts.map(attempt =>
      attempt.at === incarnation && LIVE.has(attempt.stage)
        ? {...attempt, stage: Stage.Gone}
        : attempt,
    );
    const crashed = {...state, attempts, crashes: state.crashes - 1};
    return withDaemon(crashed, of, newDaemon(successor, from));
  }

  private mayAnswer(state: ClaimsState, {sending}: ClaimsDaemon): boolean {
    if (this.mutation !== M.DispatchBeforeReadBack || !sending) return false;
    return state.log.some(
      ({holder, sequence}) =>
        holder === sending.holder && sequence === sending.sequence,
    );
  }

  private mayRefuse(stage: Stage): boolean {
    if (stage === Stage.Won) return true;
    return this.mutation === M.ReleaseAfterDispatch && stage === Stage.Ran;
  }

  private known(state: ClaimsState, daemon: ClaimsDaemon): ClaimsFold {
    return this.fold(state, state.log.slice(daemon.from, daemon.read));
  }

  private fold(state: ClaimsState, log: readonly Batch[]): ClaimsFold {
    const fenced = this.mutation !== M.NoSequence;
    return foldClaims(log, fenced, owner => this.isFree(state, owner));
  }

  private isFree(state: ClaimsState, owner: number): boolean {
    if (this.mutation !== M.FreeClaimsOfTheGone) return false;
    return daemonOf(state, state.attempts[owner]) < 0;
  }
}

const NOT_BEGUN: Attempt = {
  stage: Stage.NotBegun,
  at: '',
  ran: false,
  ranBefore: false,
};

const LIVE: ReadonlySet<Stage> = new Set([Stage.Pending, Stage.Won, Stage.Ran]);

function newDaemon(incarnation: string, from: number): ClaimsDaemon {
  return {
    incarnation,
    from,
    read: from,
    sequence: 0,
    sending: null,
    claims: [],
    releases: [],
  };
}

function nextAttempt(state: ClaimsState): number {
  return state.attempts.findIndex(({stage}) => stage === Stage.NotBegun);
}

function daemonOf(state: ClaimsState, attempt: Attempt): number {
  return state.daemons.findIndex(({incarnation}) => incarnation === attempt.at);
}

function hasGathered({claims, releases}: ClaimsDaemon): boolean {
  return claims.length + releases.length > 0;
}

// The daemons are alike, so the first try may as well begin at the first.
function mayBegin(state: ClaimsState, of: number): boolean {
  const next = nextAttempt(state);
  return next > 0 || (next === 0 && of === 0);
}

// What a daemon reads that waits for nothing and will be asked nothing changes nothing.
function mayRead(state: ClaimsState, daemon: ClaimsDaemon): boolean {
  if (daemon.read >= state.log.length) return false;
  if (nextAttempt(state) >= 0 || hasGathered(daemon)) return true;
  return state.attempts.some(
    ({stage, at}) => at === daemon.incarnation && stage === Stage.Pending,
  );
}

function send(state: ClaimsState, of: number): ClaimsState {
  const {incarnation: holder, claims, releases, sequence} = state.daemons[of];
  const batch = {holder, sequence: sequence + 1, claims, releases};
  const sent = withDaemon(state, of, {
    sequence: sequence + 1,
    sending: batch,
  });
  return {...sent, flight: sorted([...state.flight, batch])};
}

function loseAnswer(state: ClaimsState, of: number): ClaimsState {
  const lost = withDaemon(state, of, {sending: null});
  return {...lost, losses: state.losses - 1};
}

function isBehind(batch: Batch, landed: Batch): boolean {
  return batch.holder === landed.holder && batch.sequence <= landed.sequence;
}

function sorted(batches: readonly Batch[]): Batch[] {
  const rank = ({holder, sequence}: Batch) => `${holder}/${sequence}`;
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
  const daemons = changeAt(state.daemons, of, change);
  return {...state, daemons};
}

function withAttempt(
  state: ClaimsState,
  index: number,
  change: Partial<Attempt>,
): ClaimsState {
  const attempts = changeAt(state.attempts, index, change);
  return {...state, attempts};
}

const MUTATIONS: readonly Mutation[] = [
  {
    name: M.DispatchBeforeReadBack,
    without: 'waiting to read a claim back',
    breaks: AT_MOST_ONCE,
  },
  {
    name: M.NoSequence,
    without: 'the sequence that drops late and doubled batches',
    breaks: RELEASED_STAYS_FREE,
  },
  {
    name: M.LateWinRuns,
    without: 'the release of a claim that is won after the caller was told',
    breaks: NOT_RUN_IS_TRUE,
  },
  {
    name: M.NotRunUnproven,
    without: 'reading to the end before "not run" is said',
    breaks: NOT_RUN_IS_TRUE,
  },
  {
    name: M.ReleaseAfterDispatch,
    without: 'the rule that only an unsent request releases its claim',
    breaks: AT_MOST_ONCE,
  },
];

const CRASH_MUTATIONS: readonly Mutation[] = [
  {
    name: M.ReadFromEnd,
    without: 'reading the stream from its oldest batch after a start',
    breaks: AT_MOST_ONCE,
  },
  {
    name: M.FreeClaimsOfTheGone,
    without: 'keeping the claims of a daemon that died',
    breaks: AT_MOST_ONCE,
  },
];

/** Claims within the given bounds. */
export function claimsWithin(
  bounds: ClaimsBounds,
): Subject<ClaimsState, ClaimsEvent> {
  return {
    mutations: bounds.crashes > 0 ? CRASH_MUTATIONS : MUTATIONS,
    make: mutation => new ClaimsSpecification(bounds, mutation),
  };
}
