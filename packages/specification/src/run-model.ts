import {sortedBag} from './bag.js';
import {
  changeCoordinator,
  changeWorker,
  fence,
  withoutOrder,
} from './order-state.js';
import {
  Promised,
  type Invariant,
  type Mutation,
  type Specification,
  type Subject,
} from './specification.js';

/** What a coordinator believes of the task's last run. */
export enum RunBelief {
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
  readonly belief: RunBelief;
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
  readonly barred: number;
  /** Run that is alive; 0 for none. */
  readonly alive: number;
  /** Run that has ended as done and is not acknowledged; 0 for none. */
  readonly ended: number;
  readonly cut: boolean;
}

/** An order to start that may arrive at any time. */
export interface RunOrder {
  readonly term: number;
  readonly run: number;
  readonly worker: number;
  /** The lease that it carries has run out. */
  readonly late: boolean;
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
  readonly cutsLeft: number;
  readonly startedAfterDone: boolean;
}

/** What may happen. */
export enum RunEventType {
  /** A coordinator stores a run on a worker. */
  Store = 'store',
  Send = 'send',
  Arrive = 'arrive',
  Lose = 'lose',
  /** A coordinator looks at a worker that answers. */
  Look = 'look',
  /** A stop that is answered. */
  Stop = 'stop',
  Finish = 'finish',
  /** A done end that was read is stored, then acknowledged. */
  StoreEnd = 'store end',
  TakeOver = 'take over',
  Cut = 'cut',
  Heal = 'heal',
  /** Time passes: a lease on a worker that is cut off runs out. */
  Lapse = 'lapse',
  /** A coordinator knows that the lease on a worker is over. */
  LeaseOver = 'lease over',
}

/** One thing that happens. */
export interface RunEvent {
  readonly type: RunEventType;
  /** Coordinator, or index of an order. */
  readonly of: number;
  readonly worker: number;
}

/** Safeguards that a mutation takes out. */
export enum RunMutation {
  SendBeforeStore = 'send-before-store',
  UnansweredIsNotRun = 'unanswered-is-not-run',
  SilenceIsDeath = 'silence-is-death',
  NoFence = 'no-fence',
  NoBar = 'no-bar',
}

const WORKERS = [0, 1];
const MAXIMUM_RUN = 2;
const MAXIMUM_TERM = 2;
const AT_MOST_ONE = 'never two runs of the task at the same time';
const NOT_AFTER_DONE = 'no run begins after an end as done was acknowledged';
const T = RunEventType;
const M = RunMutation;
const B = RunBelief;

/** The rule for when a task may start, over leases, late orders and a change of coordinator. */
class RunSpecification implements Specification<RunState, RunEvent> {
  readonly name = 'run (2 workers, 2 terms, 2 runs)';
  readonly bounds =
    '1 task, 2 workers, 2 terms, 2 runs, 1 cut; orders late or lost in any order';
  readonly initial: RunState = {
    storedRun: 0,
    storedWorker: -1,
    storedDone: false,
    term: 1,
    coordinators: [coordinatorOf(1, B.None, 0, -1, false)],
    workers: WORKERS.map(() => ({
      token: 0,
      barred: 0,
      alive: 0,
      ended: 0,
      cut: false,
    })),
    orders: [],
    cutsLeft: 1,
    startedAfterDone: false,
  };
  readonly invariants: ReadonlyArray<Invariant<RunState>> = [
    {
      promise: Promised.AtMostOnce,
      name: AT_MOST_ONE,
      holds: ({workers}) => workers.filter(one => one.alive > 0).length <= 1,
    },
    {
      promise: Promised.AtMostOnce,
      name: NOT_AFTER_DONE,
      holds: ({startedAfterDone}) => !startedAfterDone,
    },
  ];

  constructor(private readonly mutation: string | undefined) {}

  describe({type, of, worker}: RunEvent): string {
    const where = worker >= 0 ? ` at worker ${worker}` : '';
    return `${type} (${of})${where}`;
  }

