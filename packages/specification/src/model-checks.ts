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

/** Explorations of one specification, with its state and event types hidden. */
export interface ModelCheck {
  readonly mutations: readonly Mutation[];
  /** Explores every state of the unmutated specification. */
  explore(): Exploration;
  /** Explores a mutated specification until the invariant named by the mutation breaks. */
  exploreMutation(mutation: Mutation): Exploration;
}

function createModelCheck<State extends object, Event extends EventObject>(
  factory: SpecificationFactory<State, Event>,
): ModelCheck {
  return {
    mutations: factory.mutations,
    explore: () => explore(factory.create()),
    exploreMutation: ({name, brokenInvariant}) =>
      explore(factory.create(name), brokenInvariant),
  };
}

/** Checks that every change has to pass. */
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

/** Checks with larger bounds, which run only on request (`--long`). */
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
