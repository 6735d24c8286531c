import {inCanonicalOrder} from './canonical-order.js';
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

/** What a coordinator believes of the task's last run. */
export enum AssumedRunState {
  None = 'none',
  /** In the log, the order not sent yet. */
  Stored = 'stored',
  /** Sent, not known to have arrived. */
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
  /** It has read the task's end as done. */
  readonly knowsDone: boolean;
  /** A later term was seen. */
  readonly fenced: boolean;
}

/** A worker with its highest token and the run that it would refuse. */
export interface RunWorker {
  readonly token: number;
  readonly refusedUpToRun: number;
  /** Run that is alive; 0 for none. */
  readonly activeRun: number;
  /** Run that has ended as done and is not acknowledged; 0 for none. */
  readonly unacknowledgedRun: number;
  readonly isPartitioned: boolean;
}

/** An order to start that may arrive at any time. */
export interface RunOrder {
  readonly term: number;
  readonly run: number;
  readonly worker: number;
  /** The lease that it carries has run out. */
  readonly isLeaseExpired: boolean;
}

/** The whole state: one task, two workers, two terms. */
export interface RunState {
  readonly storedRun: number;
  readonly storedWorker: number;
  readonly storedDone: boolean;
  readonly term: number;
  readonly coordinators: readonly RunCoordinator[];
  readonly workers: readonly RunWorker[];
  readonly orders: readonly RunOrder[];
  readonly partitionsLeft: number;
  readonly hasStartedAfterDone: boolean;
}

/** What may happen. */
export enum RunEventType {
  /** A coordinator stores a run on a worker. */
  StoreRun = 'store',
  SendOrder = 'send',
  DeliverOrder = 'arrive',
  LoseOrder = 'lose',
  /** A coordinator looks at a worker that answers. */
  PollWorker = 'look',
  /** A stop that is answered. */
  StopRun = 'stop',
  Finish = 'finish',
  /** A done end that was read is stored, then acknowledged. */
  StoreEnd = 'store end',
  TakeOver = 'take over',
  Partition = 'cut',
  HealPartition = 'heal',
  /** Time passes: a lease on a worker that is cut off runs out. */
  ExpireLease = 'lapse',
  /** A coordinator knows that the lease on a worker is over. */
  LearnLeaseExpiry = 'lease over',
}

/** One thing that happens. */
export interface RunEvent {
  readonly type: RunEventType;
  /** Coordinator, or index of an order. */
  readonly coordinatorOrOrder: number;
  readonly worker: number;
}

/** Safeguards that a mutation takes out. */
export enum RunMutation {
  SendBeforeStore = 'send-before-store',
  UnansweredIsNotRun = 'unanswered-is-not-run',
  NoLeaseWait = 'silence-is-death',
  NoFence = 'no-fence',
  NoStoppedRunRefusal = 'no-bar',
}

const WORKERS = [0, 1];
const MAXIMUM_RUN = 2;
const MAXIMUM_TERM = 2;
const AT_MOST_ONE_ACTIVE_RUN = 'never two runs of the task at the same time';
const NO_RUN_AFTER_DONE = 'no run begins after an end as done was acknowledged';
const EventType = RunEventType;
const MutationName = RunMutation;
const B = AssumedRunState;

/** The rule for when a task may start, over leases, late orders and a change of coordinator. */
class RunSpecification implements Specification<RunState, RunEvent> {
  readonly name = 'run (2 workers, 2 terms, 2 runs)';
  readonly bounds =
    '1 task, 2 workers, 2 terms, 2 runs, 1 cut; orders late or lost in any order';
  readonly initialState: RunState = {
    storedRun: 0,
    storedWorker: -1,
    storedDone: false,
    term: 1,
    coordinators: [createCoordinator(1, B.None, 0, -1, false)],
    workers: WORKERS.map(() => ({
      token: 0,
      refusedUpToRun: 0,
      activeRun: 0,
      unacknowledgedRun: 0,
      isPartitioned: false,
    })),
    orders: [],
    partitionsLeft: 1,
    hasStartedAfterDone: false,
  };
  readonly invariants: ReadonlyArray<Invariant<RunState>> = [
    {
      guarantee: Guarantee.AtMostOnce,
      name: AT_MOST_ONE_ACTIVE_RUN,
      holds: ({workers}) =>
        workers.filter(one => one.activeRun > 0).length <= 1,
    },
    {
      guarantee: Guarantee.AtMostOnce,
      name: NO_RUN_AFTER_DONE,
      holds: ({hasStartedAfterDone: startedAfterDone}) => !startedAfterDone,
    },
  ];

