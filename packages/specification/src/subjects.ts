import type {EventObject} from 'xstate';
import {budgetWithin} from './budget-model.js';
import {BUNDLES} from './bundle-model.js';
import {claimsWithin} from './claims-model.js';
import {CRASHES} from './crash-model.js';
import {explore, type Exploration} from './explore.js';
import {LIMITS} from './limit-model.js';
import {ownershipWithin} from './ownership-model.js';
import {RUNS} from './run-model.js';
import type {Mutation, Subject} from './specification.js';
import {WINDOW} from './window-model.js';

/** A specification with the ways to explore it, its types closed over. */
export interface Checkable {
  readonly mutations: readonly Mutation[];
  /** Explores every state of the whole specification. */
  check(): Exploration;
  /** Explores a mutated one until the invariant that it names breaks. */
  mutate(mutation: Mutation): Exploration;
}

function checkable<State extends object, Event extends EventObject>(
  subject: Subject<State, Event>,
): Checkable {
  return {
    mutations: subject.mutations,
    check: () => explore(subject.make()),
    mutate: ({name, breaks}) => explore(subject.make(name), breaks),
  };
}

/** What every change is held against. */
export const SUBJECTS: readonly Checkable[] = [
  checkable(
    claimsWithin({attempts: 2, losses: 1, doubles: 1, crashes: 0, refusals: 1}),
  ),
  checkable(
    claimsWithin({attempts: 2, losses: 0, doubles: 0, crashes: 1, refusals: 1}),
  ),
  checkable(WINDOW),
  checkable(RUNS),
  checkable(CRASHES),
  checkable(LIMITS),
  checkable(BUNDLES),
  checkable(ownershipWithin({starts: 2, aborts: 1, crashes: 0})),
  checkable(ownershipWithin({starts: 1, aborts: 0, crashes: 1})),
  checkable(budgetWithin({planners: 1, drains: 3, copies: 1})),
  checkable(budgetWithin({planners: 2, drains: 2, copies: 0})),
];

/** Larger bounds, for the run by command. */
export const LONG_SUBJECTS: readonly Checkable[] = [
  checkable(
    claimsWithin({attempts: 3, losses: 0, doubles: 0, crashes: 0, refusals: 1}),
  ),
  checkable(
    claimsWithin({attempts: 2, losses: 1, doubles: 1, crashes: 1, refusals: 0}),
  ),
];
