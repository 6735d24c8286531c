import {
  Guarantee,
  type Invariant,
  type Mutation,
  type Specification,
  type SpecificationFactory,
} from './specification.js';
import {mergeAt} from './array-updates.js';

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
  readonly nextOffset: number;
  /** Records on their way, oldest first; any may land late. */
  readonly pendingRecords: readonly BudgetRecord[];
  /** By VM: the drain that it is done with; -1 before the first. */
  readonly lastActedDrains: readonly number[];
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
  readonly duplicatesLeft: number;
  /** Copies of records that landed, still on their way. */
  readonly pendingDuplicates: readonly BudgetRecord[];
}

/** Bounds of one exploration. */
export interface BudgetBounds {
  readonly planners: number;
  readonly drains: number;
  readonly duplicates: number;
}

/** What may happen. */
export enum BudgetEventType {
  Read = 'read',
  /** A planner takes the role; it believes in it when it reads it back. */
  TakeTerm = 'take_term',
  ProposeDrain = 'propose',
  /** The oldest record that a planner said lands. */
  Append = 'land',
  /** It lands, and a copy is still under way. */
  AppendTwice = 'land_twice',
  /** A copy of a record lands, however late. */
  AppendDuplicate = 'land_copy',
  /** A planner whose drain stands in the log reboots the VM. */
  Reboot = 'reboot',
  /** The VM is back; its planner says so. */
  FinishReboot = 'return',
  FailVm = 'fail',
}

/** One thing that happens. */
export interface BudgetEvent {
  readonly type: BudgetEventType;
  readonly planner: number;
  readonly vm: number;
}

/** Safeguards that a mutation takes out. */
export enum BudgetMutation {
  NoBudgetCheckInFold = 'planner-checks-alone',
  NoReserve = 'no-reserve',
  EndAnyDrain = 'end-any-drain',
  NoTermCheck = 'no-term',
  ActBeforeReadBack = 'act-unread',
  ActAfterTermEnd = 'act-late',
}

const VMS = [0, 1, 2];
/** The VMs are alike: those that drain and the one that fails are named beforehand. */
const DRAINABLE_VMS = [0, 1];
const FAILING_VM = 2;
const REQUIRED_VMS = 1;
const LARGEST_FAILURE_VMS = 1;

const BUDGET_HELD =
  'the service keeps its VMs through drains and the failure that its budget names';
const TERMS_IN_ORDER =
  'nothing of an older term takes effect after a newer one';

const EventType = BudgetEventType;
const RecordKind = BudgetRecordKind;
const MutationName = BudgetMutation;

const INITIAL_BUDGET: FoldedBudget = {
  term: 0,
  holder: -1,
  drains: VMS.map(() => -1),
};

/** Whether one more VM may leave by plan. */
function allowsDrain(
  {drains}: FoldedBudget,
  vm: number,
  reserve: number,
): boolean {
  if (drains[vm] >= 0) return false;
  const available = VMS.filter(of => drains[of] < 0).length;
  return available - 1 - reserve >= REQUIRED_VMS;
}

/** Three VMs of one service that needs one, and must live through the loss of one. */
class BudgetSpecification implements Specification<BudgetState, BudgetEvent> {
  readonly name: string;
  readonly bounds: string;
  readonly initialState: BudgetState;
  readonly invariants: ReadonlyArray<Invariant<BudgetState>> = [
    {
      guarantee: Guarantee.BudgetHeld,
      name: BUDGET_HELD,
      holds: ({rebooting, failed}) =>
        VMS.filter(vm => rebooting[vm] < 0 && !failed[vm]).length >=
        REQUIRED_VMS,
    },
    {
      guarantee: Guarantee.BudgetHeld,
      name: TERMS_IN_ORDER,
      holds: ({log}) => {
        const terms = this.acceptedTerms(log);
        return terms.every((term, at) => at === 0 || term >= terms[at - 1]);
      },
    },
  ];