  constructor(private readonly mutation: string | undefined) {}

  describe({type, coordinatorOrOrder: of, worker}: RunEvent): string {
    const where = worker >= 0 ? ` at worker ${worker}` : '';
    return `${type} (${of})${where}`;
  }

  enabledEvents(state: RunState): RunEvent[] {
    const events: RunEvent[] = [];
    const add = (type: RunEventType, of: number, worker: number) =>
      events.push({type, coordinatorOrOrder: of, worker});
    state.coordinators.forEach((coordinator, of) =>
      this.addCoordinatorEvents(state, coordinator, of, add),
    );
    state.orders.forEach((order, of) => {
      if (!state.workers[order.worker].isPartitioned)
        add(EventType.DeliverOrder, of, order.worker);
      add(EventType.LoseOrder, of, order.worker);
    });
    state.workers.forEach((worker, index) => {
      if (worker.activeRun > 0) add(EventType.Finish, -1, index);
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
      case EventType.LearnLeaseExpiry:
        return updateCoordinator(state, event.coordinatorOrOrder, clearRun);
    }
  }

  private addCoordinatorEvents(
    state: RunState,
    coordinator: RunCoordinator,
    of: number,
    add: (type: RunEventType, of: number, worker: number) => void,
  ): void {
    if (coordinator.fenced) return;
    const {assumedRunState: belief, worker, run} = coordinator;
    if (coordinator.knowsDone) {
      if (!state.storedDone) add(EventType.StoreEnd, of, worker);
      return;
    }
    if (belief === B.None) {
      if (run < MAXIMUM_RUN)
        for (const target of WORKERS) add(EventType.StoreRun, of, target);
      return;
    }
    if (belief === B.Stored) add(EventType.SendOrder, of, worker);
    if (this.isLeaseExpired(state, coordinator))
      add(EventType.LearnLeaseExpiry, of, worker);
    if (state.workers[worker].isPartitioned) return;
    if (belief !== B.Stored) {
      add(EventType.PollWorker, of, worker);
      add(EventType.StopRun, of, worker);
    }
  }

  /** Nothing that was started on the worker, or is on its way there, can be alive. */
  private isLeaseExpired(
    state: RunState,
    {assumedRunState: belief, worker}: RunCoordinator,
  ): boolean {
    if (belief === B.Stored || !state.workers[worker].isPartitioned)
      return false;
    if (this.mutation === MutationName.NoLeaseWait) return true;
    const coming = state.orders.some(
      order => order.worker === worker && !order.isLeaseExpired,
    );
    // A paused coordinator may still send an order whose lease began while its term was good.
    const pausedSender = state.coordinators.some(
      other => other.assumedRunState === B.Stored && other.worker === worker,
    );
    return state.workers[worker].activeRun === 0 && !coming && !pausedSender;
  }

  private store(
    state: RunState,
    {coordinatorOrOrder: of, worker}: RunEvent,
  ): RunState {
    const coordinator = state.coordinators[of];
    const run = coordinator.run + 1;
    if (this.mutation === MutationName.SendBeforeStore)
      return this.send(
        updateCoordinator(state, of, one => ({
          ...one,
          assumedRunState: B.Stored,
          run,
          worker,
        })),
        {type: EventType.SendOrder, coordinatorOrOrder: of, worker},
      );
    if (coordinator.term < state.term)
      return updateCoordinator(state, of, markFenced);
    return updateCoordinator(
      {...state, storedRun: run, storedWorker: worker},
      of,
      one => ({...one, assumedRunState: B.Stored, run, worker}),
    );
  }

  private send(state: RunState, {coordinatorOrOrder: of}: RunEvent): RunState {
    const {term, run, worker} = state.coordinators[of];
    const order: RunOrder = {term, run, worker, isLeaseExpired: false};
    return updateCoordinator(
      {...state, orders: inCanonicalOrder([...state.orders, order])},
      of,
      one => ({...one, assumedRunState: B.Sent}),
    );
  }

  private deliverOrder(
    state: RunState,
    {coordinatorOrOrder: of}: RunEvent,
  ): RunState {
    const order = state.orders[of];
    const next = withoutOrder(state, of);
    const worker = state.workers[order.worker];
    const isFenced =
      this.mutation !== MutationName.NoFence && order.term < worker.token;
    const isBarred =
      this.mutation !== MutationName.NoStoppedRunRefusal &&
      order.run <= worker.refusedUpToRun;
    if (isFenced || order.isLeaseExpired || isBarred) return next;
    const started = updateWorker(next, order.worker, one => ({
      ...one,
      token: Math.max(one.token, order.term),
      refusedUpToRun: Math.max(one.refusedUpToRun, order.run),
      activeRun: order.run,
    }));
    return {
      ...started,
      hasStartedAfterDone: state.hasStartedAfterDone || state.storedDone,
    };
  }

  private pollWorker(
    state: RunState,
    {coordinatorOrOrder: of}: RunEvent,
  ): RunState {
    const {term, worker, run, assumedRunState: belief} = state.coordinators[of];
    const seen = state.workers[worker];
    if (term < seen.token) return updateCoordinator(state, of, markFenced);
    const shown = updateWorker(state, worker, one => ({...one, token: term}));
    if (seen.unacknowledgedRun === run && run > 0)
      return updateCoordinator(shown, of, one => ({...one, knowsDone: true}));
    if (seen.activeRun === run) return shown;
    // Neither alive nor ended: a recovered run never will be, since the token is shown. One that we
    // have sent may still arrive.
    const never =
      belief === B.Recovered ||
      this.mutation === MutationName.UnansweredIsNotRun;
    return never ? updateCoordinator(shown, of, clearRun) : shown;
  }

  private stop(state: RunState, {coordinatorOrOrder: of}: RunEvent): RunState {
    const {term, worker, run} = state.coordinators[of];
    const seen = state.workers[worker];
    if (term < seen.token) return updateCoordinator(state, of, markFenced);
    const stopped = updateWorker(state, worker, one => ({
      ...one,
      token: term,
      refusedUpToRun: Math.max(one.refusedUpToRun, run),
      activeRun: one.activeRun === run ? 0 : one.activeRun,
    }));
    if (seen.unacknowledgedRun === run)
      return updateCoordinator(stopped, of, one => ({...one, knowsDone: true}));
    return updateCoordinator(stopped, of, clearRun);
  }

  private storeEnd(
    state: RunState,
    {coordinatorOrOrder: of, worker}: RunEvent,
  ): RunState {
    if (state.coordinators[of].term < state.term)
      return updateCoordinator(state, of, markFenced);
    const acknowledged = updateWorker(state, worker, one => ({
      ...one,
      unacknowledgedRun: 0,
    }));
    return {...acknowledged, storedDone: true, storedWorker: -1};
  }
}

function createCoordinator(
  term: number,
  belief: AssumedRunState,
  run: number,
  worker: number,
  knowsDone: boolean,
): RunCoordinator {
  return {term, assumedRunState: belief, run, worker, knowsDone, fenced: false};
}

/** The next coordinator closes the log to the one before, and reads it. */
function takeOver(state: RunState): RunState {
  const term = state.term + 1;
  const belief = state.storedWorker >= 0 ? B.Recovered : B.None;
  const next = createCoordinator(
    term,
    belief,
    state.storedRun,
    state.storedWorker,
    state.storedDone,
  );
  return {...state, term, coordinators: [...state.coordinators, next]};
}

/** The lease on a worker that is cut off runs out, and with it all orders that carry it. */
function expireLease(state: RunState, worker: number): RunState {
  const lapsed = updateWorker(state, worker, one => ({
    ...one,
    activeRun: 0,
    unacknowledgedRun: 0,
  }));
  return {
    ...lapsed,
    orders: inCanonicalOrder(
      state.orders.map(order =>
        order.worker === worker ? {...order, isLeaseExpired: true} : order,
      ),
    ),
  };
}

function withPartition(cut: boolean): (worker: RunWorker) => RunWorker {
  return worker => ({...worker, isPartitioned: cut});
}

function clearRun(coordinator: RunCoordinator): RunCoordinator {
  return {...coordinator, assumedRunState: B.None, worker: -1};
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
];

/** When a task may start. */
export const RUN_SPECIFICATIONS: SpecificationFactory<RunState, RunEvent> = {
  mutations: MUTATIONS,
  create: mutation => new RunSpecification(mutation),
};
