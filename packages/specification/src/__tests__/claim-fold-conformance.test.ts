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

/** A batch of the specification as a daemon writes it. */
function toClaimBatch({
  holder,
  sequence,
  claims,
  releases,
}: ModelClaimBatch): ClaimBatch {
  const name = (attempt: number) => ({key: KEY, attempt});
  return {
    holder,
    sequence,
    claims: claims.map(attempt => ({
      ...name(attempt),
      fingerprint: FINGERPRINT,
    })),
    releases: releases.map(name),
    outcomes: [],
    heir: '',
  };
}

function applyToClaimTable(table: ClaimTable, batch: ModelClaimBatch): boolean {
  const decoded = decodeClaimBatch(encodeClaimBatch(toClaimBatch(batch)));
  assert.ok(!('unreadable' in decoded));
  return !table.apply(decoded).stale;
}

describe('the real fold of claims', () => {
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
          let seen = 0;
          for (const choice of choices) {
            const events = SPECIFICATION.enabledEvents(state);
            if (events.length === 0) break;
            state = SPECIFICATION.step(state, events[choice % events.length]);
            const isCounted = state.log
              .slice(seen)
              .map(batch => applyToClaimTable(table, batch));
            const {owner, accepted: counted} = foldClaims(state.log, true);
            assert.deepEqual(isCounted, counted.slice(seen));
            assert.equal(table.get(KEY)?.attempt, owner);
            seen = state.log.length;
          }
        },
      ),
      {numRuns: RUNS, seed: SEED},
    );
  });

  it('agrees with the specification on logs in any order, with copies', () => {
    const batch = fc.record({
      holder: fc.constantFrom('a1', 'b1', 'a2'),
      sequence: fc.integer({min: 1, max: 4}),
      claims: fc.uniqueArray(fc.nat({max: 3}), {maxLength: 2}),
      releases: fc.uniqueArray(fc.nat({max: 3}), {maxLength: 2}),
    });
    fc.assert(
      fc.property(fc.array(batch, {maxLength: 12, size: 'max'}), log => {
        // An attempt belongs to one incarnation: its number tells which.
        const holders = ['a1', 'b1', 'a2', 'a1'];
        const owned = log.map(item => ({
          ...item,
          claims: item.claims.filter(of => holders[of] === item.holder),
          releases: item.releases.filter(of => holders[of] === item.holder),
        }));
        const table = new ClaimTable(10);
        const isCounted = owned.map(item => applyToClaimTable(table, item));
        const {owner, accepted: counted} = foldClaims(owned, true);
        assert.deepEqual(isCounted, counted);
        assert.equal(table.get(KEY)?.attempt, owner);
      }),
      {numRuns: RUNS, seed: SEED},
    );
  });
});
