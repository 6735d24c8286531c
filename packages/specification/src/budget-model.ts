import {
  Promised,
  type Invariant,
  type Mutation,
  type Specification,
  type Subject,
} from './specification.js';
import {changeAt} from './change-at.js';

/** Kinds of records about drains and the planner's term. */
export enum BudgetRecordKind {
  TermTaken = 'term_taken',
  DrainStarted = 'drain_started',
  DrainEnded = 'drain_ended',
}

/** One record of a planner. */
export interface BudgetRecord {
  readonly kind: BudgetRecordKind;
  readonly planner: number;
  readonly term: number;
  readonly vm: number;
  /** For an end: offset of the drain that it ends. */
  readonly startedAt: number;
}

/** What the fold says. */
export interface FoldedBudget {
  readonly term: number;
  readonly holder: number;
  /** By VM: offset of the drain that has it out; -1 when it is in service. */
  readonly drains: readonly number[];
}

/** A planner: it decides on what it has read. */
export interface BudgetPlanner {
  readonly read: number;
  /** Records on their way, oldest first; any may land late. */
  readonly saying: readonly BudgetRecord[];
  /** By VM: the drain that it is done with; -1 before the first. */
  readonly done: readonly number[];
}

/** The whole state: what is agreed, and how the VMs really are. */
export interface BudgetState {
  readonly log: readonly BudgetRecord[];
  readonly planners: readonly BudgetPlanner[];
  /** Offset of the drain under which a VM reboots; -1 when it does not. */
  readonly rebooting: readonly number[];
  readonly failed: readonly boolean[];
  readonly drainsLeft: number;
  readonly failuresLeft: number;
  readonly termsLeft: number;
  readonly copiesLeft: number;
  /** Copies of records that landed, still on their way. */
  readonly copies: readonly BudgetRecord[];
}

/** Bounds of one exploration. */
export interface BudgetBounds {
  readonly planners: number;
  readonly drains: number;
  readonly copies: number;
}

/** What may happen. */
export enum BudgetEventType {
  Read = 'read',
  /** A planner takes the role; it believes in it when it reads it back. */
  TakeTerm = 'take_term',
  Propose = 'propose',
  /** The oldest record that a planner said lands. */
  Land = 'land',
  /** It lands, and a copy is still under way. */
  LandTwice = 'land_twice',
  /** A copy of a record lands, however late. */
  LandCopy = 'land_copy',
  /** A planner whose drain stands in the log reboots the VM. */
  Reboot = 'reboot',
  /** The VM is back; its planner says so. */
  Return = 'return',
  Fail = 'fail',
}

/** One thing that happens. */
export interface BudgetEvent {
  readonly type: BudgetEventType;
  readonly planner: number;
  readonly vm: number;
}

/** Safeguards that a mutation takes out. */
export enum BudgetMutation {
  PlannerChecksAlone = 'planner-checks-alone',
  NoReserve = 'no-reserve',
  EndAnyDrain = 'end-any-drain',
  NoTerm = 'no-term',
  ActUnread = 'act-unread',
  ActLate = 'act-late',
}

const VMS = [0, 1, 2];
/** The VMs are alike: those that drain and the one that fails are named beforehand. */
const DRAINED = [0, 1];
const FAILING = 2;
const NEEDED = 1;
const LARGEST_LOSS = 1;

const BUDGET_HELD =
  'the service keeps its VMs through drains and the failure that its budget names';
const ONE_PLANNER = 'nothing of an older term takes effect after a newer one';

const T = BudgetEventType;
const K = BudgetRecordKind;
const M = BudgetMutation;

const FIRST: FoldedBudget = {
  term: 0,
  holder: -1,
  drains: VMS.map(() => -1),
};

/** Whether one more VM may leave by plan. */
function allows({drains}: FoldedBudget, vm: number, reserve: number): boolean {
  if (drains[vm] >= 0) return false;
  const available = VMS.filter(of => drains[of] < 0).length;
  return available - 1 - reserve >= NEEDED;
}

/** Three VMs of one service that needs one, and must live through the loss of one. */
class BudgetSpecification implements Specification<BudgetState, BudgetEvent> {
  readonly name: string;
  readonly bounds: string;
  readonly initial: BudgetState;
  readonly invariants: ReadonlyArray<Invariant<BudgetState>> = [
    {
      promise: Promised.BudgetHeld,
      name: BUDGET_HELD,
      holds: ({rebooting, failed}) =>
        VMS.filter(vm => rebooting[vm] < 0 && !failed[vm]).length >= NEEDED,
    },
    {
      promise: Promised.BudgetHeld,
      name: ONE_PLANNER,
      holds: ({log}) => {
        const terms = this.effective(log);
        return terms.every((term, at) => at === 0 || term >= terms[at - 1]);
      },
    },
  ];