  constructor(
    {planners, drains, duplicates: copies}: BudgetBounds,
    private readonly mutation: string | undefined,
  ) {
    this.name = `budget (${planners} planners, ${drains} drains, 1 failure, ${copies} doubled)`;
    this.bounds = `3 VMs, 1 needed after the loss of 1; ${planners} planners, each once in office, ${drains} drains, 1 failure, ${copies} doubled records, any record late`;
    this.initialState = {
      log: [],
      planners: Array.from({length: planners}, () => ({
        nextOffset: 0,
        pendingRecords: [],
        lastActedDrains: VMS.map(() => -1),
      })),
      rebooting: VMS.map(() => -1),
      failed: VMS.map(() => false),
      drainsLeft: drains,
      failuresLeft: 1,
      termsLeft: planners,
      duplicatesLeft: copies,
      pendingDuplicates: [],
    };
  }

  describe({type, planner, vm}: BudgetEvent): string {
    const at = vm < 0 ? '' : ` VM ${vm}`;
    return planner < 0 ? `${type}${at}` : `planner ${planner}: ${type}${at}`;
  }

  enabledEvents(state: BudgetState): BudgetEvent[] {
    const events: BudgetEvent[] = [];
    const add = (
      type: BudgetEventType,
      planner: number,
      vm: number,
      when: boolean,
    ) => {
      if (when) events.push({type, planner, vm});
    };
    const folds = state.planners.map(({nextOffset: read}) =>
      this.fold(state.log.slice(0, read)),
    );
    state.planners.forEach(
      ({nextOffset: read, pendingRecords: saying}, planner) => {
        const isIdle = saying.length === 0;
        const holds = folds[planner].holder === planner;
        const mayTake = state.termsLeft > 0 && isIdle && !holds;
        add(EventType.Read, planner, -1, read < state.log.length);
        add(
          EventType.TakeTerm,
          planner,
          -1,
          mayTake && isFirst(state, planner),
        );
        add(EventType.Append, planner, -1, !isIdle);
        add(
          EventType.AppendTwice,
          planner,
          -1,
          !isIdle && state.duplicatesLeft > 0,
        );
        if (holds) this.addHolderEvents(state, planner, folds[planner], add);
      },
    );
    add(EventType.AppendDuplicate, -1, -1, state.pendingDuplicates.length > 0);
    add(EventType.FailVm, -1, FAILING_VM, state.failuresLeft > 0);
    return events;
  }

  step(state: BudgetState, {type, planner, vm}: BudgetEvent): BudgetState {
    switch (type) {
      case EventType.Read:
        // Reading changes nothing but what is known: to stop halfway is to have read earlier.
        return withPlanner(state, planner, {nextOffset: state.log.length});
      case EventType.TakeTerm:
        return {
          ...this.queueRecord(state, planner, RecordKind.TermTaken, -1),
          termsLeft: state.termsLeft - 1,
        };
      case EventType.ProposeDrain:
        return {
          ...this.queueRecord(state, planner, RecordKind.DrainStarted, vm),
          drainsLeft: state.drainsLeft - 1,
        };
      case EventType.Append:
        return appendOldestPending(state, planner, false);
      case EventType.AppendTwice:
        return appendOldestPending(state, planner, true);
      case EventType.AppendDuplicate: {
        const [copy, ...copies] = state.pendingDuplicates;
        return {...state, log: [...state.log, copy], pendingDuplicates: copies};
      }
      case EventType.Reboot: {
        const at = this.drainOf(state, planner, vm);
        const noted = this.recordActedDrain(state, planner, vm, at);
        return {...noted, rebooting: withValueAt(state.rebooting, vm, at)};
      }
      case EventType.FinishReboot: {
        const noted = this.recordActedDrain(
          state,
          planner,
          vm,
          state.rebooting[vm],
        );
        const rebooting = withValueAt(state.rebooting, vm, -1);
        return this.queueRecord(
          {...noted, rebooting},
          planner,
          RecordKind.DrainEnded,
          vm,
        );
      }
      case EventType.FailVm:
        return {
          ...state,
          failed: withValueAt(state.failed, vm, true),
          failuresLeft: state.failuresLeft - 1,
        };
    }
  }

