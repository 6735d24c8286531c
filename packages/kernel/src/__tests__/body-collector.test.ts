import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {BodyBudget} from '../body-budget.js';
import {BodyCollector, CollectOutcome} from '../body-collector.js';

const BUDGET_BYTES = 10_000_000;
const BODY_BYTES = 260_000;

function newCollector(maximumBytes: number, budgetBytes = BUDGET_BYTES) {
  const charge = new BodyBudget(budgetBytes).open(() => undefined);
  return new BodyCollector(maximumBytes, charge);
}

describe('BodyCollector', () => {
  it('joins pieces of any size', () => {
    for (const size of [1, 3, 4_095, 4_097, 65_536]) {
      const body = Buffer.from(
        Array.from({length: BODY_BYTES}, (_, index) => index % 251),
      );
      const collector = newCollector(BODY_BYTES);
      for (let start = 0; start < body.length; start += size)
        assert.equal(
          collector.add(body.subarray(start, start + size)),
          CollectOutcome.Added,
        );
      assert.deepEqual(collector.bytes, body);
    }
  });

  it('takes a body of the largest size and none above', () => {
    const collector = newCollector(5_000);
    assert.equal(collector.add(Buffer.alloc(5_000)), CollectOutcome.Added);
    assert.equal(collector.add(Buffer.alloc(1)), CollectOutcome.TooLarge);
    assert.equal(collector.bytes.length, 5_000);
  });

  it('is empty without a piece', () => {
    assert.equal(newCollector(10).bytes.length, 0);
  });

  // A body in pieces of one byte took a hundred times its size.
  it('charges small pieces more than their bytes', () => {
    const collector = newCollector(BODY_BYTES, BODY_BYTES);
    let outcome = CollectOutcome.Added;
    let added = 0;
    for (; outcome === CollectOutcome.Added; added++)
      outcome = collector.add(Buffer.alloc(1));
    assert.equal(outcome, CollectOutcome.OverBudget);
    assert.ok(added < BODY_BYTES / 16);
  });
});
