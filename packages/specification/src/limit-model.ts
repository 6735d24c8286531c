import {sortedBag} from './bag.js';
import {replaceAt} from './change-at.js';
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

/** What a coordinator believes of the last run of a task. */
export enum LimitBelief {
  /** Nothing of it is alive. */
  None = 'none',
  /** In the log, the order not sent yet. */
  Stored = 'stored',
  /** Sent, and not seen since. */
  Sent = 'sent',
  /** Seen alive. */
  Seen = 'seen',
  /** Read from the log of an earlier coordinator. */
  Recovered = 'recovered',
  /** Told to stop, which takes a while. */
  Stopping = 'stopping',
}

/** A coordinator of one term, with its belief about each task. */
export interface LimitCoordinator {
  readonly term: number;
  readonly fenced: boolean;
  readonly beliefs: readonly LimitBelief[];
  /** Number of the last run of each task. */
  readonly runs: readonly number[];
}

/** The worker of one task. */
export interface LimitWorker {
  readonly token: number;
  /** This run and earlier ones are refused. */
  readonly barred: number;
  /** Run that is alive; 0 for none. */
  readonly alive: number;
  readonly stopping: boolean;
  readonly cut: boolean;
}

/** An order to start that may arrive at any time. */
export interface LimitOrder {
  readonly term: number;
  readonly task: number;
  readonly run: number;
  /** The lease that it carries has run out. */
  readonly late: boolean;
}

/** The whole state: two tasks of one organisation, each with its own worker; the limit is one of them. */
export interface LimitState {
  readonly storedRuns: readonly number[];
  readonly term: number;
  readonly coordinators: readonly LimitCoordinator[];
  readonly workers: readonly LimitWorker[];
  readonly orders: readonly LimitOrder[];
  readonly cutsLeft: number;
}

/** What may happen. */
export enum LimitEventType {
  Store = 'store',
  Send = 'send',
  Arrive = 'arrive',
  Lose = 'lose',
  Look = 'look',
  AskStop = 'ask stop',
  StopEnds = 'stop ends',
  Finish = 'finish',
  TakeOver = 'take over',
  Cut = 'cut',
  Heal = 'heal',
  Lapse = 'lapse',
  LeaseOver = 'lease over',
}

/** One thing that happens. */
export interface LimitEvent {
  readonly type: LimitEventType;
  /** Coordinator, or index of an order. */
  readonly of: number;
  readonly task: number;
}

/** Safeguards that a mutation takes out. */
export enum LimitMutation {
  UnansweredIsFree = 'unanswered-is-free',
  SuccessorCountsNothing = 'successor-counts-nothing',
  StopIsEnd = 'stop-is-end',
  SilenceIsDeath = 'silence-is-death',
  SendBeforeStore = 'send-before-store',
  NoFence = 'no-fence',
}

const TASKS = [0, 1];
const LIMIT = 1;
const MAXIMUM_RUN = 1;
const MAXIMUM_TERM = 2;
const WITHIN_LIMIT =
  'never more tasks of the organisation alive than its limit';
const T = LimitEventType;
const M = LimitMutation;
const B = LimitBelief;

/** When a task may start as its organisation's limit allows, over late orders, stops, cuts and a change of coordinator. */
class LimitSpecification implements Specification<LimitState, LimitEvent> {
  readonly name = 'limit (2 tasks, limit 1, 2 terms, 1 run each)';
  readonly bounds =
    '2 tasks, 2 workers, limit of 1 task, 2 terms, 1 run each, 1 cut; orders late or lost in any order';
  readonly initial: LimitState = {
    storedRuns: TASKS.map(() => 0),
    term: 1,
    coordinators: [
      {
        term: 1,
        fenced: false,
        beliefs: TASKS.map(() => B.None),
        runs: TASKS.map(() => 0),
      },
    ],
    workers: TASKS.map(() => ({
      token: 0,
      barred: 0,
      alive: 0,
      stopping: false,
      cut: false,
    })),
    orders: [],
    cutsLeft: 1,
  };
  readonly invariants: ReadonlyArray<Invariant<LimitState>> = [
    {
      promise: Promised.BudgetHeld,
      name: WITHIN_LIMIT,
      holds: ({workers}) =>
        workers.filter(({alive}) => alive > 0).length <= LIMIT,
    },
  ];

  constructor(private readonly mutation: string | undefined) {}

  describe({type, of, task}: LimitEvent): string {
    return `${type} (${of})${task >= 0 ? ` task ${task}` : ''}`;
  }

