import {sortedBag} from './bag.js';
import {changeCoordinator, fence} from './order-state.js';
import {
  Promised,
  type Invariant,
  type Mutation,
  type Specification,
  type Subject,
} from './specification.js';

/** What a coordinator believes of the task's last run. */
export enum CrashBelief {
  None = 'none',
  /** In the log, the order not sent yet. */
  Stored = 'stored',
  /** Sent, its fate not known. */
  Sent = 'sent',
  /** Read from the log of an earlier coordinator. */
  Recovered = 'recovered',
}

/** A coordinator of one term. */
export interface CrashCoordinator {
  readonly term: number;
  readonly belief: CrashBelief;
  readonly run: number;
  /** Crashes under the task that it knows of. */
  readonly crashes: number;
  /** A later term was seen. */
  readonly fenced: boolean;
}

/** What the log says of the task. */
export interface CrashRecord {
  readonly run: number;
  /** The run may be alive. */
  readonly isOpen: boolean;
  readonly crashes: number;
}

/** The whole state: one task that crashes each worker that starts it. */
export interface CrashState {
  readonly term: number;
  readonly stored: CrashRecord;
  readonly coordinators: readonly CrashCoordinator[];
  /** Runs whose orders may arrive at any time. */
  readonly orders: readonly number[];
  /** Runs that their workers refuse: a stop or a higher token came first. */
  readonly barred: readonly number[];
  /** Runs under which a worker has crashed. */
  readonly crashed: readonly number[];
  readonly startsAfterThird: number;
}

/** What may happen. */
export enum CrashEventType {
  /** A coordinator stores a run, with what it knows of crashes. */
  Store = 'store',
  Send = 'send',
  /** An order arrives: the task starts and its worker crashes. */
  Arrive = 'arrive',
  /** A coordinator learns that the worker of its run has ended. */
  LearnCrash = 'learn crash',
  /** A stop is answered: the run never was, and never will be. */
  LearnNever = 'learn never',
  /** A coordinator stores what it has learned. */
  Keep = 'keep',
  TakeOver = 'take over',
}

/** One thing that happens; `of`: a coordinator, or the run of an order. */
export interface CrashEvent {
  readonly type: CrashEventType;
  readonly of: number;
}

/** Safeguards that a mutation takes out. */
export enum CrashMutation {
  CountNotStored = 'count-not-stored',
  RecoveredNotCounted = 'recovered-not-counted',
  NeverGivenUp = 'never-given-up',
}

const MAXIMUM_RUN = 7;
const MAXIMUM_TERM = 2;
/** Crashes that the rule counts, and the starts that may follow them. */
const CRASHES_COUNTED = 3;
const MOST_STARTS_AFTER = 2;
/** Crashes of any kind after which the task is given up. */
const MOST_CRASHES = 5;
const BOUNDED =
  'a task that crashes its workers starts twice at most after three crashes';
const T = CrashEventType;
const M = CrashMutation;
const B = CrashBelief;

/** How often a task starts that crashes its workers, over late orders and changes of coordinator. */
class CrashSpecification implements Specification<CrashState, CrashEvent> {
  readonly name = 'crash (2 terms, 7 runs)';
  readonly bounds =
    '1 task, 2 terms, 7 runs; orders late in any order, coordinators replaced at any moment; the end of each worker is learned';
  readonly initial: CrashState = {
    term: 1,
    stored: {run: 0, isOpen: false, crashes: 0},
    coordinators: [coordinatorOf(1, B.None, 0, 0)],
    orders: [],
    barred: [],
    crashed: [],
    startsAfterThird: 0,
  };
  readonly invariants: ReadonlyArray<Invariant<CrashState>> = [
    {
      promise: Promised.BudgetHeld,
      name: BOUNDED,
      holds: ({startsAfterThird}) => startsAfterThird <= MOST_STARTS_AFTER,
    },
  ];

  constructor(private readonly mutation: string | undefined) {}

  describe({type, of}: CrashEvent): string {
    return `${type} (${of})`;
  }

  events(state: CrashState): CrashEvent[] {
    const events: CrashEvent[] = [];
    state.coordinators.forEach((coordinator, of) => {
      if (coordinator.fenced) return;
      for (const type of this.coordinatorEvents(state, coordinator))
        events.push({type, of});
    });
    for (const run of state.orders) events.push({type: T.Arrive, of: run});
    if (state.term < MAXIMUM_TERM) events.push({type: T.TakeOver, of: -1});
    return events;
  }