  events(state: RunState): RunEvent[] {
    const events: RunEvent[] = [];
    const add = (type: RunEventType, of: number, worker: number) =>
      events.push({type, of, worker});
    state.coordinators.forEach((coordinator, of) =>
      this.addCoordinatorEvents(state, coordinator, of, add),
    );
    state.orders.forEach((order, of) => {
      if (!state.workers[order.worker].cut) add(T.Arrive, of, order.worker);
      add(T.Lose, of, order.worker);
    });
    state.workers.forEach((worker, index) => {
      if (worker.alive > 0) add(T.Finish, -1, index);
      if (!worker.cut && state.cutsLeft > 0) add(T.Cut, -1, index);
      if (worker.cut) {
        add(T.Heal, -1, index);
        add(T.Lapse, -1, index);
      }
    });
    if (state.term < MAXIMUM_TERM) add(T.TakeOver, -1, -1);
    return events;
  }

  step(state: RunState, event: RunEvent): RunState {
    switch (event.type) {
      case T.Store:
        return this.store(state, event);
      case T.Send:
        return this.send(state, event);
      case T.Arrive:
        return this.arrive(state, event);
      case T.Lose:
        return withoutOrder(state, event.of);
      case T.Look:
        return this.look(state, event);
      case T.Stop:
        return this.stop(state, event);
      case T.Finish:
        return changeWorker(state, event.worker, worker => ({
          ...worker,
          alive: 0,
          ended: worker.alive,
        }));
      case T.StoreEnd:
        return this.storeEnd(state, event);
      case T.TakeOver:
        return takeOver(state);
      case T.Cut:
        return {
          ...changeWorker(state, event.worker, cutOff(true)),
          cutsLeft: state.cutsLeft - 1,
        };
      case T.Heal:
        return changeWorker(state, event.worker, cutOff(false));
      case T.Lapse:
        return lapse(state, event.worker);
      case T.LeaseOver:
        return changeCoordinator(state, event.of, forgetRun);
    }
  }

  private addCoordinatorEvents(
    state: RunState,
    coordinator: RunCoordinator,
    of: number,
    add: (type: RunEventType, of: number, worker: number) => void,
  ): void {
    if (coordinator.fenced) return;
    const {belief, worker, run} = coordinator;
    if (coordinator.knowsDone) {
      if (!state.storedDone) add(T.StoreEnd, of, worker);
      return;
    }
    if (belief === B.None) {
      if (run < MAXIMUM_RUN)
        for (const target of WORKERS) add(T.Store, of, target);
      return;
    }
    if (belief === B.Stored) add(T.Send, of, worker);
    if (this.isLeaseOver(state, coordinator)) add(T.LeaseOver, of, worker);
    if (state.workers[worker].cut) return;
    if (belief !== B.Stored) {
      add(T.Look, of, worker);
      add(T.Stop, of, worker);
    }
  }

  /** Nothing that was started on the worker, or is on its way there, can be alive. */
  private isLeaseOver(
    state: RunState,
    {belief, worker}: RunCoordinator,
  ): boolean {
    if (belief === B.Stored || !state.workers[worker].cut) return false;
    if (this.mutation === M.SilenceIsDeath) return true;
    const coming = state.orders.some(
      order => order.worker === worker && !order.late,
    );
    // A paused coordinator may still send an order whose lease began while its term was good.
    const pausedSender = state.coordinators.some(
      other => other.belief === B.Stored && other.worker === worker,
    );
    return state.workers[worker].alive === 0 && !coming && !pausedSender;
  }

  private store(state: RunState, {of, worker}: RunEvent): RunState {
    const coordinator = state.coordinators[of];
    const run = coordinator.run + 1;
    if (this.mutation === M.SendBeforeStore)
      return this.send(
        changeCoordinator(state, of, one => ({
          ...one,
          belief: B.Stored,
          run,
          worker,
        })),
        {type: T.Send, of, worker},
      );
    if (coordinator.term < state.term)
      return changeCoordinator(state, of, fence);
    return changeCoordinator(
      {...state, storedRun: run, storedWorker: worker},
      of,
      one => ({...one, belief: B.Stored, run, worker}),
    );
  }

  private send(state: RunState, {of}: RunEvent): RunState {
    const {term, run, worker} = state.coordinators[of];
    const order: RunOrder = {term, run, worker, late: false};
    return changeCoordinator(
      {...state, orders: sortedBag([...state.orders, order])},
      of,
      one => ({...one, belief: B.Sent}),
    );
  }