  private addHolderEvents(
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
    const isIdle = state.planners[planner].pendingRecords.length === 0;
    const reserve = this.reserve();
    for (const vm of DRAINABLE_VMS) {
      const {drains} = folded;
      const sees = isIdle && state.drainsLeft > 0;
      add(
        EventType.ProposeDrain,
        planner,
        vm,
        sees && allowsDrain(folded, vm, reserve),
      );
      const isOut = state.rebooting[vm] >= 0;
      const mayReboot = this.mayReboot(state, planner, vm);
      add(EventType.Reboot, planner, vm, !isOut && mayReboot);
      const isOwn = isOut && state.rebooting[vm] === drains[vm];
      add(EventType.FinishReboot, planner, vm, isIdle && isOwn);
    }
  }

  // The log cannot stop a call to the platform by a planner that is paused between its
  // decision and the call. It is assumed that the platform refuses it: the call names the
  // lease of the planner, which a new term has ended.
  private mayReboot(state: BudgetState, planner: number, vm: number): boolean {
    const drain = this.drainOf(state, planner, vm);
    if (drain < 0 || drain <= state.planners[planner].lastActedDrains[vm])
      return false;
    if (
      this.mutation === MutationName.ActBeforeReadBack ||
      this.mutation === MutationName.ActAfterTermEnd
    )
      return true;
    const {holder, drains} = this.fold(state.log);
    return holder === planner && drains[vm] === drain;
  }

  /** The drain on which a planner may act: one that it has read in the log. */
  private drainOf(state: BudgetState, planner: number, vm: number): number {
    const {nextOffset: read, pendingRecords: saying} = state.planners[planner];
    const known = this.fold(state.log.slice(0, read));
    if (this.mutation === MutationName.ActBeforeReadBack) {
      const isSaid = saying.some(
        record => record.kind === RecordKind.DrainStarted && record.vm === vm,
      );
      if (isSaid) return state.log.length;
    }
    return known.drains[vm];
  }

  /** A planner acts once under one drain, and not at all after it said that it ended. */
  private recordActedDrain(
    state: BudgetState,
    planner: number,
    vm: number,
    drain: number,
  ): BudgetState {
    const {lastActedDrains: done} = state.planners[planner];
    return withPlanner(state, planner, {
      lastActedDrains: withValueAt(done, vm, drain),
    });
  }

  private queueRecord(
    state: BudgetState,
    planner: number,
    kind: BudgetRecordKind,
    vm: number,
  ): BudgetState {
    const {nextOffset: read, pendingRecords: saying} = state.planners[planner];
    const {term, drains} = this.fold(state.log.slice(0, read));
    const startedAt = kind === RecordKind.DrainEnded ? drains[vm] : -1;
    const record = {kind, planner, term, vm, startedAt};
    return withPlanner(state, planner, {pendingRecords: [...saying, record]});
  }

  private fold(log: readonly BudgetRecord[]): FoldedBudget {
    return log.reduce<FoldedBudget>(
      (state, record, offset) => this.apply(state, record, offset) ?? state,
      INITIAL_BUDGET,
    );
  }

