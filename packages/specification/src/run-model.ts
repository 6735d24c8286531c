import {inCanonicalOrder} from './canonical-order.js';
import {
  updateCoordinator,
  updateWorker,
  withoutOrder,
} from './coordinator-worker-state.js';
import {
  Guarantee,
  type Invariant,
  type Mutation,
  type Specification,
  type SpecificationFactory,
} from './specification.js';

/** State of the task's last run, as a coordinator assumes it. */
export enum AssumedRunState {
  None = 'none',
  /** In the log; the order is not sent yet. */
  Stored = 'stored',
  /** The order is sent, but is not known to have arrived. */
  Sent = 'sent',
  /** Read from the log of an earlier coordinator. */
  Recovered = 'recovered',
}

/** A coordinator of one term. */
export interface RunCoordinator {
  readonly term: number;
  readonly assumedRunState: AssumedRunState;
  readonly run: number;
  readonly worker: number;
  /** It has read that the task ended as done. */
  readonly knowsDone: boolean;
  /** It has seen a later term. */
  readonly fenced: boolean;
  /** Incarnation of its run's worker that it has a session with; 0 without a run. */
  readonly incarnation: number;
  /** A poll has listed the run on that incarnation. */
  readonly isListed: boolean;
}

/** A worker, with the highest token it has seen and the runs that it refuses. */
export interface RunWorker {
  readonly token: number;
  readonly refusedUpToRun: number;
  /** The active run; 0 for none. */
  readonly activeRun: number;
  /** Run that has ended as done without an acknowledgement yet; 0 for none. */
  readonly unacknowledgedRun: number;
  readonly isPartitioned: boolean;
  /** Increases with each restart under the same id; the rest of the state is lost. */
  readonly incarnation: number;
}

/** An order to start a run, which may arrive at any time. */
export interface RunOrder {
  readonly term: number;
  readonly run: number;
  readonly worker: number;
  /** The lease that it carries has expired. */
  readonly isLeaseExpired: boolean;
  /** Incarnation on whose clock the lease was computed; the order does not name it. */
  readonly incarnation: number;
}

/** The complete state: one task, two workers and two terms. */
export interface RunState {
  readonly storedRun: number;
  readonly storedWorker: number;
  /** Incarnation of that worker when the run was stored. */
  readonly storedIncarnation: number;
  readonly storedDone: boolean;
  readonly term: number;
  readonly coordinators: readonly RunCoordinator[];
  readonly workers: readonly RunWorker[];
  readonly orders: readonly RunOrder[];
  readonly partitionsLeft: number;
  readonly restartsLeft: number;
  readonly hasStartedAfterDone: boolean;
}

/** Events of the coordinators, the orders and the workers. */
export enum RunEventType {
  /** A coordinator stores a run on a worker. */
  StoreRun = 'store',
  SendOrder = 'send',
  DeliverOrder = 'arrive',
  LoseOrder = 'lose',
  /** A coordinator polls a worker, which answers. */
  PollWorker = 'look',
  /** A coordinator stops the run, and the worker answers. */
  StopRun = 'stop',
  Finish = 'finish',
  /** A coordinator stores the end that it has read, then acknowledges it. */
  StoreEnd = 'store end',
  TakeOver = 'take over',
  Partition = 'cut',
  HealPartition = 'heal',
  /** Time passes, and the lease on a partitioned worker expires. */
  ExpireLease = 'lapse',
  /** A coordinator learns that the lease on a worker has expired. */
  LearnLeaseExpiry = 'lease over',
  RestartWorker = 'restart',
  /** A coordinator reads the entry of a worker that has restarted. */
  ReadEntry = 'read entry',
}

/** One event; `worker` is -1 where the event has none. */
export interface RunEvent {
  readonly type: RunEventType;
  /** Index of a coordinator or of an order; -1 for neither. */
  readonly coordinatorOrOrder: number;
  readonly worker: number;
}

