import {inCanonicalOrder} from './canonical-order.js';
import {replaceAt} from './array-updates.js';
import {
  updateCoordinator,
  updateWorker,
  markFenced,
  withoutOrder,
} from './coordinator-worker-state.js';
import {
  Guarantee,
  type Invariant,
  type Mutation,
  type Specification,
  type SpecificationFactory,
} from './specification.js';

/** State of the last run of a task, as a coordinator assumes it. */
export enum LimitAssumedRunState {
  /** No run is active. */
  None = 'none',
  /** In the log; the order is not sent yet. */
  Stored = 'stored',
  /** The order is sent, and the run has not been seen yet. */
  Sent = 'sent',
  /** Seen active at its worker. */
  SeenAlive = 'seen',
  /** Read from the log of an earlier coordinator. */
  Recovered = 'recovered',
  /** The stop is requested; the run ends some time later. */
  Stopping = 'stopping',
}

/** A coordinator of one term, with the state that it assumes for each task. */
export interface LimitCoordinator {
  readonly term: number;
  readonly fenced: boolean;
  readonly assumedRunStates: readonly LimitAssumedRunState[];
  /** Number of the last run of each task. */
  readonly lastRuns: readonly number[];
}

/** The worker of one task. */
export interface LimitWorker {
  readonly token: number;
  /** This run and earlier ones are refused. */
  readonly refusedUpToRun: number;
  /** The active run; 0 for none. */
  readonly activeRun: number;
  readonly isStopping: boolean;
  readonly isPartitioned: boolean;
}

/** An order to start a run, which may arrive at any time. */
export interface LimitOrder {
  readonly term: number;
  readonly task: number;
  readonly run: number;
  /** The lease that it carries has expired. */
  readonly isLeaseExpired: boolean;
}

/**
 * The complete state: two tasks of one organisation, each with its own worker. The limit of
 * the organisation is one task.
 */
export interface LimitState {
  readonly storedRuns: readonly number[];
  readonly term: number;
  readonly coordinators: readonly LimitCoordinator[];
  readonly workers: readonly LimitWorker[];
  readonly orders: readonly LimitOrder[];
  readonly partitionsLeft: number;
}

/** Events of the coordinators, the orders and the workers. */
export enum LimitEventType {
  StoreRun = 'store',
  SendOrder = 'send',
  DeliverOrder = 'arrive',
  LoseOrder = 'lose',
  PollWorker = 'look',
  RequestStop = 'ask stop',
  CompleteStop = 'stop ends',
  Finish = 'finish',
  TakeOver = 'take over',
  Partition = 'cut',
  HealPartition = 'heal',
  ExpireLease = 'lapse',
  LearnLeaseExpiry = 'lease over',
}

/** One event; `task` is -1 where the event has none. */
export interface LimitEvent {
  readonly type: LimitEventType;
  /** Index of a coordinator or of an order; -1 for neither. */
  readonly coordinatorOrOrder: number;
  readonly task: number;
}

/** Mutations, each of which removes one safeguard. */
export enum LimitMutation {
  UnansweredNotCounted = 'unanswered-is-free',
  RecoveredNotCounted = 'successor-counts-nothing',
  StoppingNotCounted = 'stop-is-end',
  NoLeaseWait = 'silence-is-death',
  SendBeforeStore = 'send-before-store',
  NoFence = 'no-fence',
}

const TASKS = [0, 1];
const ORGANISATION_LIMIT = 1;
const MAXIMUM_RUN = 1;
const MAXIMUM_TERM = 2;
const WITHIN_LIMIT =
  'never more tasks of the organisation alive than its limit';
const EventType = LimitEventType;
const MutationName = LimitMutation;
const AssumedRunState = LimitAssumedRunState;

/**
 * Decides when the organisation's limit lets a task start, with late orders, stops, partitions
 * and a change of coordinator.
 */
