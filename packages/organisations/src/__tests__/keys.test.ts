import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fastCheck from 'fast-check';
import {VirtualClock} from '@gentiandoor/kernel';
import {
  AccessGuard,
  AccessVerdict,
  KeyOwnerIndex,
  NO_LIMIT,
  OrganisationRegistry,
  OrganisationMetricLabels,
  digestKey,
  type AccessDecision,
  type KeyConfiguration,
  type Organisation,
} from '../index.js';

function organisation(name: string, ...keys: string[]): Organisation {
  return {name, keyDigests: keys.map(digestKey), weight: 1, limit: NO_LIMIT};
}

describe('KeyRing', () => {
  it('finds the owner of a key and of no other', () => {
    const ring = new KeyOwnerIndex([
      organisation('advisers', 'a1', 'a2'),
      organisation('auditors', 'b1'),
    ]);
    assert.equal(ring.ownerOf('a2')?.name, 'advisers');
    assert.equal(ring.ownerOf('b1')?.name, 'auditors');
    assert.equal(ring.ownerOf('b'), undefined);
    assert.equal(ring.ownerOf(''), undefined);
  });

  it('opens nothing with a key that two organisations hold', () => {
    const ring = new KeyOwnerIndex([
      organisation('advisers', 'a1', 'same'),
      organisation('auditors', 'same', 'b1'),
    ]);
    assert.equal(ring.ownerOf('same'), undefined);
    assert.equal(ring.ownerOf('a1')?.name, 'advisers');
    assert.deepEqual([...ring.conflictingOrganisations].sort(), [
      'advisers',
      'auditors',
    ]);
  });

  it('knows every key that it was given, whatever its bytes, and no other', () => {
    fastCheck.assert(
      fastCheck.property(
        fastCheck.uniqueArray(fastCheck.string({minLength: 1, unit: 'binary'})),
        fastCheck.string({unit: 'binary', maxLength: 10_000}),
        (keys, other) => {
          const ring = new KeyOwnerIndex([organisation('advisers', ...keys)]);
          for (const key of keys)
            assert.equal(ring.ownerOf(key)?.name, 'advisers');
          const isKnown = ring.ownerOf(other) !== undefined;
          assert.equal(isKnown, keys.includes(other));
        },
      ),
    );
  });
});

describe('OrganisationBook', () => {
  it('goes on with what an organisation was while its settings are bad', () => {
    const book = new OrganisationRegistry();
    const before = organisation('advisers', 'a1');
    book.replace({organisations: [before], rejected: []});
    book.replace({
      organisations: [organisation('auditors', 'b1')],
      rejected: [
        {name: 'advisers', reason: 'cap is not an object'},
        {name: 'nobody', reason: 'api_keys is not a list of text'},
        {name: undefined, reason: 'organisation is not an object'},
      ],
    });
    assert.equal(book.keyOwners.ownerOf('a1')?.name, 'advisers');
    assert.equal(book.keyOwners.ownerOf('b1')?.name, 'auditors');
    assert.equal([...book.all()].length, 2);
  });

  it('keeps the limit of an organisation that has left, but not its keys', () => {
    const book = new OrganisationRegistry();
    const limit = {...NO_LIMIT, processorMillicores: 4_000};
    const before = {...organisation('advisers', 'a1'), limit};
    book.replace({organisations: [before], rejected: []});
    book.replace({organisations: [], rejected: []});
    assert.equal(book.keyOwners.ownerOf('a1'), undefined);
    assert.deepEqual(book.find('advisers')?.limit, limit);
    assert.deepEqual([...book.all()], []);
  });
});

describe('OrganisationLabels', () => {
  it('bounds the number of labels', () => {
    const labels = new OrganisationMetricLabels();
    const seen = new Set<string>();
    for (let index = 0; index < 5_000; index++)
      seen.add(labels.labelFor(`o${index}`));
    assert.ok(seen.size <= 51, `${seen.size} labels`);
    assert.equal(labels.labelFor('o0'), 'o0');
  });
});

describe('AccessGuard', () => {
  class Source implements KeyConfiguration {
    keyOwners = new KeyOwnerIndex([organisation('advisers', 'old')]);
    ageMilliseconds = 100;
    reads = 0;
    answers = true;
    next: KeyOwnerIndex | undefined;

    async refresh(): Promise<boolean> {
      this.reads++;
      if (!this.answers) return false;
      this.keyOwners = this.next ?? this.keyOwners;
      this.ageMilliseconds = 0;
      return true;
    }
  }

  const bounds = {
    configurationInForceMilliseconds: 3_000,
    extensionMilliseconds: 6_000,
  };
  const call = {isPublic: false, changesJobs: true};

  async function admitted(
    guard: AccessGuard,
    clock: VirtualClock,
    key: string,
  ): Promise<AccessDecision> {
    const admission = guard.admit({...call, key});
    await clock.advanceAsync(300);
    return admission;
  }

  // An organisation's new key is refused by the daemons that have not read of it yet, though the operators'
  // change is acknowledged: its callers give up on a key that is good. The guard reads again before it says no.
  it('lets a new key in that the configuration at hand does not hold yet', async () => {
    const source = new Source();
    source.next = new KeyOwnerIndex([organisation('advisers', 'old', 'new')]);
    const clock = new VirtualClock();
    const guard = new AccessGuard(source, bounds, clock);
    const admission = await admitted(guard, clock, 'new');
    assert.equal(admission.verdict, AccessVerdict.Admitted);
    assert.equal(admission.organisation?.name, 'advisers');
  });

  it('does not refuse a key while it can not be looked up', async () => {
    const source = new Source();
    source.answers = false;
    const clock = new VirtualClock();
    const guard = new AccessGuard(source, bounds, clock);
    const {verdict} = await admitted(guard, clock, 'new');
    assert.equal(verdict, AccessVerdict.Undetermined);
  });

  // A caller that tries keys one after the other makes each daemon read the store for each of them: with
  // forty daemons the store refuses everybody's calls. The calls of a quarter of a second share one reading.
  it('reads a few times a second at most, however many unknown keys are tried', async () => {
    const clock = new VirtualClock();
    const source = new Source();
    const guard = new AccessGuard(source, bounds, clock);
    const verdicts: AccessVerdict[] = [];
    for (let index = 0; index < 1_000; index++) {
      void guard
        .admit({...call, key: `guess-${index}`})
        .then(({verdict}) => verdicts.push(verdict));
      await clock.advanceAsync(1);
    }
    await clock.advanceAsync(500);
    assert.equal(verdicts.length, 1_000);
    assert.ok(verdicts.every(verdict => verdict === AccessVerdict.Refused));
    assert.ok(source.reads <= 6, `${source.reads} readings`);
  });

  it('reads again for each unknown key that comes after the last reading', async () => {
    const clock = new VirtualClock();
    const source = new Source();
    const guard = new AccessGuard(source, bounds, clock);
    assert.equal(
      (await admitted(guard, clock, 'new')).verdict,
      AccessVerdict.Refused,
    );
    source.next = new KeyOwnerIndex([organisation('advisers', 'new')]);
    assert.equal(
      (await admitted(guard, clock, 'new')).verdict,
      AccessVerdict.Admitted,
    );
  });

  it('reads nothing for a key that is known', async () => {
    const source = new Source();
    const guard = new AccessGuard(source, bounds, new VirtualClock());
    await guard.admit({...call, key: 'old'});
    assert.equal(source.reads, 0);
  });
});