  private arrive(state: RunState, {of}: RunEvent): RunState {
    const order = state.orders[of];
    const next = withoutOrder(state, of);
    const worker = state.workers[order.worker];
    const isFenced = this.mutation !== M.NoFence && order.term < worker.token;
    const isBarred = this.mutation !== M.NoBar && order.run <= worker.barred;
    if (isFenced || order.late || isBarred) return next;
    const started = changeWorker(next, order.worker, one => ({
      ...one,
      token: Math.max(one.token, order.term),
      barred: Math.max(one.barred, order.run),
      alive: order.run,
    }));
    return {
      ...started,
      startedAfterDone: state.startedAfterDone || state.storedDone,
    };
  }

  private look(state: RunState, {of}: RunEvent): RunState {
    const {term, worker, run, belief} = state.coordinators[of];
    const seen = state.workers[worker];
    if (term < seen.token) return changeCoordinator(state, of, fence);
    const shown = changeWorker(state, worker, one => ({...one, token: term}));
    if (seen.ended === run && run > 0)
      return changeCoordinator(shown, of, one => ({...one, knowsDone: true}));
    if (seen.alive === run) return shown;
    // Neither alive nor ended: a recovered run never will be, since the token is shown. One that we
    // have sent may still arrive.
    const never =
      belief === B.Recovered || this.mutation === M.UnansweredIsNotRun;
    return never ? changeCoordinator(shown, of, forgetRun) : shown;
  }

  private stop(state: RunState, {of}: RunEvent): RunState {
    const {term, worker, run} = state.coordinators[of];
    const seen = state.workers[worker];
    if (term < seen.token) return changeCoordinator(state, of, fence);
    const stopped = changeWorker(state, worker, one => ({
      ...one,
      token: term,
      barred: Math.max(one.barred, run),
      alive: one.alive === run ? 0 : one.alive,
    }));
    if (seen.ended === run)
      return changeCoordinator(stopped, of, one => ({...one, knowsDone: true}));
    return changeCoordinator(stopped, of, forgetRun);
  }

  private storeEnd(state: RunState, {of, worker}: RunEvent): RunState {
    if (state.coordinators[of].term < state.term)
      return changeCoordinator(state, of, fence);
    const acknowledged = changeWorker(state, worker, one => ({
      ...one,
      ended: 0,
    }));
    return {...acknowledged, storedDone: true, storedWorker: -1};
  }
}

function coordinatorOf(
  term: number,
  belief: RunBelief,
  run: number,
  worker: number,
  knowsDone: boolean,
): RunCoordinator {
  return {term, belief, run, worker, knowsDone, fenced: false};
}

/** The next coordinator closes the log to the one before, and reads it. */
function takeOver(state: RunState): RunState {
  const term = state.term + 1;
  const belief = state.storedWorker >= 0 ? B.Recovered : B.None;
  const next = coordinatorOf(
    term,
    belief,
    state.storedRun,
    state.storedWorker,
    state.storedDone,
  );
  return {...state, term, coordinators: [...state.coordinators, next]};
}

/** The lease on a worker that is cut off runs out, and with it all orders that carry it. */
function lapse(state: RunState, worker: number): RunState {
  const lapsed = changeWorker(state, worker, one => ({
    ...one,
    alive: 0,
    ended: 0,
  }));
  return {
    ...lapsed,
    orders: sortedBag(
      state.orders.map(order =>
        order.worker === worker ? {...order, late: true} : order,
      ),
    ),
  };
}

function cutOff(cut: boolean): (worker: RunWorker) => RunWorker {
  return worker => ({...worker, cut});
}

function forgetRun(coordinator: RunCoordinator): RunCoordinator {
  return {...coordinator, belief: B.None, worker: -1};
}

const MUTATIONS: readonly Mutation[] = [
  {
    name: M.SendBeforeStore,
    without: 'a run is stored before its order is sent',
    breaks: AT_MOST_ONE,
  },
  {
    name: M.UnansweredIsNotRun,
    without: 'an order without an answer counts until a stop is answered',
    breaks: AT_MOST_ONE,
  },
  {
    name: M.SilenceIsDeath,
    without: 'the lease of a silent worker is waited out',
    breaks: AT_MOST_ONE,
  },
  {
    name: M.NoFence,
    without: 'a worker refuses orders of an earlier term',
    breaks: AT_MOST_ONE,
  },
  {
    name: M.NoBar,
    without: 'a worker refuses a run that it was told to stop',
    breaks: AT_MOST_ONE,
  },
];

/** When a task may start. */
export const RUNS: Subject<RunState, RunEvent> = {
  mutations: MUTATIONS,
  make: mutation => new RunSpecification(mutation),
};