  constructor(
    {planners, drains, copies}: BudgetBounds,
    private readonly mutation: string | undefined,
  ) {
    this.name = `budget (${planners} planners, ${drains} drains, 1 failure, ${copies} doubled)`;
    this.bounds = `3 VMs, 1 needed after the loss of 1; ${planners} planners, each once in office, ${drains} drains, 1 failure, ${copies} doubled records, any record late`;
    this.initial = {
      log: [],
      planners: Array.from({length: planners}, () => ({
        read: 0,
        saying: [],
        done: VMS.map(() => -1),
      })),
      rebooting: VMS.map(() => -1),
      failed: VMS.map(() => false),
      drainsLeft: drains,
      failuresLeft: 1,
      termsLeft: planners,
      copiesLeft: copies,
      copies: [],
    };
  }

  describe({type, planner, vm}: BudgetEvent): string {
    const at = vm < 0 ? '' : ` VM ${vm}`;
    return planner < 0 ? `${type}${at}` : `planner ${planner}: ${type}${at}`;
  }

  events(state: BudgetState): BudgetEvent[] {
    const events: BudgetEvent[] = [];
    const add = (
      type: BudgetEventType,
      planner: number,
      vm: number,
      when: boolean,
    ) => {
      if (when) events.push({type, planner, vm});
    };
    const folds = state.planners.map(({read}) =>
      this.fold(state.log.slice(0, read)),
    );
    state.planners.forEach(({read, saying}, planner) => {
      const isIdle = saying.length === 0;
      const holds = folds[planner].holder === planner;
      const mayTake = state.termsLeft > 0 && isIdle && !holds;
      add(T.Read, planner, -1, read < state.log.length);
      add(T.TakeTerm, planner, -1, mayTake && isFirst(state, planner));
      add(T.Land, planner, -1, !isIdle);
      add(T.LandTwice, planner, -1, !isIdle && state.copiesLeft > 0);
      if (holds) this.addWork(state, planner, folds[planner], add);
    });
    add(T.LandCopy, -1, -1, state.copies.length > 0);
    add(T.Fail, -1, FAILING, state.failuresLeft > 0);
    return events;
  }

  step(state: BudgetState, {type, planner, vm}: BudgetEvent): BudgetState {
    switch (type) {
      case T.Read:
        // Reading changes nothing but what is known: to stop halfway is to have read earlier.
        return withPlanner(state, planner, {read: state.log.length});
      case T.TakeTerm:
        return {
          ...this.say(state, planner, K.TermTaken, -1),
          termsLeft: state.termsLeft - 1,
        };
      case T.Propose:
        return {
          ...this.say(state, planner, K.DrainStarted, vm),
          drainsLeft: state.drainsLeft - 1,
        };
      case T.Land:
        return land(state, planner, false);
      case T.LandTwice:
        return land(state, planner, true);
      case T.LandCopy: {
        const [copy, ...copies] = state.copies;
        return {...state, log: [...state.log, copy], copies};
      }
      case T.Reboot: {
        const at = this.drainOf(state, planner, vm);
        const noted = this.noteDone(state, planner, vm, at);
        return {...noted, rebooting: replaced(state.rebooting, vm, at)};
      }
      case T.Return: {
        const noted = this.noteDone(state, planner, vm, state.rebooting[vm]);
        const rebooting = replaced(state.rebooting, vm, -1);
        return this.say({...noted, rebooting}, planner, K.DrainEnded, vm);
      }
      case T.Fail:
        return {
          ...state,
          failed: replaced(state.failed, vm, true),
          failuresLeft: state.failuresLeft - 1,
        };
    }
  }

  private addWork(
    state: BudgetState,
    planner: number,
    folded: FoldedBudget,
    add: (
      type: BudgetEventType,
      planner: number,
      vm: number,
      when: boolean,
    ) => void,
  ): void {
    const isIdle = state.planners[planner].saying.length === 0;
    const reserve = this.reserve();
    for (const vm of DRAINED) {
      const {drains} = folded;
      const sees = isIdle && state.drainsLeft > 0;
      add(T.Propose, planner, vm, sees && allows(folded, vm, reserve));
      const isOut = state.rebooting[vm] >= 0;
      const mayReboot = this.mayReboot(state, planner, vm);
      add(T.Reboot, planner, vm, !isOut && mayReboot);
      const isOwn = isOut && state.rebooting[vm] === drains[vm];
      add(T.Return, planner, vm, isIdle && isOwn);
    }
  }

  // The log cannot stop a call to the platform by a planner that is paused between its
  // decision and the call. It is assumed that the platform refuses it: the call names the
  // lease of the planner, which a new term has ended.
  private mayReboot(state: BudgetState, planner: number, vm: number): boolean {
    const drain = this.drainOf(state, planner, vm);
    if (drain < 0 || drain <= state.planners[planner].done[vm]) return false;
    if (this.mutation === M.ActUnread || this.mutation === M.ActLate)
      return true;
    const {holder, drains} = this.fold(state.log);
    return holder === planner && drains[vm] === drain;
  }

  /** The drain on which a planner may act: one that it has read in the log. */
  private drainOf(state: BudgetState, planner: number, vm: number): number {
    const {read, saying} = state.planners[planner];
    const known = this.fold(state.log.slice(0, read));
    if (this.mutation === M.ActUnread) {
      const isSaid = saying.some(
        record => record.kind === K.DrainStarted && record.vm === vm,
      );
      if (isSaid) return state.log.length;
    }
    return known.drains[vm];
  }