class LimitSpecification implements Specification<LimitState, LimitEvent> {
  readonly name = 'limit (2 tasks, limit 1, 2 terms, 1 run each)';
  readonly bounds =
    '2 tasks, 2 workers, limit of 1 task, 2 terms, 1 run each, 1 cut; orders late or lost in any order';
  readonly initialState: LimitState = {
    storedRuns: TASKS.map(() => 0),
    term: 1,
    coordinators: [
      {
        term: 1,
        fenced: false,
        assumedRunStates: TASKS.map(() => AssumedRunState.None),
        lastRuns: TASKS.map(() => 0),
      },
    ],
    workers: TASKS.map(() => ({
      token: 0,
      refusedUpToRun: 0,
      activeRun: 0,
      isStopping: false,
      isPartitioned: false,
    })),
    orders: [],
    partitionsLeft: 1,
  };
  readonly invariants: ReadonlyArray<Invariant<LimitState>> = [
    {
      guarantee: Guarantee.BudgetHeld,
      name: WITHIN_LIMIT,
      holds: ({workers}) =>
        workers.filter(({activeRun}) => activeRun > 0).length <=
        ORGANISATION_LIMIT,
    },
  ];

  constructor(private readonly mutation: string | undefined) {}

  describe({type, coordinatorOrOrder, task}: LimitEvent): string {
    return `${type} (${coordinatorOrOrder})${task >= 0 ? ` task ${task}` : ''}`;
  }

  enabledEvents(state: LimitState): LimitEvent[] {
    const events: LimitEvent[] = [];
    const add = (
      type: LimitEventType,
      coordinatorOrOrder: number,
      task: number,
    ) => events.push({type, coordinatorOrOrder, task});
    state.coordinators.forEach((coordinator, coordinatorOrOrder) => {
      if (coordinator.fenced) return;
      for (const task of TASKS)
        for (const type of this.coordinatorEvents(state, coordinator, task))
          add(type, coordinatorOrOrder, task);
    });
    state.orders.forEach(({task}, coordinatorOrOrder) => {
      if (!state.workers[task].isPartitioned)
        add(EventType.DeliverOrder, coordinatorOrOrder, task);
      add(EventType.LoseOrder, coordinatorOrOrder, task);
    });
    state.workers.forEach((worker, task) => {
      if (worker.activeRun > 0) add(EventType.Finish, -1, task);
      if (worker.activeRun > 0 && worker.isStopping)
        add(EventType.CompleteStop, -1, task);
      if (!worker.isPartitioned && state.partitionsLeft > 0)
        add(EventType.Partition, -1, task);
      if (!worker.isPartitioned) return;
      add(EventType.HealPartition, -1, task);
      add(EventType.ExpireLease, -1, task);
    });
    if (state.term < MAXIMUM_TERM) add(EventType.TakeOver, -1, -1);
    return events;
  }

  step(state: LimitState, event: LimitEvent): LimitState {
    const {coordinatorOrOrder, task} = event;
    switch (event.type) {
      case EventType.StoreRun:
        return this.store(state, coordinatorOrOrder, task);
      case EventType.SendOrder:
        return sendOrder(state, coordinatorOrOrder, task);
      case EventType.DeliverOrder:
        return this.deliverOrder(state, coordinatorOrOrder);
      case EventType.LoseOrder:
        return withoutOrder(state, coordinatorOrOrder);
      case EventType.PollWorker:
        return pollWorker(state, coordinatorOrOrder, task);
      case EventType.RequestStop:
        return requestStop(state, coordinatorOrOrder, task);
      case EventType.CompleteStop:
      case EventType.Finish:
        return updateWorker(state, task, withoutActiveRun);
      case EventType.TakeOver:
        return takeOver(state);
      case EventType.Partition:
        return {
          ...updateWorker(state, task, previous => ({
            ...previous,
            isPartitioned: true,
          })),
          partitionsLeft: state.partitionsLeft - 1,
        };
      case EventType.HealPartition:
        return updateWorker(state, task, previous => ({
          ...previous,
          isPartitioned: false,
        }));
      case EventType.ExpireLease:
        return expireLease(state, task);
      case EventType.LearnLeaseExpiry:
        return withAssumedRunState(
          state,
          coordinatorOrOrder,
          task,
          AssumedRunState.None,
        );
    }
  }

  private coordinatorEvents(
    state: LimitState,
    coordinator: LimitCoordinator,
    task: number,
  ): LimitEventType[] {
    const assumedRunState = coordinator.assumedRunStates[task];
    if (assumedRunState === AssumedRunState.None)
      return this.mayStart(coordinator, task) ? [EventType.StoreRun] : [];
    if (assumedRunState === AssumedRunState.Stored)
      return [EventType.SendOrder];
    const events: LimitEventType[] = [];
    if (this.isLeaseExpired(state, task))
      events.push(EventType.LearnLeaseExpiry);
    if (state.workers[task].isPartitioned) return events;
    events.push(EventType.PollWorker);
    if (assumedRunState !== AssumedRunState.Stopping)
      events.push(EventType.RequestStop);
    return events;
  }

