import type {EventObject} from 'xstate';
import {budgetSpecifications} from './budget-model.js';
import {BUNDLE_SPECIFICATIONS} from './bundle-model.js';
import {claimsSpecifications} from './claims-model.js';
import {CRASH_SPECIFICATIONS} from './crash-model.js';
import {explore, type Exploration} from './explore.js';
import {ORGANISATION_LIMIT_SPECIFICATIONS} from './organisation-limit-model.js';
import {ownershipSpecifications} from './ownership-model.js';
import {RUN_SPECIFICATIONS} from './run-model.js';
import type {Mutation, SpecificationFactory} from './specification.js';
import {RETENTION_SPECIFICATIONS} from './claim-retention-model.js';

/** A specification with the ways to explore it, its types closed over. */
export interface ModelCheck {
  readonly mutations: readonly Mutation[];
  /** Explores every state of the whole specification. */
  explore(): Exploration;
  /** Explores a mutated one until the invariant that it names breaks. */
  exploreMutation(mutation: Mutation): Exploration;
}

function createModelCheck<State extends object, Event extends EventObject>(
  subject: SpecificationFactory<State, Event>,
): ModelCheck {
  return {
    mutations: subject.mutations,
    explore: () => explore(subject.create()),
    exploreMutation: ({name, brokenInvariant: breaks}) =>
      explore(subject.create(name), breaks),
  };
}

/** What every change is held against. */
export const MODEL_CHECKS: readonly ModelCheck[] = [
  createModelCheck(
    claimsSpecifications({
      attempts: 2,
      lostResponses: 1,
      duplicates: 1,
      crashes: 0,
      rejections: 1,
    }),
  ),
  createModelCheck(
    claimsSpecifications({
      attempts: 2,
      lostResponses: 0,
      duplicates: 0,
      crashes: 1,
      rejections: 1,
    }),
  ),
  createModelCheck(RETENTION_SPECIFICATIONS),
  createModelCheck(RUN_SPECIFICATIONS),
  createModelCheck(CRASH_SPECIFICATIONS),
  createModelCheck(ORGANISATION_LIMIT_SPECIFICATIONS),
  createModelCheck(BUNDLE_SPECIFICATIONS),
  createModelCheck(ownershipSpecifications({moves: 2, aborts: 1, crashes: 0})),
  createModelCheck(ownershipSpecifications({moves: 1, aborts: 0, crashes: 1})),
  createModelCheck(
    budgetSpecifications({planners: 1, drains: 3, duplicates: 1}),
  ),
  createModelCheck(
    budgetSpecifications({planners: 2, drains: 2, duplicates: 0}),
  ),
];

/** Larger bounds, for the run by command. */
export const LONG_MODEL_CHECKS: readonly ModelCheck[] = [
  createModelCheck(
    claimsSpecifications({
      attempts: 3,
      lostResponses: 0,
      duplicates: 0,
      crashes: 0,
      rejections: 1,
    }),
  ),
  createModelCheck(
    claimsSpecifications({
      attempts: 2,
      lostResponses: 1,
      duplicates: 1,
      crashes: 1,
      rejections: 0,
    }),
  ),
];
