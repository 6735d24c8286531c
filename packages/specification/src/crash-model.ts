import {inCanonicalOrder} from './canonical-order.js';
import {updateCoordinator, markFenced} from './coordinator-worker-state.js';
import {
  Guarantee,
  type Invariant,
  type Mutation,
  type Specification,
  type SpecificationFactory,
} from './specification.js';

/** What a coordinator believes of the task's last run. */
export enum CrashAssumedRunState {
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
  readonly assumedRunState: CrashAssumedRunState;
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
  readonly refusedRuns: readonly number[];
  /** Runs under which a worker has crashed. */
  readonly crashedRuns: readonly number[];
  readonly startsAfterThirdCrash: number;
}

/** What may happen. */
export enum CrashEventType {
  /** A coordinator stores a run, with what it knows of crashes. */
  StoreRun = 'store',
  SendOrder = 'send',
  /** An order arrives: the task starts and its worker crashes. */
  DeliverOrder = 'arrive',
  /** A coordinator learns that the worker of its run has ended. */
  LearnCrash = 'learn crash',
  /** A stop is answered: the run never was, and never will be. */
  LearnNeverStarted = 'learn never',
  /** A coordinator stores what it has learned. */
  StoreCrashCount = 'keep',
  TakeOver = 'take over',
}

/** One thing that happens; `of`: a coordinator, or the run of an order. */
export interface CrashEvent {
  readonly type: CrashEventType;
  readonly coordinatorOrRun: number;
}

/** Safeguards that a mutation takes out. */
export enum CrashMutation {
  CountNotStored = 'count-not-stored',
  RecoveredNotCounted = 'recovered-not-counted',
  NoCrashLimit = 'never-given-up',
}

const MAXIMUM_RUN = 7;
const MAXIMUM_TERM = 2;
/** Crashes that the rule counts, and the starts that may follow them. */
const CRASHES_BEFORE_START_LIMIT = 3;
const MAXIMUM_FURTHER_STARTS = 2;
/** Crashes of any kind after which the task is given up. */
const MAXIMUM_CRASHES = 5;
const BOUNDED_STARTS =
  'a task that crashes its workers starts twice at most after three crashes';
const EventType = CrashEventType;
const MutationName = CrashMutation;
const AssumedRunState = CrashAssumedRunState;

/** How often a task starts that crashes its workers, over late orders and changes of coordinator. */
class CrashSpecification implements Specification<CrashState, CrashEvent> {
  readonly name = 'crash (2 terms, 7 runs)';
  readonly bounds =
    '1 task, 2 terms, 7 runs; orders late in any order, coordinators replaced at any moment; the end of each worker is learned';
  readonly initialState: CrashState = {
    term: 1,
    stored: {run: 0, isOpen: false, crashes: 0},
    coordinators: [createCoordinator(1, AssumedRunState.None, 0, 0)],
    orders: [],
    refusedRuns: [],
    crashedRuns: [],
    startsAfterThirdCrash: 0,
  };
  readonly invariants: ReadonlyArray<Invariant<CrashState>> = [
    {
      guarantee: Guarantee.BudgetHeld,
      name: BOUNDED_STARTS,
      holds: ({startsAfterThirdCrash: startsAfterThird}) =>
        startsAfterThird <= MAXIMUM_FURTHER_STARTS,
    },
  ];

  constructor(private readonly mutation: string | undefined) {}

  describe({type, coordinatorOrRun: of}: CrashEvent): string {
    return `${type} (${of})`;
  }

  enabledEvents(state: CrashState): CrashEvent[] {
    const events: CrashEvent[] = [];
    state.coordinators.forEach((coordinator, of) => {
      if (coordinator.fenced) return;
      for (const type of this.coordinatorEvents(state, coordinator))
        events.push({type, coordinatorOrRun: of});
    });
    for (const run of state.orders)
      events.push({type: EventType.DeliverOrder, coordinatorOrRun: run});
    if (state.term < MAXIMUM_TERM)
      events.push({type: EventType.TakeOver, coordinatorOrRun: -1});
    return events;
  }

  step(
    state: CrashState,
    {type, coordinatorOrRun: of}: CrashEvent,
  ): CrashState {
    switch (type) {
      case EventType.StoreRun:
        return this.store(state, of);
      case EventType.SendOrder:
        return sendOrder(state, of);
      case EventType.DeliverOrder:
        return deliverOrder(state, of);
      case EventType.LearnCrash:
        return this.learnCrash(state, of);
      case EventType.LearnNeverStarted:
        return learnNeverStarted(state, of);
      case EventType.StoreCrashCount:
        return this.storeRecord(state, of, false);
      case EventType.TakeOver:
        return this.takeOver(state);
    }
  }