  /** Counts every run that may be active towards the limit, whatever is known about it. */
  private mayStart(
    {assumedRunStates, lastRuns}: LimitCoordinator,
    task: number,
  ): boolean {
    const countedRuns = assumedRunStates.filter(
      assumedRunState => !this.isNotCounted(assumedRunState),
    ).length;
    return lastRuns[task] < MAXIMUM_RUN && countedRuns < ORGANISATION_LIMIT;
  }

  private isNotCounted(assumedRunState: LimitAssumedRunState): boolean {
    if (
      this.mutation === MutationName.UnansweredNotCounted &&
      assumedRunState === AssumedRunState.Sent
    )
      return true;
    if (
      this.mutation === MutationName.StoppingNotCounted &&
      assumedRunState === AssumedRunState.Stopping
    )
      return true;
    const ignoresRecovered = this.mutation === MutationName.RecoveredNotCounted;
    if (ignoresRecovered && assumedRunState === AssumedRunState.Recovered)
      return true;
    return assumedRunState === AssumedRunState.None;
  }

  /** Returns whether no run on the task's worker can be active and no order can start one. */
  private isLeaseExpired(state: LimitState, task: number): boolean {
    const {isPartitioned, activeRun} = state.workers[task];
    if (!isPartitioned) return false;
    if (this.mutation === MutationName.NoLeaseWait) return true;
    const hasOrderInFlight = state.orders.some(
      order => order.task === task && !order.isLeaseExpired,
    );
    // A paused coordinator may still send an order whose lease began during its own term.
    const mayBeSentLater = state.coordinators.some(
      ({assumedRunStates}) => assumedRunStates[task] === AssumedRunState.Stored,
    );
    return activeRun === 0 && !hasOrderInFlight && !mayBeSentLater;
  }

  private store(
    state: LimitState,
    coordinatorIndex: number,
    task: number,
  ): LimitState {
    const coordinator = state.coordinators[coordinatorIndex];
    const run = coordinator.lastRuns[task] + 1;
    const planned = updateCoordinator(state, coordinatorIndex, previous => ({
      ...previous,
      lastRuns: replaceAt(previous.lastRuns, task, run),
      assumedRunStates: replaceAt(
        previous.assumedRunStates,
        task,
        AssumedRunState.Stored,
      ),
    }));
    if (this.mutation === MutationName.SendBeforeStore)
      return sendOrder(planned, coordinatorIndex, task);
    // The log is closed to earlier terms.
    if (coordinator.term < state.term)
      return updateCoordinator(state, coordinatorIndex, markFenced);
    return {...planned, storedRuns: replaceAt(state.storedRuns, task, run)};
  }

  private deliverOrder(state: LimitState, orderIndex: number): LimitState {
    const {term, task, run, isLeaseExpired} = state.orders[orderIndex];
    const next = withoutOrder(state, orderIndex);
    const worker = state.workers[task];
    const isFenced =
      this.mutation !== MutationName.NoFence && term < worker.token;
    if (isFenced || isLeaseExpired || run <= worker.refusedUpToRun) return next;
    return updateWorker(next, task, previous => ({
      ...previous,
      token: Math.max(previous.token, term),
      refusedUpToRun: run,
      activeRun: run,
      isStopping: false,
    }));
  }
}

function sendOrder(
  state: LimitState,
  coordinatorIndex: number,
  task: number,
): LimitState {
  const {term, lastRuns} = state.coordinators[coordinatorIndex];
  const order: LimitOrder = {
    term,
    task,
    run: lastRuns[task],
    isLeaseExpired: false,
  };
  return {
    ...withAssumedRunState(state, coordinatorIndex, task, AssumedRunState.Sent),
    orders: inCanonicalOrder([...state.orders, order]),
  };
}

