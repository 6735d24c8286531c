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

const LIMITS = {
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
  return decideAccess(facts, LIMITS);
}

describe('decideAccess', () => {
  const {Admitted, Refused, NeedsRefresh, Undetermined} = AccessVerdict;
  const known = {organisation: ORGANISATION};
  const reads = {changesJobs: false};
  const cases: ReadonlyArray<
    [what: string, facts: Partial<AccessFacts>, expected: AccessVerdict]
  > = [
    ['a public queue', {isPublic: true}, Admitted],
    [
      'a public queue, configuration never read',
      {isPublic: true, ageMilliseconds: Infinity},
      Admitted,
    ],
    ['a known key', known, Admitted],
    ['a known key, query about a job', {...known, ...reads}, Admitted],
    [
      'new work, configuration past its maximum age',
      {...known, ageMilliseconds: 2_600},
      Undetermined,
    ],
    [
      'a query, configuration past its maximum age',
      {...known, ...reads, ageMilliseconds: 2_600},
      Admitted,
    ],
    [
      'a query, configuration past the extended maximum age',
      {...known, ...reads, ageMilliseconds: 8_600},
      Undetermined,
    ],
    [
      'a query, configuration never read',
      {...known, ...reads, ageMilliseconds: Infinity},
      Undetermined,
    ],
    ['an unknown key', {}, NeedsRefresh],
    ['an unknown key, old configuration', {ageMilliseconds: 9e9}, NeedsRefresh],
    ['an unknown key, configuration read again', {wasRefreshed: true}, Refused],
    [
      'an unknown key, the store does not respond',
      {wasRefreshed: false},
      Undetermined,
    ],
    [
      'a key that was added by the configuration read again',
      {...known, wasRefreshed: true},
      Admitted,
    ],
  ];
  for (const [what, facts, expected] of cases)
    it(`${what}: ${expected}`, () => assert.equal(verdict(facts), expected));
});

describe('mayAccessJob', () => {
  const job = {organisation: 'advisers', queue: 'quotes'};
  const caller = {
    organisation: 'advisers',
    queue: 'quotes',
    isPublicQueue: false,
  };

  it('allows access to a job for its organisation, through any queue', () => {
    assert.ok(mayAccessJob(job, caller));
    assert.ok(mayAccessJob(job, {...caller, queue: 'reviews'}));
  });

  it('denies access to a job for other organisations and through public queues', () => {
    assert.ok(!mayAccessJob(job, {...caller, organisation: 'auditors'}));
    const publicCaller = {
      ...caller,
      organisation: undefined,
      isPublicQueue: true,
    };
    assert.ok(!mayAccessJob(job, {...publicCaller, queue: 'reviews'}));
  });

  it('allows access to a job without an organisation and to one whose queue was made public', () => {
    assert.ok(mayAccessJob({queue: 'quotes'}, caller));
    const publicCaller = {
      ...caller,
      organisation: undefined,
      isPublicQueue: true,
    };
    assert.ok(mayAccessJob(job, publicCaller));
  });
});
