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
  /** For the end of a drain: offset of the record that started it. */
  readonly startedAt: number;
}

/** State according to the fold. */
export interface FoldedBudget {
  readonly term: number;
  readonly holder: number;
  /** By VM: offset of the drain that takes it out of service; -1 when it is in service. */
  readonly drains: readonly number[];
}

/** A planner, which decides by what it has read. */
export interface BudgetPlanner {
  readonly nextOffset: number;
  /** Records in flight, oldest first; any of them may be appended late. */
  readonly pendingRecords: readonly BudgetRecord[];
  /** By VM: the last drain that it acted on; -1 before the first. */
  readonly lastActedDrains: readonly number[];
}

/** The complete state: the agreed log and the actual condition of the VMs. */
export interface BudgetState {
  readonly log: readonly BudgetRecord[];
  readonly planners: readonly BudgetPlanner[];
  /** By VM: offset of the drain under which it reboots; -1 when it does not reboot. */
  readonly rebooting: readonly number[];
  readonly failed: readonly boolean[];
  readonly drainsLeft: number;
  readonly failuresLeft: number;
  readonly termsLeft: number;
  readonly duplicatesLeft: number;
  /** Duplicates of appended records that are still in flight. */
  readonly pendingDuplicates: readonly BudgetRecord[];
}

/** Bounds of one exploration. */
export interface BudgetBounds {
  readonly planners: number;
  readonly drains: number;
  readonly duplicates: number;
}

/** Events of the planners and the VMs. */
export enum BudgetEventType {
  Read = 'read',
  /** A planner takes a term; it acts in the term only after reading the record back. */
  TakeTerm = 'take_term',
  ProposeDrain = 'propose',
  /** The oldest pending record of a planner is appended. */
  Append = 'land',
  /** The oldest pending record is appended, and a duplicate is still in flight. */
  AppendTwice = 'land_twice',
  /** A duplicate of a record is appended, however late. */
  AppendDuplicate = 'land_copy',
  /** A planner whose drain is in the log reboots the VM. */
  Reboot = 'reboot',
  /** The VM is back, and its planner sends the record that ends the drain. */
  FinishReboot = 'return',
  FailVm = 'fail',
}

/** One event; `planner` and `vm` are -1 where the event has none. */
export interface BudgetEvent {
  readonly type: BudgetEventType;
  readonly planner: number;
  readonly vm: number;
}

/** Mutations, each of which removes one safeguard. */
export enum BudgetMutation {
  NoBudgetCheckInFold = 'planner-checks-alone',
  NoReserve = 'no-reserve',
  EndAnyDrain = 'end-any-drain',
  NoTermCheck = 'no-term',
  ActBeforeReadBack = 'act-unread',
  ActAfterTermEnd = 'act-late',
}

const VMS = [0, 1, 2];
/**
 * The VMs are interchangeable, so the VMs that drain and the one that fails are fixed. This
 * symmetry reduces the number of states.
 */
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

/** Returns whether the budget allows a planned drain of the VM. */
function allowsDrain(
  {drains}: FoldedBudget,
  vm: number,
  reserve: number,
): boolean {
  if (drains[vm] >= 0) return false;
  const available = VMS.filter(other => drains[other] < 0).length;
  return available - 1 - reserve >= REQUIRED_VMS;
}

