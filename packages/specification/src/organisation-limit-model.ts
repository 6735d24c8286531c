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

/** What a coordinator believes of the last run of a task. */
export enum LimitAssumedRunState {
  /** Nothing of it is alive. */
  None = 'none',
  /** In the log, the order not sent yet. */
  Stored = 'stored',
  /** Sent, and not seen since. */
  Sent = 'sent',
  /** Seen alive. */
  SeenAlive = 'seen',
  /** Read from the log of an earlier coordinator. */
  Recovered = 'recovered',
  /** Told to stop, which takes a while. */
  Stopping = 'stopping',
}

/** A coordinator of one term, with its belief about each task. */
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
  /** Run that is alive; 0 for none. */
  readonly activeRun: number;
  readonly isStopping: boolean;
  readonly isPartitioned: boolean;
}

/** An order to start that may arrive at any time. */
export interface LimitOrder {
  readonly term: number;
  readonly task: number;
  readonly run: number;
  /** The lease that it carries has run out. */
  readonly isLeaseExpired: boolean;
}

/** The whole state: two tasks of one organisation, each with its own worker; the limit is one of them. */
export interface LimitState {
  readonly storedRuns: readonly number[];
  readonly term: number;
  readonly coordinators: readonly LimitCoordinator[];
  readonly workers: readonly LimitWorker[];
  readonly orders: readonly LimitOrder[];
  readonly partitionsLeft: number;
}

/** What may happen. */
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

/** One thing that happens. */
export interface LimitEvent {
  readonly type: LimitEventType;
  /** Coordinator, or index of an order. */
  readonly coordinatorOrOrder: number;
  readonly task: number;
}

/** Safeguards that a mutation takes out. */
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

