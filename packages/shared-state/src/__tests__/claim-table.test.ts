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

describe('the fold of claims', () => {
  it('gives a key to the first claim in log order', () => {
    const table = new ClaimTable(10);
    table.apply(batchOf('a', 1, {claims: [claimOf('k', 1)]}));
    const {appliedClaims: verdicts} = table.apply(
      batchOf('b', 1, {claims: [claimOf('k', 1)]}),
    );
    assert.equal(verdicts[0].entry.holder, 'a');
  });

  it('drops a batch that lands behind its successor', () => {
    const table = new ClaimTable(10);
    const first = batchOf('a', 1, {claims: [claimOf('k', 1)]});
    table.apply(first);
    table.apply(batchOf('a', 2, {releases: [{key: keyOf('k'), attempt: 1}]}));
    assert.equal(table.apply(first).stale, true);
    assert.equal(table.get(keyOf('k')), undefined);
  });

  it('releases only what its holder holds and has not ended', () => {
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

  it('forgets the oldest claims above its bound and says from where it knows', () => {
    const table = new ClaimTable(2);
    ['k', 'l', 'm'].forEach((key, index) =>
      table.apply(batchOf('a', index + 1, {claims: [claimOf(key, index + 1)]})),
    );
    assert.equal(table.size, 2);
    assert.equal(table.get(keyOf('k')), undefined);
    assert.equal(table.retainedFromOffset, 1);
  });

  it('follows a chain of heirs and ends a loop of them', () => {
    const table = new ClaimTable(10);
    table.apply(batchOf('a', 1, {heir: 'b'}));
    table.apply(batchOf('b', 1, {heir: 'c'}));
    assert.equal(table.answerHolderOf('a'), 'c');
    table.apply(batchOf('c', 1, {heir: 'a'}));
    assert.ok(['a', 'b', 'c'].includes(table.answerHolderOf('a')));
  });
});

describe('the encoding of claims', () => {
  it('gives back what was put in', () => {
    const batch = batchOf('a', 7, {
      claims: [claimOf('k', 1)],
      releases: [{key: keyOf('l'), attempt: 2}],
      outcomes: [{key: keyOf('m'), attempt: 3, end: ClaimOutcome.Lost}],
      heir: 'b',
    });
    assert.deepEqual(decodeClaimBatch(encodeClaimBatch(batch)), batch);
  });

  it('says what it cannot read, whatever comes', () => {
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