/** Three VMs of one service that needs one VM and has to survive the loss of one. */
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
        return terms.every(
          (term, index) => index === 0 || term >= terms[index - 1],
        );
      },
    },
  ];

  constructor(
    {planners, drains, duplicates}: BudgetBounds,
    private readonly mutation: string | undefined,
  ) {
    this.name = `budget (${planners} planners, ${drains} drains, 1 failure, ${duplicates} doubled)`;
    this.bounds = `3 VMs, 1 needed after the loss of 1; ${planners} planners, each once in office, ${drains} drains, 1 failure, ${duplicates} doubled records, any record late`;
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
      duplicatesLeft: duplicates,
      pendingDuplicates: [],
    };
  }

  describe({type, planner, vm}: BudgetEvent): string {
    const suffix = vm < 0 ? '' : ` VM ${vm}`;
    return planner < 0
      ? `${type}${suffix}`
      : `planner ${planner}: ${type}${suffix}`;
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
    const folds = state.planners.map(({nextOffset}) =>
      this.fold(state.log.slice(0, nextOffset)),
    );
    state.planners.forEach(({nextOffset, pendingRecords}, planner) => {
      const isIdle = pendingRecords.length === 0;
      const isHolder = folds[planner].holder === planner;
      const mayTake = state.termsLeft > 0 && isIdle && !isHolder;
      add(EventType.Read, planner, -1, nextOffset < state.log.length);
      add(
        EventType.TakeTerm,
        planner,
        -1,
        mayTake && isAllowedBySymmetry(state, planner),
      );
      add(EventType.Append, planner, -1, !isIdle);
      add(
        EventType.AppendTwice,
        planner,
        -1,
        !isIdle && state.duplicatesLeft > 0,
      );
      if (isHolder) this.addHolderEvents(state, planner, folds[planner], add);
    });
    add(EventType.AppendDuplicate, -1, -1, state.pendingDuplicates.length > 0);
    add(EventType.FailVm, -1, FAILING_VM, state.failuresLeft > 0);
    return events;
  }

  step(state: BudgetState, {type, planner, vm}: BudgetEvent): BudgetState {
    switch (type) {
      case EventType.Read:
        // Always reads to the end: reading changes only what the planner knows, so a partial
        // read is the same as an earlier read.
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
        const [duplicate, ...pendingDuplicates] = state.pendingDuplicates;
        return {...state, log: [...state.log, duplicate], pendingDuplicates};
      }
      case EventType.Reboot: {
        const drain = this.actionableDrain(state, planner, vm);
        const acted = this.recordActedDrain(state, planner, vm, drain);
        return {...acted, rebooting: withValueAt(state.rebooting, vm, drain)};
      }
      case EventType.FinishReboot: {
        const acted = this.recordActedDrain(
          state,
          planner,
          vm,
          state.rebooting[vm],
        );
        const rebooting = withValueAt(state.rebooting, vm, -1);
        return this.queueRecord(
          {...acted, rebooting},
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
      const mayPropose = isIdle && state.drainsLeft > 0;
      add(
        EventType.ProposeDrain,
        planner,
        vm,
        mayPropose && allowsDrain(folded, vm, reserve),
      );
      const isRebooting = state.rebooting[vm] >= 0;
      const mayReboot = this.mayReboot(state, planner, vm);
      add(EventType.Reboot, planner, vm, !isRebooting && mayReboot);
      const isOwnDrain = isRebooting && state.rebooting[vm] === drains[vm];
      add(EventType.FinishReboot, planner, vm, isIdle && isOwnDrain);
    }
  }

  // The log cannot stop a call to the platform by a planner that is paused between its decision
  // and the call. The model assumes that the platform refuses such a call: the call names the
  // lease of the planner, and a new term has ended that lease.
  private mayReboot(state: BudgetState, planner: number, vm: number): boolean {
    const drain = this.actionableDrain(state, planner, vm);
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

  /** Returns the drain that a planner may act on: one that it has read in the log. */
  private actionableDrain(
    state: BudgetState,
    planner: number,
    vm: number,
  ): number {
    const {nextOffset, pendingRecords} = state.planners[planner];
    const readState = this.fold(state.log.slice(0, nextOffset));
    if (this.mutation === MutationName.ActBeforeReadBack) {
      const isPending = pendingRecords.some(
        record => record.kind === RecordKind.DrainStarted && record.vm === vm,
      );
      if (isPending) return state.log.length;
    }
    return readState.drains[vm];
  }

  /**
   * Records the drain that a planner acted on. A planner acts only once on a drain, and never
   * after it has sent the record that ends it.
   */
  private recordActedDrain(
    state: BudgetState,
    planner: number,
    vm: number,
    drain: number,
  ): BudgetState {
    const {lastActedDrains} = state.planners[planner];
    return withPlanner(state, planner, {
      lastActedDrains: withValueAt(lastActedDrains, vm, drain),
    });
  }

  private queueRecord(
    state: BudgetState,
    planner: number,
    kind: BudgetRecordKind,
    vm: number,
  ): BudgetState {
    const {nextOffset, pendingRecords} = state.planners[planner];
    const {term, drains} = this.fold(state.log.slice(0, nextOffset));
    const startedAt = kind === RecordKind.DrainEnded ? drains[vm] : -1;
    const record = {kind, planner, term, vm, startedAt};
    return withPlanner(state, planner, {
      pendingRecords: [...pendingRecords, record],
    });
  }

  private fold(log: readonly BudgetRecord[]): FoldedBudget {
    return log.reduce<FoldedBudget>(
      (state, record, offset) => this.apply(state, record, offset) ?? state,
      INITIAL_BUDGET,
    );
  }

  /** Returns the terms of the accepted records in log order. */
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

  /** Applies a record; returns undefined when the record is rejected. */
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
        const checksBudget = this.mutation !== MutationName.NoBudgetCheckInFold;
        const isAllowed = checksBudget
          ? allowsDrain(state, vm, this.reserve())
          : drains[vm] < 0;
        if (!isAllowed) return undefined;
        return {...state, drains: withValueAt(drains, vm, offset)};
      }
      case RecordKind.DrainEnded: {
        const isNamedDrain = drains[vm] === startedAt;
        const endsAnyDrain =
          this.mutation === MutationName.EndAnyDrain && drains[vm] >= 0;
        if (!isNamedDrain && !endsAnyDrain) return undefined;
        return {...state, drains: withValueAt(drains, vm, -1)};
      }
    }
  }

  private reserve(): number {
    return this.mutation === MutationName.NoReserve ? 0 : LARGEST_FAILURE_VMS;
  }
}

// The planners are interchangeable, so the first planner always takes the first term. This
// symmetry reduces the number of states.
function isAllowedBySymmetry(state: BudgetState, planner: number): boolean {
  return planner === 0 || state.log.length > 0;
}

function appendOldestPending(
  state: BudgetState,
  planner: number,
  isDuplicated: boolean,
): BudgetState {
  const [record, ...pendingRecords] = state.planners[planner].pendingRecords;
  const appended = withPlanner(state, planner, {pendingRecords});
  const {pendingDuplicates, duplicatesLeft} = state;
  return {
    ...appended,
    log: [...state.log, record],
    pendingDuplicates: isDuplicated
      ? [...pendingDuplicates, record]
      : pendingDuplicates,
    duplicatesLeft: duplicatesLeft - (isDuplicated ? 1 : 0),
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
  index: number,
  value: Value,
): readonly Value[] {
  return values.map((item, itemIndex) => (itemIndex === index ? value : item));
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

/** Returns the specification of the availability budget of one service. */
export function budgetSpecifications(
  bounds: BudgetBounds,
): SpecificationFactory<BudgetState, BudgetEvent> {
  return {
    mutations:
      bounds.planners > 1 ? TWO_PLANNERS_MUTATIONS : ONE_PLANNER_MUTATIONS,
    create: mutation => new BudgetSpecification(bounds, mutation),
  };
}