/** When a task may start as its organisation's limit allows, over late orders, stops, cuts and a change of coordinator. */
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
        workers.filter(({activeRun: alive}) => alive > 0).length <=
        ORGANISATION_LIMIT,
    },
  ];

  constructor(private readonly mutation: string | undefined) {}

  describe({type, coordinatorOrOrder: of, task}: LimitEvent): string {
    return `${type} (${of})${task >= 0 ? ` task ${task}` : ''}`;
  }

  enabledEvents(state: LimitState): LimitEvent[] {
    const events: LimitEvent[] = [];
    const add = (type: LimitEventType, of: number, task: number) =>
      events.push({type, coordinatorOrOrder: of, task});
    state.coordinators.forEach((coordinator, of) => {
      if (coordinator.fenced) return;
      for (const task of TASKS)
        for (const type of this.coordinatorEvents(state, coordinator, task))
          add(type, of, task);
    });
    state.orders.forEach(({task}, of) => {
      if (!state.workers[task].isPartitioned)
        add(EventType.DeliverOrder, of, task);
      add(EventType.LoseOrder, of, task);
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
    const {coordinatorOrOrder: of, task} = event;
    switch (event.type) {
      case EventType.StoreRun:
        return this.store(state, of, task);
      case EventType.SendOrder:
        return sendOrder(state, of, task);
      case EventType.DeliverOrder:
        return this.deliverOrder(state, of);
      case EventType.LoseOrder:
        return withoutOrder(state, of);
      case EventType.PollWorker:
        return pollWorker(state, of, task);
      case EventType.RequestStop:
        return requestStop(state, of, task);
      case EventType.CompleteStop:
      case EventType.Finish:
        return updateWorker(state, task, withoutActiveRun);
      case EventType.TakeOver:
        return takeOver(state);
      case EventType.Partition:
        return {
          ...updateWorker(state, task, one => ({...one, isPartitioned: true})),
          partitionsLeft: state.partitionsLeft - 1,
        };
      case EventType.HealPartition:
        return updateWorker(state, task, one => ({
          ...one,
          isPartitioned: false,
        }));
      case EventType.ExpireLease:
        return expireLease(state, task);
      case EventType.LearnLeaseExpiry:
        return withAssumedRunState(state, of, task, AssumedRunState.None);
    }
  }

  private coordinatorEvents(
    state: LimitState,
    coordinator: LimitCoordinator,
    task: number,
  ): LimitEventType[] {
    const belief = coordinator.assumedRunStates[task];
    if (belief === AssumedRunState.None)
      return this.mayStart(coordinator, task) ? [EventType.StoreRun] : [];
    if (belief === AssumedRunState.Stored) return [EventType.SendOrder];
    const events: LimitEventType[] = [];
    if (this.isLeaseExpired(state, task))
      events.push(EventType.LearnLeaseExpiry);
    if (state.workers[task].isPartitioned) return events;
    events.push(EventType.PollWorker);
    if (belief !== AssumedRunState.Stopping) events.push(EventType.RequestStop);
    return events;
  }

  /** What may be alive counts, whatever is known of it. */
  private mayStart(
    {assumedRunStates: beliefs, lastRuns: runs}: LimitCoordinator,
    task: number,
  ): boolean {
    const counted = beliefs.filter(belief => !this.isNotCounted(belief)).length;
    return runs[task] < MAXIMUM_RUN && counted < ORGANISATION_LIMIT;
  }

  private isNotCounted(belief: LimitAssumedRunState): boolean {
    if (
      this.mutation === MutationName.UnansweredNotCounted &&
      belief === AssumedRunState.Sent
    )
      return true;
    if (
      this.mutation === MutationName.StoppingNotCounted &&
      belief === AssumedRunState.Stopping
    )
      return true;
    const isBlind = this.mutation === MutationName.RecoveredNotCounted;
    if (isBlind && belief === AssumedRunState.Recovered) return true;
    return belief === AssumedRunState.None;
  }

  /** Nothing that was started on the task's worker, or is on its way there, can be alive. */
  private isLeaseExpired(state: LimitState, task: number): boolean {
    const {isPartitioned: cut, activeRun: alive} = state.workers[task];
    if (!cut) return false;
    if (this.mutation === MutationName.NoLeaseWait) return true;
    const coming = state.orders.some(
      order => order.task === task && !order.isLeaseExpired,
    );
    // A paused coordinator may still send an order whose lease began while its term was good.
    const pausedSender = state.coordinators.some(
      ({assumedRunStates: beliefs}) => beliefs[task] === AssumedRunState.Stored,
    );
    return alive === 0 && !coming && !pausedSender;
  }

  private store(state: LimitState, of: number, task: number): LimitState {
    const coordinator = state.coordinators[of];
    const run = coordinator.lastRuns[task] + 1;
    const planned = updateCoordinator(state, of, one => ({
      ...one,
      lastRuns: replaceAt(one.lastRuns, task, run),
      assumedRunStates: replaceAt(
        one.assumedRunStates,
        task,
        AssumedRunState.Stored,
      ),
    }));
    if (this.mutation === MutationName.SendBeforeStore)
      return sendOrder(planned, of, task);
    // The log is closed to earlier terms.
    if (coordinator.term < state.term)
      return updateCoordinator(state, of, markFenced);
    return {...planned, storedRuns: replaceAt(state.storedRuns, task, run)};
  }

  private deliverOrder(state: LimitState, of: number): LimitState {
    const {term, task, run, isLeaseExpired: late} = state.orders[of];
    const next = withoutOrder(state, of);
    const worker = state.workers[task];
    const isFenced =
      this.mutation !== MutationName.NoFence && term < worker.token;
    if (isFenced || late || run <= worker.refusedUpToRun) return next;
    return updateWorker(next, task, one => ({
      ...one,
      token: Math.max(one.token, term),
      refusedUpToRun: run,
      activeRun: run,
      isStopping: false,
    }));
  }
}

function sendOrder(state: LimitState, of: number, task: number): LimitState {
  const {term, lastRuns: runs} = state.coordinators[of];
  const order: LimitOrder = {
    term,
    task,
    run: runs[task],
    isLeaseExpired: false,
  };
  return {
    ...withAssumedRunState(state, of, task, AssumedRunState.Sent),
    orders: inCanonicalOrder([...state.orders, order]),
  };
}

function pollWorker(state: LimitState, of: number, task: number): LimitState {
  const {
    term,
    lastRuns: runs,
    assumedRunStates: beliefs,
  } = state.coordinators[of];
  const seen = state.workers[task];
  if (term < seen.token) return updateCoordinator(state, of, markFenced);
  const shown = updateWorker(state, task, one => ({...one, token: term}));
  if (seen.activeRun === runs[task])
    return beliefs[task] === AssumedRunState.Stopping
      ? shown
      : withAssumedRunState(shown, of, task, AssumedRunState.SeenAlive);
  // An order that was sent and has not come may still come; one of an earlier term can't, now that the token is shown.
  const mayCome =
    beliefs[task] === AssumedRunState.Sent && seen.refusedUpToRun < runs[task];
  return mayCome
    ? shown
    : withAssumedRunState(shown, of, task, AssumedRunState.None);
}

/** A stop that is answered: the run is barred, and ends a while later if it is alive. */
function requestStop(state: LimitState, of: number, task: number): LimitState {
  const {term, lastRuns: runs} = state.coordinators[of];
  const seen = state.workers[task];
  if (term < seen.token) return updateCoordinator(state, of, markFenced);
  const stopped = updateWorker(state, task, one => ({
    ...one,
    token: term,
    refusedUpToRun: Math.max(one.refusedUpToRun, runs[task]),
    isStopping: one.activeRun === runs[task],
  }));
  return withAssumedRunState(stopped, of, task, AssumedRunState.Stopping);
}

/** The next coordinator closes the log to the one before, and counts every run that it finds there. */
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

/** The lease on a worker that is cut off runs out, and with it all orders that carry it. */
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
  of: number,
  task: number,
  belief: LimitAssumedRunState,
): LimitState {
  return updateCoordinator(state, of, one => ({
    ...one,
    assumedRunStates: replaceAt(one.assumedRunStates, task, belief),
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

/** When an organisation's limit lets a task start. */
export const ORGANISATION_LIMIT_SPECIFICATIONS: SpecificationFactory<
  LimitState,
  LimitEvent
> = {
  mutations: MUTATIONS,
  create: mutation => new LimitSpecification(mutation),
};
