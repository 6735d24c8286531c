import type {EventObject} from 'xstate';

/** The promises of docs/design that the specification is held against. */
export enum Guarantee {
  BudgetHeld = 'P1',
  SinglePoolPerVm = 'P2',
  NotRunIsReliable = 'P4',
  AtMostOnce = 'P5',
  NoVersionRollback = 'P8',
}

/** What must be true in every state. */
export interface Invariant<State> {
  readonly guarantee: Guarantee;
  readonly name: string;
  holds(state: State): boolean;
}

/** A named change that takes one safeguard out; the check must catch it. */
export interface Mutation {
  readonly name: string;
  /** The safeguard that is missing. */
  readonly removedSafeguard: string;
  /** Name of the invariant that breaks. */
  readonly brokenInvariant: string;
}

/** A small transition system: plain canonical states, bounded, deterministic steps. */
export interface Specification<State, Event extends EventObject> {
  readonly name: string;
  /** What it covers and within which bounds. */
  readonly bounds: string;
  readonly initialState: State;
  /** Everything that may happen next. */
  enabledEvents(state: State): readonly Event[];
  step(state: State, event: Event): State;
  /** One line for a trace. */
  describe(event: Event): string;
  readonly invariants: ReadonlyArray<Invariant<State>>;
}

/** A specification and its mutations, each made by name; no name gives the whole one. */
export interface SpecificationFactory<State, Event extends EventObject> {
  readonly mutations: readonly Mutation[];
  create(mutation?: string): Specification<State, Event>;
}
