import {inCanonicalOrder} from './canonical-order.js';
import {updateCoordinator, markFenced} from './coordinator-worker-state.js';
import {
  Guarantee,
  type Invariant,
  type Mutation,
  type Specification,
  type SpecificationFactory,
} from './specification.js';

/** State of the task's last run, as a coordinator assumes it. */
export enum CrashAssumedRunState {
  None = 'none',
  /** In the log; the order is not sent yet. */
  Stored = 'stored',
  /** The order is sent; its outcome is unknown. */
  Sent = 'sent',
  /** Read from the log of an earlier coordinator. */
  Recovered = 'recovered',
}

/** A coordinator of one term. */
export interface CrashCoordinator {
  readonly term: number;
  readonly assumedRunState: CrashAssumedRunState;
  readonly run: number;
  /** Known crashes of workers that ran the task. */
  readonly crashes: number;
  /** It has seen a later term. */
  readonly fenced: boolean;
}

/** State of the task according to the log. */
export interface CrashRecord {
  readonly run: number;
  /** The run may be active. */
  readonly isOpen: boolean;
  readonly crashes: number;
}

/** The complete state: one task that crashes every worker that starts it. */
export interface CrashState {
  readonly term: number;
  readonly stored: CrashRecord;
  readonly coordinators: readonly CrashCoordinator[];
  /** Runs whose orders are in flight and may arrive at any time. */
  readonly orders: readonly number[];
  /** Runs that their workers refuse, because a stop or a higher token arrived first. */
  readonly refusedRuns: readonly number[];
  /** Runs during which the worker crashed. */
  readonly crashedRuns: readonly number[];
  readonly startsAfterThirdCrash: number;
}

/** Events of the coordinators and the orders. */
export enum CrashEventType {
  /** A coordinator stores a run with the number of crashes that it knows of. */
  StoreRun = 'store',
  SendOrder = 'send',
  /** An order arrives: the task starts and its worker crashes. */
  DeliverOrder = 'arrive',
  /** A coordinator learns that the worker of its run has crashed. */
  LearnCrash = 'learn crash',
  /** A worker answers a stop: the run never started and never will. */
  LearnNeverStarted = 'learn never',
  /** A coordinator stores the number of crashes without a new run. */
  StoreCrashCount = 'keep',
  TakeOver = 'take over',
}

/** One event. */
export interface CrashEvent {
  readonly type: CrashEventType;
  /** Index of a coordinator, or the run of an order; -1 for neither. */
  readonly coordinatorOrRun: number;
}

/** Mutations, each of which removes one safeguard. */
export enum CrashMutation {
  CountNotStored = 'count-not-stored',
  RecoveredNotCounted = 'recovered-not-counted',
  NoCrashLimit = 'never-given-up',
}

const MAXIMUM_RUN = 7;
const MAXIMUM_TERM = 2;
/** Number of crashes after which starts are limited, and the starts that may follow. */
const CRASHES_BEFORE_START_LIMIT = 3;
const MAXIMUM_FURTHER_STARTS = 2;
/** Number of crashes of any kind after which the task is abandoned. */
const MAXIMUM_CRASHES = 5;
const BOUNDED_STARTS =
  'a task that crashes its workers starts twice at most after three crashes';
const EventType = CrashEventType;
const MutationName = CrashMutation;
const AssumedRunState = CrashAssumedRunState;