/** Mutations, each of which removes one safeguard. */
export enum RunMutation {
  SendBeforeStore = 'send-before-store',
  UnansweredIsNotRun = 'unanswered-is-not-run',
  NoLeaseWait = 'silence-is-death',
  NoFence = 'no-fence',
  NoStoppedRunRefusal = 'no-bar',
  NoCarryOver = 'no-carry-over',
  RecoveredNotCarried = 'recovered-not-carried',
  LeaseOnOldClock = 'lease-on-old-clock',
  DecidedInTransit = 'decided-in-transit',
  OrderSentAgain = 'order-sent-again',
}

const WORKERS = [0, 1];
/** The worker that may restart under its id; after a crash the other has a new one. */
const RESTARTING_WORKER = 0;
const MAXIMUM_RUN = 2;
const MAXIMUM_TERM = 2;
/** Orders in transit up to which one may be sent again. */
const MAXIMUM_COPIES = 2;
const AT_MOST_ONE_ACTIVE_RUN = 'never two runs of the task at the same time';
const NO_RUN_AFTER_DONE = 'no run begins after an end as done was acknowledged';
const EventType = RunEventType;
const MutationName = RunMutation;
const Assumed = AssumedRunState;

/** Decides when a task may start, with leases, late orders and a change of coordinator. */
class RunSpecification implements Specification<RunState, RunEvent> {
  readonly name = 'run (2 workers, 2 terms, 2 runs, 1 restart)';
  readonly bounds =
    '1 task, 2 workers, 2 terms, 2 runs, 1 cut, 1 restart under the same id; orders late or lost in any order';
  readonly initialState: RunState = {
    storedRun: 0,
    storedWorker: -1,
    storedIncarnation: 0,
    storedDone: false,
    term: 1,
    coordinators: [createCoordinator(1, Assumed.None, 0, -1, false)],
    workers: WORKERS.map(() => ({
      token: 0,
      refusedUpToRun: 0,
      activeRun: 0,
      unacknowledgedRun: 0,
      isPartitioned: false,
      incarnation: 0,
    })),
    orders: [],
    partitionsLeft: 1,
    restartsLeft: 1,
    hasStartedAfterDone: false,
  };
  readonly invariants: ReadonlyArray<Invariant<RunState>> = [
    {
      guarantee: Guarantee.AtMostOnce,
      name: AT_MOST_ONE_ACTIVE_RUN,
      holds: ({workers}) =>
        workers.filter(worker => worker.activeRun > 0).length <= 1,
    },
    {
      guarantee: Guarantee.AtMostOnce,
      name: NO_RUN_AFTER_DONE,
      holds: ({hasStartedAfterDone}) => !hasStartedAfterDone,
    },
  ];

  constructor(private readonly mutation: string | undefined) {}

  describe({type, coordinatorOrOrder, worker}: RunEvent): string {
    const where = worker >= 0 ? ` at worker ${worker}` : '';
    return `${type} (${coordinatorOrOrder})${where}`;
  }

  enabledEvents(state: RunState): RunEvent[] {
    const events: RunEvent[] = [];
    const add = (
      type: RunEventType,
      coordinatorOrOrder: number,
      worker: number,
    ) => events.push({type, coordinatorOrOrder, worker});
    state.coordinators.forEach((coordinator, coordinatorOrOrder) =>
      this.addCoordinatorEvents(state, coordinator, coordinatorOrOrder, add),
    );
    state.orders.forEach((order, coordinatorOrOrder) => {
      if (!state.workers[order.worker].isPartitioned)
        add(EventType.DeliverOrder, coordinatorOrOrder, order.worker);
      add(EventType.LoseOrder, coordinatorOrOrder, order.worker);
    });
    state.workers.forEach((worker, index) => {
      if (worker.activeRun > 0) add(EventType.Finish, -1, index);
      if (index === RESTARTING_WORKER && state.restartsLeft > 0)
        add(EventType.RestartWorker, -1, index);
      if (!worker.isPartitioned && state.partitionsLeft > 0)
        add(EventType.Partition, -1, index);
      if (worker.isPartitioned) {
        add(EventType.HealPartition, -1, index);
        add(EventType.ExpireLease, -1, index);
      }
    });
    if (state.term < MAXIMUM_TERM) add(EventType.TakeOver, -1, -1);
    return events;
  }

