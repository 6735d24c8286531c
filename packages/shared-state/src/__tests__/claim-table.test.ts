import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ClaimTable} from '../claim-table.js';
import {
  ClaimOutcome,
  claimKeyDigest,
  decodeClaimBatch,
  encodeClaimBatch,
  type ClaimBatch,
} from '../claim-records.js';

function keyOf(key: string): string {
  return claimKeyDigest({
    service: 'crest-works',
    caller: 'school',
    key,
    fingerprint: '',
  });
}

function batchOf(
  holder: string,
  sequence: number,
  change: Partial<ClaimBatch> = {},
): ClaimBatch {
  return {
    holder,
    sequence,
    claims: [],
    releases: [],
    outcomes: [],
    heir: '',
    ...change,
  };
}

function claimOf(key: string, attempt: number) {
  return {key: keyOf(key), attempt, fingerprint: 'abcdefgh'};
}

describe('ClaimTable', () => {
  it('assigns a key to the first claim in log order', () => {
    const table = new ClaimTable(10);
    table.apply(batchOf('a', 1, {claims: [claimOf('k', 1)]}));
    const {appliedClaims} = table.apply(
      batchOf('b', 1, {claims: [claimOf('k', 1)]}),
    );
    assert.equal(appliedClaims[0].entry.holder, 'a');
  });

  it('drops a batch that is appended after a later one of the same writer', () => {
    const table = new ClaimTable(10);
    const first = batchOf('a', 1, {claims: [claimOf('k', 1)]});
    table.apply(first);
    table.apply(batchOf('a', 2, {releases: [{key: keyOf('k'), attempt: 1}]}));
    assert.equal(table.apply(first).stale, true);
    assert.equal(table.get(keyOf('k')), undefined);
  });

  it('releases a key only for its holder, its attempt and before an outcome is recorded', () => {
    const table = new ClaimTable(10);
    const held = {key: keyOf('k'), attempt: 1};
    table.apply(batchOf('a', 1, {claims: [claimOf('k', 1)]}));
    table.apply(batchOf('b', 1, {releases: [held]}));
    table.apply(batchOf('a', 2, {releases: [{...held, attempt: 2}]}));
    table.apply(
      batchOf('a', 3, {outcomes: [{...held, end: ClaimOutcome.Finished}]}),
    );
    table.apply(batchOf('a', 4, {releases: [held]}));
    assert.equal(table.get(held.key)?.end, ClaimOutcome.Finished);
  });

  it('evicts the oldest claims above its limit and reports the first retained offset', () => {
    const table = new ClaimTable(2);
    ['k', 'l', 'm'].forEach((key, index) =>
      table.apply(batchOf('a', index + 1, {claims: [claimOf(key, index + 1)]})),
    );
    assert.equal(table.size, 2);
    assert.equal(table.get(keyOf('k')), undefined);
    assert.equal(table.retainedFromOffset, 1);
  });

  it('follows a chain of hand-overs and stops in a loop', () => {
    const table = new ClaimTable(10);
    table.apply(batchOf('a', 1, {heir: 'b'}));
    table.apply(batchOf('b', 1, {heir: 'c'}));
    assert.equal(table.answerHolderOf('a'), 'c');
    table.apply(batchOf('c', 1, {heir: 'a'}));
    assert.ok(['a', 'b', 'c'].includes(table.answerHolderOf('a')));
  });
});

describe('the claim batch encoding', () => {
  it('decodes an encoded batch to an equal batch', () => {
    const batch = batchOf('a', 7, {
      claims: [claimOf('k', 1)],
      releases: [{key: keyOf('l'), attempt: 2}],
      outcomes: [{key: keyOf('m'), attempt: 3, end: ClaimOutcome.Lost}],
      heir: 'b',
    });
    assert.deepEqual(decodeClaimBatch(encodeClaimBatch(batch)), batch);
  });

  it('reports malformed payloads as unreadable', () => {
    const whole = encodeClaimBatch(
      batchOf('a', 1, {claims: [claimOf('k', 1)]}),
    );
    const broken = [
      new Uint8Array(),
      Uint8Array.of(0xc1),
      Uint8Array.of(0x93, 1, 2, 3),
      whole.subarray(0, whole.length - 3),
      Uint8Array.from(whole, (byte, index) => (index === 1 ? 9 : byte)),
    ];
    for (const payload of broken)
      assert.ok('unreadable' in decodeClaimBatch(payload));
  });
});
