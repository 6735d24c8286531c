import type {EventObject} from 'xstate';
import {claimsWithin} from './claims-model.js';
import {explore, type Exploration} from './explore.js';
import type {Mutation, Subject} from './specification.js';

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
