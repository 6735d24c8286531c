import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ClaimOutcome} from '@gentiandoor/shared-state';
import {HeldAnswers} from '../held-answers.js';

function ended(attempt: number, bytes: number) {
  const answer = {status: 200, headers: [], body: new Uint8Array(bytes)};
  return {holder: 'entry-1.1', attempt, end: ClaimOutcome.Finished, answer};
}

describe('HeldAnswers', () => {
  it('evicts the oldest answers above the maximum number of entries', () => {
    const held = new HeldAnswers({
      maximumEntries: 2,
      maximumBytes: 1e6,
      maximumAnswerBytes: 1e6,
    });
    for (const attempt of [1, 2, 3]) held.put(ended(attempt, 10));
    assert.equal(held.get('entry-1.1', 1), undefined);
    assert.equal(held.get('entry-1.1', 3)?.answer?.body.length, 10);
  });

  it('stays within the maximum bytes and counts bytes correctly when entries are replaced', () => {
    const held = new HeldAnswers({
      maximumEntries: 100,
      maximumBytes: 5000,
      maximumAnswerBytes: 1e6,
    });
    for (let attempt = 0; attempt < 50; attempt++)
      held.put(ended(attempt % 7, 100 * (attempt % 11)));
    assert.ok(held.bytes <= 5000);
    for (let attempt = 0; attempt < 100; attempt++) held.put(ended(attempt, 0));
    const empty = held.bytes;
    held.put(ended(99, 0));
    assert.equal(held.bytes, empty);
  });

  it('keeps the outcome without the answer when the answer is too large', () => {
    const held = new HeldAnswers({
      maximumEntries: 2,
      maximumBytes: 1e6,
      maximumAnswerBytes: 100,
    });
    held.put(ended(1, 101));
    assert.deepEqual(held.get('entry-1.1', 1)?.end, ClaimOutcome.Finished);
    assert.equal(held.get('entry-1.1', 1)?.answer, undefined);
  });
});