function pollWorker(
  state: LimitState,
  coordinatorIndex: number,
  task: number,
): LimitState {
  const {term, lastRuns, assumedRunStates} =
    state.coordinators[coordinatorIndex];
  const workerState = state.workers[task];
  if (term < workerState.token)
    return updateCoordinator(state, coordinatorIndex, markFenced);
  const withToken = updateWorker(state, task, previous => ({
    ...previous,
    token: term,
  }));
  if (workerState.activeRun === lastRuns[task])
    return assumedRunStates[task] === AssumedRunState.Stopping
      ? withToken
      : withAssumedRunState(
          withToken,
          coordinatorIndex,
          task,
          AssumedRunState.SeenAlive,
        );
  // An order that was sent and has not arrived may still arrive. One of an earlier term can no
  // longer start a run, because the worker has now seen this coordinator's token.
  const mayStillArrive =
    assumedRunStates[task] === AssumedRunState.Sent &&
    workerState.refusedUpToRun < lastRuns[task];
  return mayStillArrive
    ? withToken
    : withAssumedRunState(
        withToken,
        coordinatorIndex,
        task,
        AssumedRunState.None,
      );
}

/** Requests a stop, which the worker answers: it refuses the run, and ends it later if active. */
function requestStop(
  state: LimitState,
  coordinatorIndex: number,
  task: number,
): LimitState {
  const {term, lastRuns} = state.coordinators[coordinatorIndex];
  const workerState = state.workers[task];
  if (term < workerState.token)
    return updateCoordinator(state, coordinatorIndex, markFenced);
  const stopped = updateWorker(state, task, previous => ({
    ...previous,
    token: term,
    refusedUpToRun: Math.max(previous.refusedUpToRun, lastRuns[task]),
    isStopping: previous.activeRun === lastRuns[task],
  }));
  return withAssumedRunState(
    stopped,
    coordinatorIndex,
    task,
    AssumedRunState.Stopping,
  );
}

/**
 * Starts the next coordinator, which closes the log to its predecessor and counts every run
 * that it finds there.
 */
function takeOver(state: LimitState): LimitState {
  const term = state.term + 1;
  const next: LimitCoordinator = {
    term,
    fenced: false,
    assumedRunStates: state.storedRuns.map(run =>
      run > 0 ? AssumedRunState.Recovered : AssumedRunState.None,
    ),
    lastRuns: state.storedRuns,
  };
  return {...state, term, coordinators: [...state.coordinators, next]};
}

/** Expires the lease on a partitioned worker, and with it all orders that carry the lease. */
function expireLease(state: LimitState, task: number): LimitState {
  return {
    ...updateWorker(state, task, withoutActiveRun),
    orders: inCanonicalOrder(
      state.orders.map(order =>
        order.task === task ? {...order, isLeaseExpired: true} : order,
      ),
    ),
  };
}

function withoutActiveRun(worker: LimitWorker): LimitWorker {
  return {...worker, activeRun: 0, isStopping: false};
}

function withAssumedRunState(
  state: LimitState,
  coordinatorIndex: number,
  task: number,
  assumedRunState: LimitAssumedRunState,
): LimitState {
  return updateCoordinator(state, coordinatorIndex, previous => ({
    ...previous,
    assumedRunStates: replaceAt(
      previous.assumedRunStates,
      task,
      assumedRunState,
    ),
  }));
}

const MUTATIONS: readonly Mutation[] = [
  {
    name: MutationName.UnansweredNotCounted,
    removedSafeguard: 'an order without an answer counts',
    brokenInvariant: WITHIN_LIMIT,
  },
  {
    name: MutationName.RecoveredNotCounted,
    removedSafeguard: 'a coordinator counts what the one before has stored',
    brokenInvariant: WITHIN_LIMIT,
  },
  {
    name: MutationName.StoppingNotCounted,
    removedSafeguard:
      'a run counts until its end is seen, not until it is told to stop',
    brokenInvariant: WITHIN_LIMIT,
  },
  {
    name: MutationName.NoLeaseWait,
    removedSafeguard: 'the lease of a silent worker is waited out',
    brokenInvariant: WITHIN_LIMIT,
  },
  {
    name: MutationName.SendBeforeStore,
    removedSafeguard: 'a run is stored before its order is sent',
    brokenInvariant: WITHIN_LIMIT,
  },
  {
    name: MutationName.NoFence,
    removedSafeguard: 'a worker refuses orders of an earlier term',
    brokenInvariant: WITHIN_LIMIT,
  },
];

/** Specification of when an organisation's limit lets a task start. */
export const ORGANISATION_LIMIT_SPECIFICATIONS: SpecificationFactory<
  LimitState,
  LimitEvent
> = {
  mutations: MUTATIONS,
  create: mutation => new LimitSpecification(mutation),
};
