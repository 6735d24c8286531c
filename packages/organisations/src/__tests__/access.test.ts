import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  AccessVerdict,
  NO_LIMIT,
  decideAccess,
  mayAccessJob,
  type AccessFacts,
  type Organisation,
} from '../index.js';

const BOUNDS = {
  configurationInForceMilliseconds: 3_000,
  extensionMilliseconds: 6_000,
};
const ORGANISATION: Organisation = {
  name: 'advisers',
  keyDigests: [],
  weight: 1,
  limit: NO_LIMIT,
};

function verdict(differences: Partial<AccessFacts>): AccessVerdict {
  const facts: AccessFacts = {
    isPublic: false,
    organisation: undefined,
    changesJobs: true,
    ageMilliseconds: 100,
    wasRefreshed: undefined,
    ...differences,
  };
  return decideAccess(facts, BOUNDS);
}

describe('judgeAccess', () => {
  const {
    Admitted,
    Refused,
    NeedsRefresh: Verify,
    Undetermined: Unsure,
  } = AccessVerdict;
  const known = {organisation: ORGANISATION};
  const reads = {changesJobs: false};
  const cases: ReadonlyArray<
    [what: string, facts: Partial<AccessFacts>, expected: AccessVerdict]
  > = [
    ['a public queue', {isPublic: true}, Admitted],
    [
      'a public queue, nothing read for long',
      {isPublic: true, ageMilliseconds: Infinity},
      Admitted,
    ],
    ['a known key', known, Admitted],
    ['a known key, asked for a job', {...known, ...reads}, Admitted],
    [
      'new work by a configuration past its bound',
      {...known, ageMilliseconds: 2_600},
      Unsure,
    ],
    [
      'a question by a configuration past its bound',
      {...known, ...reads, ageMilliseconds: 2_600},
      Admitted,
    ],
    [
      'a question past the stretched bound',
      {...known, ...reads, ageMilliseconds: 8_600},
      Unsure,
    ],
    [
      'nothing was ever read',
      {...known, ...reads, ageMilliseconds: Infinity},
      Unsure,
    ],
    ['an unknown key', {}, Verify],
    ['an unknown key, by an old configuration', {ageMilliseconds: 9e9}, Verify],
    ['an unknown key, read again', {wasRefreshed: true}, Refused],
    ['an unknown key, the store is silent', {wasRefreshed: false}, Unsure],
    [
      'a key that came with the reading',
      {...known, wasRefreshed: true},
      Admitted,
    ],
  ];
  for (const [what, facts, expected] of cases)
    it(`${what}: ${expected}`, () => assert.equal(verdict(facts), expected));
});

describe('maySee', () => {
  const job = {organisation: 'advisers', queue: 'quotes'};
  const caller = {
    organisation: 'advisers',
    queue: 'quotes',
    isPublicQueue: false,
  };

  it('shows a job to its organisation, through any of its queues', () => {
    assert.ok(mayAccessJob(job, caller));
    assert.ok(mayAccessJob(job, {...caller, queue: 'reviews'}));
  });

  it('hides a job from other organisations and from public queues', () => {
    assert.ok(!mayAccessJob(job, {...caller, organisation: 'auditors'}));
    const stranger = {...caller, organisation: undefined, isPublicQueue: true};
    assert.ok(!mayAccessJob(job, {...stranger, queue: 'reviews'}));
  });

  it('shows a job of no organisation, and one whose queue was opened', () => {
    assert.ok(mayAccessJob({queue: 'quotes'}, caller));
    const stranger = {...caller, organisation: undefined, isPublicQueue: true};
    assert.ok(mayAccessJob(job, stranger));
  });
});