/**
 * Bounds how often a task that crashes its workers is started, with late orders and changes of
 * coordinator.
 */
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
      holds: ({startsAfterThirdCrash}) =>
        startsAfterThirdCrash <= MAXIMUM_FURTHER_STARTS,
    },
  ];

  constructor(private readonly mutation: string | undefined) {}

  describe({type, coordinatorOrRun}: CrashEvent): string {
    return `${type} (${coordinatorOrRun})`;
  }

  enabledEvents(state: CrashState): CrashEvent[] {
    const events: CrashEvent[] = [];
    state.coordinators.forEach((coordinator, coordinatorIndex) => {
      if (coordinator.fenced) return;
      for (const type of this.coordinatorEvents(state, coordinator))
        events.push({type, coordinatorOrRun: coordinatorIndex});
    });
    for (const run of state.orders)
      events.push({type: EventType.DeliverOrder, coordinatorOrRun: run});
    if (state.term < MAXIMUM_TERM)
      events.push({type: EventType.TakeOver, coordinatorOrRun: -1});
    return events;
  }

  step(state: CrashState, {type, coordinatorOrRun}: CrashEvent): CrashState {
    switch (type) {
      case EventType.StoreRun:
        return this.store(state, coordinatorOrRun);
      case EventType.SendOrder:
        return sendOrder(state, coordinatorOrRun);
      case EventType.DeliverOrder:
        return deliverOrder(state, coordinatorOrRun);
      case EventType.LearnCrash:
        return this.learnCrash(state, coordinatorOrRun);
      case EventType.LearnNeverStarted:
        return learnNeverStarted(state, coordinatorOrRun);
      case EventType.StoreCrashCount:
        return this.storeRecord(state, coordinatorOrRun, false);
      case EventType.TakeOver:
        return this.takeOver(state);
    }
  }

  private coordinatorEvents(
    state: CrashState,
    {assumedRunState, run, crashes}: CrashCoordinator,
  ): CrashEventType[] {
    if (assumedRunState === AssumedRunState.Stored)
      return [EventType.SendOrder];
    if (assumedRunState === AssumedRunState.None) {
      const isAbandoned =
        this.mutation !== MutationName.NoCrashLimit &&
        crashes >= MAXIMUM_CRASHES;
      if (isAbandoned || run >= MAXIMUM_RUN) return [];
      return crashes > state.stored.crashes
        ? [EventType.StoreRun, EventType.StoreCrashCount]
        : [EventType.StoreRun];
    }
    return state.crashedRuns.includes(run)
      ? [EventType.LearnCrash]
      : [EventType.LearnNeverStarted];
  }

  private store(state: CrashState, coordinatorIndex: number): CrashState {
    const planned = updateCoordinator(state, coordinatorIndex, previous => ({
      ...previous,
      assumedRunState: AssumedRunState.Stored,
      run: previous.run + 1,
    }));
    return this.storeRecord(planned, coordinatorIndex, true);
  }

  /** Stores the task's state; the log rejects a coordinator of an earlier term. */
  private storeRecord(
    state: CrashState,
    coordinatorIndex: number,
    isOpen: boolean,
  ): CrashState {
    const {term, run, crashes} = state.coordinators[coordinatorIndex];
    if (term < state.term)
      return updateCoordinator(state, coordinatorIndex, markFenced);
    const storedCrashes =
      this.mutation === MutationName.CountNotStored ? 0 : crashes;
    return {...state, stored: {run, isOpen, crashes: storedCrashes}};
  }

  private learnCrash(state: CrashState, coordinatorIndex: number): CrashState {
    const ignoresRecovered = this.mutation === MutationName.RecoveredNotCounted;
    return updateCoordinator(state, coordinatorIndex, previous => ({
      ...previous,
      assumedRunState: AssumedRunState.None,
      crashes:
        ignoresRecovered &&
        previous.assumedRunState === AssumedRunState.Recovered
          ? previous.crashes
          : previous.crashes + 1,
    }));
  }

  private takeOver(state: CrashState): CrashState {
    const {run, isOpen, crashes} = state.stored;
    const term = state.term + 1;
    const assumedRunState = isOpen
      ? AssumedRunState.Recovered
      : AssumedRunState.None;
    const next = createCoordinator(term, assumedRunState, run, crashes);
    return {...state, term, coordinators: [...state.coordinators, next]};
  }
}

function createCoordinator(
  term: number,
  assumedRunState: CrashAssumedRunState,
  run: number,
  crashes: number,
): CrashCoordinator {
  return {term, assumedRunState, run, crashes, fenced: false};
}

function sendOrder(state: CrashState, coordinatorIndex: number): CrashState {
  const {run} = state.coordinators[coordinatorIndex];
  const sent = updateCoordinator(state, coordinatorIndex, previous => ({
    ...previous,
    assumedRunState: AssumedRunState.Sent,
  }));
  // The order has no effect if its worker has already crashed or refuses the run.
  const hasNoEffect =
    state.crashedRuns.includes(run) || state.refusedRuns.includes(run);
  return hasNoEffect
    ? sent
    : {...sent, orders: sortedSet([...state.orders, run])};
}

function deliverOrder(state: CrashState, run: number): CrashState {
  const isAfterThirdCrash =
    state.crashedRuns.length >= CRASHES_BEFORE_START_LIMIT;
  return {
    ...state,
    orders: without(state.orders, run),
    crashedRuns: sortedSet([...state.crashedRuns, run]),
    startsAfterThirdCrash:
      state.startsAfterThirdCrash + (isAfterThirdCrash ? 1 : 0),
  };
}

/** Makes the worker refuse the stopped run, so that an order in flight has no effect any more. */
function learnNeverStarted(
  state: CrashState,
  coordinatorIndex: number,
): CrashState {
  const {run} = state.coordinators[coordinatorIndex];
  const updated = updateCoordinator(state, coordinatorIndex, previous => ({
    ...previous,
    assumedRunState: AssumedRunState.None,
  }));
  return {
    ...updated,
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

/** Specification of how often a task that crashes its workers is started. */
export const CRASH_SPECIFICATIONS: SpecificationFactory<
  CrashState,
  CrashEvent
> = {
  mutations: MUTATIONS,
  create: mutation => new CrashSpecification(mutation),
};