  private coordinatorEvents(
    state: CrashState,
    {assumedRunState: belief, run, crashes}: CrashCoordinator,
  ): CrashEventType[] {
    if (belief === AssumedRunState.Stored) return [EventType.SendOrder];
    if (belief === AssumedRunState.None) {
      const isGivenUp =
        this.mutation !== MutationName.NoCrashLimit &&
        crashes >= MAXIMUM_CRASHES;
      if (isGivenUp || run >= MAXIMUM_RUN) return [];
      return crashes > state.stored.crashes
        ? [EventType.StoreRun, EventType.StoreCrashCount]
        : [EventType.StoreRun];
    }
    return state.crashedRuns.includes(run)
      ? [EventType.LearnCrash]
      : [EventType.LearnNeverStarted];
  }

  private store(state: CrashState, of: number): CrashState {
    const planned = updateCoordinator(state, of, one => ({
      ...one,
      assumedRunState: AssumedRunState.Stored,
      run: one.run + 1,
    }));
    return this.storeRecord(planned, of, true);
  }

  /** The log is closed to earlier terms. */
  private storeRecord(
    state: CrashState,
    of: number,
    isOpen: boolean,
  ): CrashState {
    const {term, run, crashes} = state.coordinators[of];
    if (term < state.term) return updateCoordinator(state, of, markFenced);
    const kept = this.mutation === MutationName.CountNotStored ? 0 : crashes;
    return {...state, stored: {run, isOpen, crashes: kept}};
  }

  private learnCrash(state: CrashState, of: number): CrashState {
    const isBlind = this.mutation === MutationName.RecoveredNotCounted;
    return updateCoordinator(state, of, one => ({
      ...one,
      assumedRunState: AssumedRunState.None,
      crashes:
        isBlind && one.assumedRunState === AssumedRunState.Recovered
          ? one.crashes
          : one.crashes + 1,
    }));
  }

  private takeOver(state: CrashState): CrashState {
    const {run, isOpen, crashes} = state.stored;
    const term = state.term + 1;
    const belief = isOpen ? AssumedRunState.Recovered : AssumedRunState.None;
    const next = createCoordinator(term, belief, run, crashes);
    return {...state, term, coordinators: [...state.coordinators, next]};
  }
}

function createCoordinator(
  term: number,
  belief: CrashAssumedRunState,
  run: number,
  crashes: number,
): CrashCoordinator {
  return {term, assumedRunState: belief, run, crashes, fenced: false};
}

function sendOrder(state: CrashState, of: number): CrashState {
  const {run} = state.coordinators[of];
  const sent = updateCoordinator(state, of, one => ({
    ...one,
    assumedRunState: AssumedRunState.Sent,
  }));
  // An order finds nobody where the worker has crashed, and is refused where the run is barred.
  const isVain =
    state.crashedRuns.includes(run) || state.refusedRuns.includes(run);
  return isVain ? sent : {...sent, orders: sortedSet([...state.orders, run])};
}

function deliverOrder(state: CrashState, run: number): CrashState {
  const counts = state.crashedRuns.length >= CRASHES_BEFORE_START_LIMIT;
  return {
    ...state,
    orders: without(state.orders, run),
    crashedRuns: sortedSet([...state.crashedRuns, run]),
    startsAfterThirdCrash: state.startsAfterThirdCrash + (counts ? 1 : 0),
  };
}

/** The stop bars the run on its worker, so that its order does nothing any more. */
function learnNeverStarted(state: CrashState, of: number): CrashState {
  const {run} = state.coordinators[of];
  const barred = updateCoordinator(state, of, one => ({
    ...one,
    assumedRunState: AssumedRunState.None,
  }));
  return {
    ...barred,
    refusedRuns: sortedSet([...state.refusedRuns, run]),
    orders: without(state.orders, run),
  };
}

function sortedSet(runs: readonly number[]): number[] {
  return inCanonicalOrder([...new Set(runs)]);
}

function without(runs: readonly number[], run: number): number[] {
  return runs.filter(other => other !== run);
}

const MUTATIONS: readonly Mutation[] = [
  {
    name: MutationName.CountNotStored,
    removedSafeguard: 'the count of crashes outlasts its coordinator',
    brokenInvariant: BOUNDED_STARTS,
  },
  {
    name: MutationName.RecoveredNotCounted,
    removedSafeguard: 'crashes under runs of an earlier coordinator count',
    brokenInvariant: BOUNDED_STARTS,
  },
  {
    name: MutationName.NoCrashLimit,
    removedSafeguard: 'a task is given up after so many crashes',
    brokenInvariant: BOUNDED_STARTS,
  },
];

/** How often a task starts that crashes its workers. */
export const CRASH_SPECIFICATIONS: SpecificationFactory<
  CrashState,
  CrashEvent
> = {
  mutations: MUTATIONS,
  create: mutation => new CrashSpecification(mutation),
};