  events(state: LimitState): LimitEvent[] {
    const events: LimitEvent[] = [];
    const add = (type: LimitEventType, of: number, task: number) =>
      events.push({type, of, task});
    state.coordinators.forEach((coordinator, of) => {
      if (coordinator.fenced) return;
      for (const task of TASKS)
        for (const type of this.coordinatorEvents(state, coordinator, task))
          add(type, of, task);
    });
    state.orders.forEach(({task}, of) => {
      if (!state.workers[task].cut) add(T.Arrive, of, task);
      add(T.Lose, of, task);
    });
    state.workers.forEach((worker, task) => {
      if (worker.alive > 0) add(T.Finish, -1, task);
      if (worker.alive > 0 && worker.stopping) add(T.StopEnds, -1, task);
      if (!worker.cut && state.cutsLeft > 0) add(T.Cut, -1, task);
      if (!worker.cut) return;
      add(T.Heal, -1, task);
      add(T.Lapse, -1, task);
    });
    if (state.term < MAXIMUM_TERM) add(T.TakeOver, -1, -1);
    return events;
  }

  step(state: LimitState, event: LimitEvent): LimitState {
    const {of, task} = event;
    switch (event.type) {
      case T.Store:
        return this.store(state, of, task);
      case T.Send:
        return send(state, of, task);
      case T.Arrive:
        return this.arrive(state, of);
      case T.Lose:
        return withoutOrder(state, of);
      case T.Look:
        return look(state, of, task);
      case T.AskStop:
        return askStop(state, of, task);
      case T.StopEnds:
      case T.Finish:
        return changeWorker(state, task, end);
      case T.TakeOver:
        return takeOver(state);
      case T.Cut:
        return {
          ...changeWorker(state, task, one => ({...one, cut: true})),
          cutsLeft: state.cutsLeft - 1,
        };
      case T.Heal:
        return changeWorker(state, task, one => ({...one, cut: false}));
      case T.Lapse:
        return lapse(state, task);
      case T.LeaseOver:
        return believe(state, of, task, B.None);
    }
  }

  private coordinatorEvents(
    state: LimitState,
    coordinator: LimitCoordinator,
    task: number,
  ): LimitEventType[] {
    const belief = coordinator.beliefs[task];
    if (belief === B.None)
      return this.mayStart(coordinator, task) ? [T.Store] : [];
    if (belief === B.Stored) return [T.Send];
    const events: LimitEventType[] = [];
    if (this.isLeaseOver(state, task)) events.push(T.LeaseOver);
    if (state.workers[task].cut) return events;
    events.push(T.Look);
    if (belief !== B.Stopping) events.push(T.AskStop);
    return events;
  }

  /** What may be alive counts, whatever is known of it. */
  private mayStart({beliefs, runs}: LimitCoordinator, task: number): boolean {
    const counted = beliefs.filter(belief => !this.isFree(belief)).length;
    return runs[task] < MAXIMUM_RUN && counted < LIMIT;
  }

  private isFree(belief: LimitBelief): boolean {
    if (this.mutation === M.UnansweredIsFree && belief === B.Sent) return true;
    if (this.mutation === M.StopIsEnd && belief === B.Stopping) return true;
    const isBlind = this.mutation === M.SuccessorCountsNothing;
    if (isBlind && belief === B.Recovered) return true;
    return belief === B.None;
  }

  /** Nothing that was started on the task's worker, or is on its way there, can be alive. */
  private isLeaseOver(state: LimitState, task: number): boolean {
    const {cut, alive} = state.workers[task];
    if (!cut) return false;
    if (this.mutation === M.SilenceIsDeath) return true;
    const coming = state.orders.some(
      order => order.task === task && !order.late,
    );
    // A paused coordinator may still send an order whose lease began while its term was good.
    const pausedSender = state.coordinators.some(
      ({beliefs}) => beliefs[task] === B.Stored,
    );
    return alive === 0 && !coming && !pausedSender;
  }

  private store(state: LimitState, of: number, task: number): LimitState {
    const coordinator = state.coordinators[of];
    const run = coordinator.runs[task] + 1;
    const planned = changeCoordinator(state, of, one => ({
      ...one,
      runs: replaceAt(one.runs, task, run),
      beliefs: replaceAt(one.beliefs, task, B.Stored),
    }));
    if (this.mutation === M.SendBeforeStore) return send(planned, of, task);
    // The log is closed to earlier terms.
    if (coordinator.term < state.term)
      return changeCoordinator(state, of, fence);
    return {...planned, storedRuns: replaceAt(state.storedRuns, task, run)};
  }