  /** A planner acts once under one drain, and not at all after it said that it ended. */
  private noteDone(
    state: BudgetState,
    planner: number,
    vm: number,
    drain: number,
  ): BudgetState {
    const {done} = state.planners[planner];
    return withPlanner(state, planner, {done: replaced(done, vm, drain)});
  }

  private say(
    state: BudgetState,
    planner: number,
    kind: BudgetRecordKind,
    vm: number,
  ): BudgetState {
    const {read, saying} = state.planners[planner];
    const {term, drains} = this.fold(state.log.slice(0, read));
    const startedAt = kind === K.DrainEnded ? drains[vm] : -1;
    const record = {kind, planner, term, vm, startedAt};
    return withPlanner(state, planner, {saying: [...saying, record]});
  }

  private fold(log: readonly BudgetRecord[]): FoldedBudget {
    return log.reduce<FoldedBudget>(
      (state, record, offset) => this.apply(state, record, offset) ?? state,
      FIRST,
    );
  }

  /** Terms of the records that took effect, in their order. */
  private effective(log: readonly BudgetRecord[]): number[] {
    const terms: number[] = [];
    let state = FIRST;
    log.forEach((record, offset) => {
      const next = this.apply(state, record, offset);
      if (!next) return;
      terms.push(record.kind === K.TermTaken ? next.term : record.term);
      state = next;
    });
    return terms;
  }

  /** Undefined when the record is rejected. */
  private apply(
    state: FoldedBudget,
    record: BudgetRecord,
    offset: number,
  ): FoldedBudget | undefined {
    const {kind, planner, term, vm, startedAt} = record;
    if (kind === K.TermTaken) {
      if (term !== state.term) return undefined;
      return {...state, term: term + 1, holder: planner};
    }
    const isStale = term !== state.term || planner !== state.holder;
    if (isStale && this.mutation !== M.NoTerm) return undefined;
    const {drains} = state;
    switch (kind) {
      case K.DrainStarted: {
        const checks = this.mutation !== M.PlannerChecksAlone;
        const isAllowed = checks
          ? allows(state, vm, this.reserve())
          : drains[vm] < 0;
        if (!isAllowed) return undefined;
        return {...state, drains: replaced(drains, vm, offset)};
      }
      case K.DrainEnded: {
        const isNamed = drains[vm] === startedAt;
        const isAny = this.mutation === M.EndAnyDrain && drains[vm] >= 0;
        if (!isNamed && !isAny) return undefined;
        return {...state, drains: replaced(drains, vm, -1)};
      }
    }
  }

  private reserve(): number {
    return this.mutation === M.NoReserve ? 0 : LARGEST_LOSS;
  }
}

// The planners are alike, so the first term may as well be the first planner's.
function isFirst(state: BudgetState, planner: number): boolean {
  return planner === 0 || state.log.length > 0;
}

function land(
  state: BudgetState,
  planner: number,
  twice: boolean,
): BudgetState {
  const [record, ...saying] = state.planners[planner].saying;
  const landed = withPlanner(state, planner, {saying});
  const {copies, copiesLeft} = state;
  return {
    ...landed,
    log: [...state.log, record],
    copies: twice ? [...copies, record] : copies,
    copiesLeft: copiesLeft - (twice ? 1 : 0),
  };
}

function withPlanner(
  state: BudgetState,
  planner: number,
  change: Partial<BudgetPlanner>,
): BudgetState {
  const planners = changeAt(state.planners, planner, change);
  return {...state, planners};
}

function replaced<Value>(
  values: readonly Value[],
  place: number,
  value: Value,
): readonly Value[] {
  return values.map((item, at) => (at === place ? value : item));
}

const ONE_PLANNER_MUTATIONS: readonly Mutation[] = [
  {
    name: M.NoReserve,
    without: 'keeping the largest failure in reserve',
    breaks: BUDGET_HELD,
  },
  {
    name: M.EndAnyDrain,
    without: 'the identity of the drain in the record that ends it',
    breaks: BUDGET_HELD,
  },
  {
    name: M.ActUnread,
    without: 'reading a drain back before the VM is rebooted',
    breaks: BUDGET_HELD,
  },
];

const TWO_PLANNERS_MUTATIONS: readonly Mutation[] = [
  {
    name: M.PlannerChecksAlone,
    without: 'the check of the budget in the fold',
    breaks: BUDGET_HELD,
  },
  {
    name: M.ActLate,
    without: 'the platform refusing the call of a planner whose term is over',
    breaks: BUDGET_HELD,
  },
  {
    name: M.NoTerm,
    without: 'the fence of the planner by its term',
    breaks: ONE_PLANNER,
  },
];

/** The availability budget of one service, within the given bounds. */
export function budgetWithin(
  bounds: BudgetBounds,
): Subject<BudgetState, BudgetEvent> {
  return {
    mutations:
      bounds.planners > 1 ? TWO_PLANNERS_MUTATIONS : ONE_PLANNER_MUTATIONS,
    make: mutation => new BudgetSpecification(bounds, mutation),
  };
}