  /** Terms of the records that took effect, in their order. */
  private acceptedTerms(log: readonly BudgetRecord[]): number[] {
    const terms: number[] = [];
    let state = INITIAL_BUDGET;
    log.forEach((record, offset) => {
      const next = this.apply(state, record, offset);
      if (!next) return;
      terms.push(
        record.kind === RecordKind.TermTaken ? next.term : record.term,
      );
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
    if (kind === RecordKind.TermTaken) {
      if (term !== state.term) return undefined;
      return {...state, term: term + 1, holder: planner};
    }
    const isStale = term !== state.term || planner !== state.holder;
    if (isStale && this.mutation !== MutationName.NoTermCheck) return undefined;
    const {drains} = state;
    switch (kind) {
      case RecordKind.DrainStarted: {
        const checks = this.mutation !== MutationName.NoBudgetCheckInFold;
        const isAllowed = checks
          ? allowsDrain(state, vm, this.reserve())
          : drains[vm] < 0;
        if (!isAllowed) return undefined;
        return {...state, drains: withValueAt(drains, vm, offset)};
      }
      case RecordKind.DrainEnded: {
        const isNamed = drains[vm] === startedAt;
        const isAny =
          this.mutation === MutationName.EndAnyDrain && drains[vm] >= 0;
        if (!isNamed && !isAny) return undefined;
        return {...state, drains: withValueAt(drains, vm, -1)};
      }
    }
  }

  private reserve(): number {
    return this.mutation === MutationName.NoReserve ? 0 : LARGEST_FAILURE_VMS;
  }
}

// The planners are alike, so the first term may as well be the first planner's.
function isFirst(state: BudgetState, planner: number): boolean {
  return planner === 0 || state.log.length > 0;
}

function appendOldestPending(
  state: BudgetState,
  planner: number,
  twice: boolean,
): BudgetState {
  const [record, ...saying] = state.planners[planner].pendingRecords;
  const landed = withPlanner(state, planner, {pendingRecords: saying});
  const {pendingDuplicates: copies, duplicatesLeft: copiesLeft} = state;
  return {
    ...landed,
    log: [...state.log, record],
    pendingDuplicates: twice ? [...copies, record] : copies,
    duplicatesLeft: copiesLeft - (twice ? 1 : 0),
  };
}

function withPlanner(
  state: BudgetState,
  planner: number,
  change: Partial<BudgetPlanner>,
): BudgetState {
  const planners = mergeAt(state.planners, planner, change);
  return {...state, planners};
}

function withValueAt<Value>(
  values: readonly Value[],
  place: number,
  value: Value,
): readonly Value[] {
  return values.map((item, at) => (at === place ? value : item));
}

const ONE_PLANNER_MUTATIONS: readonly Mutation[] = [
  {
    name: MutationName.NoReserve,
    removedSafeguard: 'keeping the largest failure in reserve',
    brokenInvariant: BUDGET_HELD,
  },
  {
    name: MutationName.EndAnyDrain,
    removedSafeguard: 'the identity of the drain in the record that ends it',
    brokenInvariant: BUDGET_HELD,
  },
  {
    name: MutationName.ActBeforeReadBack,
    removedSafeguard: 'reading a drain back before the VM is rebooted',
    brokenInvariant: BUDGET_HELD,
  },
];

const TWO_PLANNERS_MUTATIONS: readonly Mutation[] = [
  {
    name: MutationName.NoBudgetCheckInFold,
    removedSafeguard: 'the check of the budget in the fold',
    brokenInvariant: BUDGET_HELD,
  },
  {
    name: MutationName.ActAfterTermEnd,
    removedSafeguard:
      'the platform refusing the call of a planner whose term is over',
    brokenInvariant: BUDGET_HELD,
  },
  {
    name: MutationName.NoTermCheck,
    removedSafeguard: 'the fence of the planner by its term',
    brokenInvariant: TERMS_IN_ORDER,
  },
];

/** The availability budget of one service, within the given bounds. */
export function budgetSpecifications(
  bounds: BudgetBounds,
): SpecificationFactory<BudgetState, BudgetEvent> {
  return {
    mutations:
      bounds.planners > 1 ? TWO_PLANNERS_MUTATIONS : ONE_PLANNER_MUTATIONS,
    create: mutation => new BudgetSpecification(bounds, mutation),
  };
}
