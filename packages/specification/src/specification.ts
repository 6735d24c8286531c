import type {EventObject} from 'xstate';

/** Guarantees from docs/design that the specifications are checked against. */
export enum Guarantee {
  BudgetHeld = 'P1',
  SinglePoolPerVm = 'P2',
  NotRunIsReliable = 'P4',
  AtMostOnce = 'P5',
  NoVersionRollback = 'P8',
}

/** A condition that holds in every reachable state. */
export interface Invariant<State> {
  readonly guarantee: Guarantee;
  readonly name: string;
  holds(state: State): boolean;
}

/** A named change that removes one safeguard; the check has to detect it. */
export interface Mutation {
  readonly name: string;
  /** Description of the safeguard that is missing. */
  readonly removedSafeguard: string;
  /** Name of the invariant that breaks. */
  readonly brokenInvariant: string;
}

/** A small, bounded transition system with plain canonical states and deterministic steps. */
export interface Specification<State, Event extends EventObject> {
  readonly name: string;
  /** Scope of the model and its bounds. */
  readonly bounds: string;
  readonly initialState: State;
  /** Returns the events that may happen next. */
  enabledEvents(state: State): readonly Event[];
  step(state: State, event: Event): State;
  /** Describes an event in one line of a trace. */
  describe(event: Event): string;
  readonly invariants: ReadonlyArray<Invariant<State>>;
}

/** Creates a specification, either unmutated or with the mutation of the given name. */
export interface SpecificationFactory<State, Event extends EventObject> {
  readonly mutations: readonly Mutation[];
  create(mutation?: string): Specification<State, Event>;
}