  step(state: RunState, event: RunEvent): RunState {
    switch (event.type) {
      case EventType.StoreRun:
        return this.store(state, event);
      case EventType.SendOrder:
        return this.send(state, event);
      case EventType.DeliverOrder:
        return this.deliverOrder(state, event);
      case EventType.LoseOrder:
        return withoutOrder(state, event.coordinatorOrOrder);
      case EventType.PollWorker:
        return this.pollWorker(state, event);
      case EventType.StopRun:
        return this.stop(state, event);
      case EventType.Finish:
        return updateWorker(state, event.worker, worker => ({
          ...worker,
          activeRun: 0,
          unacknowledgedRun: worker.activeRun,
        }));
      case EventType.StoreEnd:
        return this.storeEnd(state, event);
      case EventType.TakeOver:
        return takeOver(state);
      case EventType.Partition:
        return {
          ...updateWorker(state, event.worker, withPartition(true)),
          partitionsLeft: state.partitionsLeft - 1,
        };
      case EventType.HealPartition:
        return updateWorker(state, event.worker, withPartition(false));
      case EventType.ExpireLease:
        return expireLease(state, event.worker);
      case EventType.RestartWorker:
        return restart(state, event.worker);
      case EventType.ReadEntry:
        return this.endIncarnation(state, event);
      case EventType.LearnLeaseExpiry:
        return updateCoordinator(state, event.coordinatorOrOrder, clearRun);
    }
  }

  private addCoordinatorEvents(
    state: RunState,
    coordinator: RunCoordinator,
    coordinatorIndex: number,
    add: (
      type: RunEventType,
      coordinatorOrOrder: number,
      worker: number,
    ) => void,
  ): void {
    if (coordinator.fenced) return;
    const {assumedRunState, worker, run} = coordinator;
    if (coordinator.knowsDone) {
      if (!state.storedDone) add(EventType.StoreEnd, coordinatorIndex, worker);
      return;
    }
    if (assumedRunState === Assumed.None) {
      if (run < MAXIMUM_RUN)
        for (const target of WORKERS)
          add(EventType.StoreRun, coordinatorIndex, target);
      return;
    }
    if (!knowsIncarnation(state, coordinator))
      add(EventType.ReadEntry, coordinatorIndex, worker);
    if (
      assumedRunState === Assumed.Stored ||
      this.mayBeSentAgain(state, coordinator)
    )
      add(EventType.SendOrder, coordinatorIndex, worker);
    if (this.isLeaseExpired(state, coordinator))
      add(EventType.LearnLeaseExpiry, coordinatorIndex, worker);
    if (state.workers[worker].isPartitioned) return;
    if (assumedRunState !== Assumed.Stored) {
      add(EventType.PollWorker, coordinatorIndex, worker);
      add(EventType.StopRun, coordinatorIndex, worker);
    }
  }

  /** Returns whether an order without an answer is sent a second time, to the same worker. */
  private mayBeSentAgain(
    {orders}: RunState,
    {assumedRunState}: RunCoordinator,
  ): boolean {
    return (
      this.mutation === MutationName.OrderSentAgain &&
      assumedRunState === Assumed.Sent &&
      orders.length < MAXIMUM_COPIES
    );
  }

  /** Returns whether no run on the worker can be active and no order can start one. */
  private isLeaseExpired(
    state: RunState,
    {assumedRunState, worker}: RunCoordinator,
  ): boolean {
    if (
      assumedRunState === Assumed.Stored ||
      !state.workers[worker].isPartitioned
    )
      return false;
    if (this.mutation === MutationName.NoLeaseWait) return true;
    // An order whose lease has expired may reach an incarnation with another clock.
    const ignoresLease =
      worker === RESTARTING_WORKER &&
      this.mutation !== MutationName.LeaseOnOldClock;
    const hasOrderInFlight = state.orders.some(
      order =>
        order.worker === worker && (ignoresLease || !order.isLeaseExpired),
    );
    // A paused coordinator may still send an order whose lease began during its own term.
    const mayBeSentLater = state.coordinators.some(
      other =>
        other.assumedRunState === Assumed.Stored && other.worker === worker,
    );
    return (
      state.workers[worker].activeRun === 0 &&
      !hasOrderInFlight &&
      !mayBeSentLater
    );
  }