  private arrive(state: LimitState, of: number): LimitState {
    const {term, task, run, late} = state.orders[of];
    const next = withoutOrder(state, of);
    const worker = state.workers[task];
    const isFenced = this.mutation !== M.NoFence && term < worker.token;
    if (isFenced || late || run <= worker.barred) return next;
    return changeWorker(next, task, one => ({
      ...one,
      token: Math.max(one.token, term),
      barred: run,
      alive: run,
      stopping: false,
    }));
  }
}

function send(state: LimitState, of: number, task: number): LimitState {
  const {term, runs} = state.coordinators[of];
  const order: LimitOrder = {term, task, run: runs[task], late: false};
  return {
    ...believe(state, of, task, B.Sent),
    orders: sortedBag([...state.orders, order]),
  };
}

function look(state: LimitState, of: number, task: number): LimitState {
  const {term, runs, beliefs} = state.coordinators[of];
  const seen = state.workers[task];
  if (term < seen.token) return changeCoordinator(state, of, fence);
  const shown = changeWorker(state, task, one => ({...one, token: term}));
  if (seen.alive === runs[task])
    return beliefs[task] === B.Stopping
      ? shown
      : believe(shown, of, task, B.Seen);
  // An order that was sent and has not come may still come; one of an earlier term can't, now that the token is shown.
  const mayCome = beliefs[task] === B.Sent && seen.barred < runs[task];
  return mayCome ? shown : believe(shown, of, task, B.None);
}

/** A stop that is answered: the run is barred, and ends a while later if it is alive. */
function askStop(state: LimitState, of: number, task: number): LimitState {
  const {term, runs} = state.coordinators[of];
  const seen = state.workers[task];
  if (term < seen.token) return changeCoordinator(state, of, fence);
  const stopped = changeWorker(state, task, one => ({
    ...one,
    token: term,
    barred: Math.max(one.barred, runs[task]),
    stopping: one.alive === runs[task],
  }));
  return believe(stopped, of, task, B.Stopping);
}

/** The next coordinator closes the log to the one before, and counts every run that it finds there. */
function takeOver(state: LimitState): LimitState {
  const term = state.term + 1;
  const next: LimitCoordinator = {
    term,
    fenced: false,
    beliefs: state.storedRuns.map(run => (run > 0 ? B.Recovered : B.None)),
    runs: state.storedRuns,
  };
  return {...state, term, coordinators: [...state.coordinators, next]};
}

/** The lease on a worker that is cut off runs out, and with it all orders that carry it. */
function lapse(state: LimitState, task: number): LimitState {
  return {
    ...changeWorker(state, task, end),
    orders: sortedBag(
      state.orders.map(order =>
        order.task === task ? {...order, late: true} : order,
      ),
    ),
  };
}

function end(worker: LimitWorker): LimitWorker {
  return {...worker, alive: 0, stopping: false};
}

function believe(
  state: LimitState,
  of: number,
  task: number,
  belief: LimitBelief,
): LimitState {
  return changeCoordinator(state, of, one => ({
    ...one,
    beliefs: replaceAt(one.beliefs, task, belief),
  }));
}

const MUTATIONS: readonly Mutation[] = [
  {
    name: M.UnansweredIsFree,
    without: 'an order without an answer counts',
    breaks: WITHIN_LIMIT,
  },
  {
    name: M.SuccessorCountsNothing,
    without: 'a coordinator counts what the one before has stored',
    breaks: WITHIN_LIMIT,
  },
  {
    name: M.StopIsEnd,
    without: 'a run counts until its end is seen, not until it is told to stop',
    breaks: WITHIN_LIMIT,
  },
  {
    name: M.SilenceIsDeath,
    without: 'the lease of a silent worker is waited out',
    breaks: WITHIN_LIMIT,
  },
  {
    name: M.SendBeforeStore,
    without: 'a run is stored before its order is sent',
    breaks: WITHIN_LIMIT,
  },
  {
    name: M.NoFence,
    without: 'a worker refuses orders of an earlier term',
    breaks: WITHIN_LIMIT,
  },
];

/** When an organisation's limit lets a task start. */
export const LIMITS: Subject<LimitState, LimitEvent> = {
  mutations: MUTATIONS,
  make: mutation => new LimitSpecification(mutation),
};