  step(state: CrashState, {type, of}: CrashEvent): CrashState {
    switch (type) {
      case T.Store:
        return this.store(state, of);
      case T.Send:
        return send(state, of);
      case T.Arrive:
        return arrive(state, of);
      case T.LearnCrash:
        return this.learnCrash(state, of);
      case T.LearnNever:
        return learnNever(state, of);
      case T.Keep:
        return this.keep(state, of, false);
      case T.TakeOver:
        return this.takeOver(state);
    }
  }

  private coordinatorEvents(
    state: CrashState,
    {belief, run, crashes}: CrashCoordinator,
  ): CrashEventType[] {
    if (belief === B.Stored) return [T.Send];
    if (belief === B.None) {
      const isGivenUp =
        this.mutation !== M.NeverGivenUp && crashes >= MOST_CRASHES;
      if (isGivenUp || run >= MAXIMUM_RUN) return [];
      return crashes > state.stored.crashes ? [T.Store, T.Keep] : [T.Store];
    }
    return state.crashed.includes(run) ? [T.LearnCrash] : [T.LearnNever];
  }

  private store(state: CrashState, of: number): CrashState {
    const planned = changeCoordinator(state, of, one => ({
      ...one,
      belief: B.Stored,
      run: one.run + 1,
    }));
    return this.keep(planned, of, true);
  }

  /** The log is closed to earlier terms. */
  private keep(state: CrashState, of: number, isOpen: boolean): CrashState {
    const {term, run, crashes} = state.coordinators[of];
    if (term < state.term) return changeCoordinator(state, of, fence);
    const kept = this.mutation === M.CountNotStored ? 0 : crashes;
    return {...state, stored: {run, isOpen, crashes: kept}};
  }

  private learnCrash(state: CrashState, of: number): CrashState {
    const isBlind = this.mutation === M.RecoveredNotCounted;
    return changeCoordinator(state, of, one => ({
      ...one,
      belief: B.None,
      crashes:
        isBlind && one.belief === B.Recovered ? one.crashes : one.crashes + 1,
    }));
  }

  private takeOver(state: CrashState): CrashState {
    const {run, isOpen, crashes} = state.stored;
    const term = state.term + 1;
    const belief = isOpen ? B.Recovered : B.None;
    const next = coordinatorOf(term, belief, run, crashes);
    return {...state, term, coordinators: [...state.coordinators, next]};
  }
}

function coordinatorOf(
  term: number,
  belief: CrashBelief,
  run: number,
  crashes: number,
): CrashCoordinator {
  return {term, belief, run, crashes, fenced: false};
}

function send(state: CrashState, of: number): CrashState {
  const {run} = state.coordinators[of];
  const sent = changeCoordinator(state, of, one => ({...one, belief: B.Sent}));
  // An order finds nobody where the worker has crashed, and is refused where the run is barred.
  const isVain = state.crashed.includes(run) || state.barred.includes(run);
  return isVain ? sent : {...sent, orders: sortedSet([...state.orders, run])};
}

function arrive(state: CrashState, run: number): CrashState {
  const counts = state.crashed.length >= CRASHES_COUNTED;
  return {
    ...state,
    orders: without(state.orders, run),
    crashed: sortedSet([...state.crashed, run]),
    startsAfterThird: state.startsAfterThird + (counts ? 1 : 0),
  };
}

/** The stop bars the run on its worker, so that its order does nothing any more. */
function learnNever(state: CrashState, of: number): CrashState {
  const {run} = state.coordinators[of];
  const barred = changeCoordinator(state, of, one => ({
    ...one,
    belief: B.None,
  }));
  return {
    ...barred,
    barred: sortedSet([...state.barred, run]),
    orders: without(state.orders, run),
  };
}

function sortedSet(runs: readonly number[]): number[] {
  return sortedBag([...new Set(runs)]);
}

function without(runs: readonly number[], run: number): number[] {
  return runs.filter(other => other !== run);
}

const MUTATIONS: readonly Mutation[] = [
  {
    name: M.CountNotStored,
    without: 'the count of crashes outlasts its coordinator',
    breaks: BOUNDED,
  },
  {
    name: M.RecoveredNotCounted,
    without: 'crashes under runs of an earlier coordinator count',
    breaks: BOUNDED,
  },
  {
    name: M.NeverGivenUp,
    without: 'a task is given up after so many crashes',
    breaks: BOUNDED,
  },
];

/** How often a task starts that crashes its workers. */
export const CRASHES: Subject<CrashState, CrashEvent> = {
  mutations: MUTATIONS,
  make: mutation => new CrashSpecification(mutation),
};