  private store(
    state: RunState,
    {coordinatorOrOrder: coordinatorIndex, worker}: RunEvent,
  ): RunState {
    const coordinator = state.coordinators[coordinatorIndex];
    const run = coordinator.run + 1;
    const {incarnation} = state.workers[worker];
    if (this.mutation === MutationName.SendBeforeStore)
      return this.send(
        updateCoordinator(state, coordinatorIndex, previous => ({
          ...previous,
          assumedRunState: Assumed.Stored,
          run,
          worker,
          incarnation,
          isListed: false,
        })),
        {
          type: EventType.SendOrder,
          coordinatorOrOrder: coordinatorIndex,
          worker,
        },
      );
    if (coordinator.term < state.term)
      return updateCoordinator(state, coordinatorIndex, fence);
    return updateCoordinator(
      {
        ...state,
        storedRun: run,
        storedWorker: worker,
        storedIncarnation: incarnation,
      },
      coordinatorIndex,
      previous => ({
        ...previous,
        assumedRunState: Assumed.Stored,
        run,
        worker,
        incarnation,
        isListed: false,
      }),
    );
  }

  private send(
    state: RunState,
    {coordinatorOrOrder: coordinatorIndex}: RunEvent,
  ): RunState {
    const {term, run, worker, incarnation} =
      state.coordinators[coordinatorIndex];
    const order: RunOrder = {
      term,
      run,
      worker,
      isLeaseExpired: false,
      incarnation,
    };
    return updateCoordinator(
      {...state, orders: inCanonicalOrder([...state.orders, order])},
      coordinatorIndex,
      previous => ({...previous, assumedRunState: Assumed.Sent}),
    );
  }

  private deliverOrder(
    state: RunState,
    {coordinatorOrOrder: orderIndex}: RunEvent,
  ): RunState {
    const order = state.orders[orderIndex];
    const next = withoutOrder(state, orderIndex);
    const worker = state.workers[order.worker];
    const isFenced =
      this.mutation !== MutationName.NoFence && order.term < worker.token;
    const isRefusedRun =
      this.mutation !== MutationName.NoStoppedRunRefusal &&
      order.run <= worker.refusedUpToRun;
    // Another incarnation compares the lease with its own clock, which started again.
    const isTooLate =
      order.isLeaseExpired && order.incarnation === worker.incarnation;
    if (isFenced || isTooLate || isRefusedRun) return next;
    const started = updateWorker(next, order.worker, previous => ({
      ...previous,
      token: Math.max(previous.token, order.term),
      refusedUpToRun: Math.max(previous.refusedUpToRun, order.run),
      activeRun: order.run,
    }));
    return {
      ...started,
      hasStartedAfterDone: state.hasStartedAfterDone || state.storedDone,
    };
  }

  private pollWorker(
    state: RunState,
    {coordinatorOrOrder: coordinatorIndex}: RunEvent,
  ): RunState {
    const {term, worker, run, assumedRunState} =
      state.coordinators[coordinatorIndex];
    const workerState = state.workers[worker];
    if (term < workerState.token)
      return updateCoordinator(state, coordinatorIndex, fence);
    const withToken = updateWorker(state, worker, previous => ({
      ...previous,
      token: term,
    }));
    if (!knowsIncarnation(state, state.coordinators[coordinatorIndex]))
      return this.endIncarnation(withToken, {
        type: EventType.ReadEntry,
        coordinatorOrOrder: coordinatorIndex,
        worker,
      });
    if (workerState.unacknowledgedRun === run && run > 0)
      return updateCoordinator(withToken, coordinatorIndex, previous => ({
        ...previous,
        knowsDone: true,
      }));
    if (workerState.activeRun === run)
      return updateCoordinator(withToken, coordinatorIndex, previous => ({
        ...previous,
        isListed: true,
      }));
    // The run is neither active nor ended. This incarnation never starts a recovered run any more,
    // because it has now seen this coordinator's token; a later one may. An order that this
    // coordinator sent may still arrive.
    const neverStarts =
      (assumedRunState === Assumed.Recovered &&
        !this.mayStartAfterRestart(state, coordinatorIndex)) ||
      this.mutation === MutationName.UnansweredIsNotRun;
    return neverStarts
      ? updateCoordinator(withToken, coordinatorIndex, clearRun)
      : withToken;
  }

