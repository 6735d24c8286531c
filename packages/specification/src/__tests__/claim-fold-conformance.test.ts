import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {
  ClaimTable,
  decodeClaimBatch,
  encodeClaimBatch,
  type ClaimBatch,
} from '@gentiandoor/shared-state';
import {claimsSpecifications} from '../claims-model.js';
import {foldClaims, type ModelClaimBatch} from '../claims-state.js';

const RUNS = Number(process.env.GENTIANDOOR_MODEL_RUNS ?? 300);
const SEED = Number(process.env.GENTIANDOOR_MODEL_SEED ?? 20_261);
const KEY = 'sixteen bytes ..';
const FINGERPRINT = 'eight by';
const MAXIMUM_STEPS = 60;

const SPECIFICATION = claimsSpecifications({
  attempts: 4,
  lostResponses: 3,
  duplicates: 3,
  crashes: 2,
  rejections: 2,
}).create();

/** Converts a batch of the specification to the batch that a daemon writes. */
function toClaimBatch({
  holder,
  sequence,
  claims,
  releases,
}: ModelClaimBatch): ClaimBatch {
  const claimId = (attempt: number) => ({key: KEY, attempt});
  return {
    holder,
    sequence,
    claims: claims.map(attempt => ({
      ...claimId(attempt),
      fingerprint: FINGERPRINT,
    })),
    releases: releases.map(claimId),
    outcomes: [],
    heir: '',
  };
}

function applyToClaimTable(table: ClaimTable, batch: ModelClaimBatch): boolean {
  const decoded = decodeClaimBatch(encodeClaimBatch(toClaimBatch(batch)));
  assert.ok(!('unreadable' in decoded));
  return !table.apply(decoded).stale;
}

describe('the production fold of claims', () => {
  it('agrees with the specification after every append of a random walk', () => {
    fc.assert(
      fc.property(
        fc.array(fc.nat(), {
          minLength: 10,
          maxLength: MAXIMUM_STEPS,
          size: 'max',
        }),
        choices => {
          let state = SPECIFICATION.initialState;
          const table = new ClaimTable(10);
          let appliedCount = 0;
          for (const choice of choices) {
            const events = SPECIFICATION.enabledEvents(state);
            if (events.length === 0) break;
            state = SPECIFICATION.step(state, events[choice % events.length]);
            const acceptedByTable = state.log
              .slice(appliedCount)
              .map(batch => applyToClaimTable(table, batch));
            const {owner, accepted} = foldClaims(state.log, true);
            assert.deepEqual(acceptedByTable, accepted.slice(appliedCount));
            assert.equal(table.get(KEY)?.attempt, owner);
            appliedCount = state.log.length;
          }
        },
      ),
      {numRuns: RUNS, seed: SEED},
    );
  });

  it('agrees with the specification on logs in any order, with duplicates', () => {
    const batch = fc.record({
      holder: fc.constantFrom('a1', 'b1', 'a2'),
      sequence: fc.integer({min: 1, max: 4}),
      claims: fc.uniqueArray(fc.nat({max: 3}), {maxLength: 2}),
      releases: fc.uniqueArray(fc.nat({max: 3}), {maxLength: 2}),
    });
    fc.assert(
      fc.property(fc.array(batch, {maxLength: 12, size: 'max'}), log => {
        // Each attempt belongs to one incarnation, which its number selects.
        const holders = ['a1', 'b1', 'a2', 'a1'];
        const owned = log.map(ownBatch => ({
          ...ownBatch,
          claims: ownBatch.claims.filter(
            attempt => holders[attempt] === ownBatch.holder,
          ),
          releases: ownBatch.releases.filter(
            attempt => holders[attempt] === ownBatch.holder,
          ),
        }));
        const table = new ClaimTable(10);
        const acceptedByTable = owned.map(ownBatch =>
          applyToClaimTable(table, ownBatch),
        );
        const {owner, accepted} = foldClaims(owned, true);
        assert.deepEqual(acceptedByTable, accepted);
        assert.equal(table.get(KEY)?.attempt, owner);
      }),
      {numRuns: RUNS, seed: SEED},
    );
  });
});