  /**
   * Ends a coordinator's session with an incarnation that is over. A run whose start may
   * still reach the new incarnation is carried over to the session with that one.
   */
  private endIncarnation(
    state: RunState,
    {coordinatorOrOrder: coordinatorIndex, worker}: RunEvent,
  ): RunState {
    const {incarnation} = state.workers[worker];
    return updateCoordinator(state, coordinatorIndex, previous => {
      if (previous.knowsDone || this.isCarriedOver(previous))
        return {...previous, incarnation};
      return clearRun(previous);
    });
  }

  private isCarriedOver({assumedRunState, isListed}: RunCoordinator): boolean {
    if (this.mutation === MutationName.NoCarryOver) return false;
    if (assumedRunState === Assumed.Recovered)
      return !isListed && this.mutation !== MutationName.RecoveredNotCarried;
    return assumedRunState === Assumed.Sent && !isListed;
  }

  private stop(
    state: RunState,
    {coordinatorOrOrder: coordinatorIndex}: RunEvent,
  ): RunState {
    const {term, worker, run} = state.coordinators[coordinatorIndex];
    const workerState = state.workers[worker];
    if (term < workerState.token)
      return updateCoordinator(state, coordinatorIndex, fence);
    const stopped = updateWorker(state, worker, previous => ({
      ...previous,
      token: term,
      refusedUpToRun: Math.max(previous.refusedUpToRun, run),
      activeRun: previous.activeRun === run ? 0 : previous.activeRun,
    }));
    if (workerState.unacknowledgedRun === run)
      return updateCoordinator(stopped, coordinatorIndex, previous => ({
        ...previous,
        knowsDone: true,
      }));
    return this.mayStartAfterRestart(state, coordinatorIndex)
      ? stopped
      : updateCoordinator(stopped, coordinatorIndex, clearRun);
  }

  /**
   * Returns whether the order of a coordinator's run may reach a later incarnation of its worker,
   * which has forgotten the stop and the token that rule it out.
   */
  private mayStartAfterRestart(
    state: RunState,
    coordinatorIndex: number,
  ): boolean {
    const {worker, run} = state.coordinators[coordinatorIndex];
    if (worker !== RESTARTING_WORKER) return false;
    if (this.mutation === MutationName.DecidedInTransit) return false;
    const isOfRun = (item: {readonly worker: number; readonly run: number}) =>
      item.worker === worker && item.run === run;
    return (
      state.orders.some(isOfRun) ||
      state.coordinators.some(
        other => other.assumedRunState === Assumed.Stored && isOfRun(other),
      )
    );
  }

  private storeEnd(
    state: RunState,
    {coordinatorOrOrder: coordinatorIndex, worker}: RunEvent,
  ): RunState {
    if (state.coordinators[coordinatorIndex].term < state.term)
      return updateCoordinator(state, coordinatorIndex, fence);
    const acknowledged = updateWorker(state, worker, previous => ({
      ...previous,
      unacknowledgedRun: 0,
    }));
    return {
      ...acknowledged,
      storedDone: true,
      storedWorker: -1,
      storedIncarnation: 0,
    };
  }
}

function createCoordinator(
  term: number,
  assumedRunState: AssumedRunState,
  run: number,
  worker: number,
  knowsDone: boolean,
  incarnation = 0,
): RunCoordinator {
  return {
    term,
    assumedRunState,
    run,
    worker,
    knowsDone,
    fenced: false,
    incarnation,
    isListed: false,
  };
}

/** Starts the next coordinator, which closes the log to its predecessor and reads it. */
function takeOver(state: RunState): RunState {
  const term = state.term + 1;
  const assumedRunState =
    state.storedWorker >= 0 ? Assumed.Recovered : Assumed.None;
  const next = createCoordinator(
    term,
    assumedRunState,
    state.storedRun,
    state.storedWorker,
    state.storedDone,
    state.storedIncarnation,
  );
  return {...state, term, coordinators: [...state.coordinators, next]};
}

/** Expires the lease on a partitioned worker, and with it all orders that carry the lease. */
function expireLease(state: RunState, worker: number): RunState {
  const expired = updateWorker(state, worker, previous => ({
    ...previous,
    activeRun: 0,
    unacknowledgedRun: 0,
  }));
  return {
    ...expired,
    orders: inCanonicalOrder(
      state.orders.map(order =>
        order.worker === worker ? {...order, isLeaseExpired: true} : order,
      ),
    ),
  };
}

function knowsIncarnation(
  state: RunState,
  {worker, incarnation}: RunCoordinator,
): boolean {
  return worker < 0 || incarnation === state.workers[worker].incarnation;
}

/** Marks a coordinator as fenced; it sends nothing more. */
function fence(coordinator: RunCoordinator): RunCoordinator {
  return {...clearRun(coordinator), fenced: true};
}

/** Restarts a worker under its id; it forgets its runs, their ends and the token. */
function restart(state: RunState, worker: number): RunState {
  return {
    ...updateWorker(state, worker, previous => ({
      ...previous,
      token: 0,
      refusedUpToRun: 0,
      activeRun: 0,
      unacknowledgedRun: 0,
      incarnation: previous.incarnation + 1,
    })),
    restartsLeft: state.restartsLeft - 1,
  };
}

function withPartition(
  isPartitioned: boolean,
): (worker: RunWorker) => RunWorker {
  return worker => ({...worker, isPartitioned});
}

function clearRun(coordinator: RunCoordinator): RunCoordinator {
  return {
    ...coordinator,
    assumedRunState: Assumed.None,
    worker: -1,
    incarnation: 0,
    isListed: false,
  };
}

const MUTATIONS: readonly Mutation[] = [
  {
    name: MutationName.SendBeforeStore,
    removedSafeguard: 'a run is stored before its order is sent',
    brokenInvariant: AT_MOST_ONE_ACTIVE_RUN,
  },
  {
    name: MutationName.UnansweredIsNotRun,
    removedSafeguard:
      'an order without an answer counts until a stop is answered',
    brokenInvariant: AT_MOST_ONE_ACTIVE_RUN,
  },
  {
    name: MutationName.NoLeaseWait,
    removedSafeguard: 'the lease of a silent worker is waited out',
    brokenInvariant: AT_MOST_ONE_ACTIVE_RUN,
  },
  {
    name: MutationName.NoFence,
    removedSafeguard: 'a worker refuses orders of an earlier term',
    brokenInvariant: AT_MOST_ONE_ACTIVE_RUN,
  },
  {
    name: MutationName.NoStoppedRunRefusal,
    removedSafeguard: 'a worker refuses a run that it was told to stop',
    brokenInvariant: AT_MOST_ONE_ACTIVE_RUN,
  },
  {
    name: MutationName.NoCarryOver,
    removedSafeguard:
      'a run whose start may reach the next incarnation of its worker is carried over',
    brokenInvariant: AT_MOST_ONE_ACTIVE_RUN,
  },
  {
    name: MutationName.RecoveredNotCarried,
    removedSafeguard:
      'a run that an earlier coordinator ordered on a former incarnation waits for a poll of the present one',
    brokenInvariant: AT_MOST_ONE_ACTIVE_RUN,
  },
  {
    name: MutationName.LeaseOnOldClock,
    removedSafeguard:
      'an order with a lease on a former clock counts until it can no longer arrive',
    brokenInvariant: AT_MOST_ONE_ACTIVE_RUN,
  },
  {
    name: MutationName.DecidedInTransit,
    removedSafeguard:
      'a run on a worker that may restart counts until its order is carried out or can no longer arrive',
    brokenInvariant: AT_MOST_ONE_ACTIVE_RUN,
  },
  {
    name: MutationName.OrderSentAgain,
    removedSafeguard: 'an order without an answer is not sent again',
    brokenInvariant: NO_RUN_AFTER_DONE,
  },
];

/** Specification of when a task may start. */
export const RUN_SPECIFICATIONS: SpecificationFactory<RunState, RunEvent> = {
  mutations: MUTATIONS,
  create: mutation => new RunSpecification(mutation),
};
