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

describe('KeyOwnerIndex', () => {
  it('finds the owner of a known key and none for an unknown one', () => {
    const index = new KeyOwnerIndex([
      organisation('advisers', 'a1', 'a2'),
      organisation('auditors', 'b1'),
    ]);
    assert.equal(index.ownerOf('a2')?.name, 'advisers');
    assert.equal(index.ownerOf('b1')?.name, 'auditors');
    assert.equal(index.ownerOf('b'), undefined);
    assert.equal(index.ownerOf(''), undefined);
  });

  it('finds no owner for a key that two organisations hold', () => {
    const index = new KeyOwnerIndex([
      organisation('advisers', 'a1', 'same'),
      organisation('auditors', 'same', 'b1'),
    ]);
    assert.equal(index.ownerOf('same'), undefined);
    assert.equal(index.ownerOf('a1')?.name, 'advisers');
    assert.deepEqual([...index.conflictingOrganisations].sort(), [
      'advisers',
      'auditors',
    ]);
  });

  it('finds exactly the keys of its organisations, whatever their bytes', () => {
    fastCheck.assert(
      fastCheck.property(
        fastCheck.uniqueArray(fastCheck.string({minLength: 1, unit: 'binary'})),
        fastCheck.string({unit: 'binary', maxLength: 10_000}),
        (keys, other) => {
          const index = new KeyOwnerIndex([organisation('advisers', ...keys)]);
          for (const key of keys)
            assert.equal(index.ownerOf(key)?.name, 'advisers');
          const isKnown = index.ownerOf(other) !== undefined;
          assert.equal(isKnown, keys.includes(other));
        },
      ),
    );
  });
});

describe('OrganisationRegistry', () => {
  it('keeps the previous settings of an organisation while its new ones are invalid', () => {
    const registry = new OrganisationRegistry();
    const before = organisation('advisers', 'a1');
    registry.replace({organisations: [before], rejected: []});
    registry.replace({
      organisations: [organisation('auditors', 'b1')],
      rejected: [
        {name: 'advisers', reason: 'cap is not an object'},
        {name: 'nobody', reason: 'api_keys is not a list of text'},
        {name: undefined, reason: 'organisation is not an object'},
      ],
    });
    assert.equal(registry.keyOwners.ownerOf('a1')?.name, 'advisers');
    assert.equal(registry.keyOwners.ownerOf('b1')?.name, 'auditors');
    assert.equal([...registry.all()].length, 2);
  });

  it('keeps the limit of a removed organisation, but not its keys', () => {
    const registry = new OrganisationRegistry();
    const limit = {...NO_LIMIT, processorMillicores: 4_000};
    const before = {...organisation('advisers', 'a1'), limit};
    registry.replace({organisations: [before], rejected: []});
    registry.replace({organisations: [], rejected: []});
    assert.equal(registry.keyOwners.ownerOf('a1'), undefined);
    assert.deepEqual(registry.find('advisers')?.limit, limit);
    assert.deepEqual([...registry.all()], []);
  });
});

describe('OrganisationMetricLabels', () => {
  it('limits the number of labels', () => {
    const labels = new OrganisationMetricLabels();
    const seen = new Set<string>();
    for (let count = 0; count < 5_000; count++)
      seen.add(labels.labelFor(`o${count}`));
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

  const limits = {
    configurationInForceMilliseconds: 3_000,
    extensionMilliseconds: 6_000,
  };
  const call = {isPublic: false, changesJobs: true};

  async function admitted(
    guard: AccessGuard,
    clock: VirtualClock,
    key: string,
  ): Promise<AccessDecision> {
    const decision = guard.admit({...call, key});
    await clock.advanceAsync(300);
    return decision;
  }

  // A new key of an organisation was refused by daemons that had not read it yet,
  // although the operators' change was acknowledged, and callers gave up on a valid
  // key. The guard reads the configuration again before it refuses a key.
  it('admits a new key that the current configuration does not contain yet', async () => {
    const source = new Source();
    source.next = new KeyOwnerIndex([organisation('advisers', 'old', 'new')]);
    const clock = new VirtualClock();
    const guard = new AccessGuard(source, limits, clock);
    const decision = await admitted(guard, clock, 'new');
    assert.equal(decision.verdict, AccessVerdict.Admitted);
    assert.equal(decision.organisation?.name, 'advisers');
  });

  it('does not refuse a key while the store does not respond', async () => {
    const source = new Source();
    source.answers = false;
    const clock = new VirtualClock();
    const guard = new AccessGuard(source, limits, clock);
    const {verdict} = await admitted(guard, clock, 'new');
    assert.equal(verdict, AccessVerdict.Undetermined);
  });

  // If a caller tries many keys and each makes every daemon read the store, with forty
  // daemons the store rejects everybody's calls. The calls of a quarter of a second
  // share one read.
  it('reads at most a few times per second, however many unknown keys are tried', async () => {
    const clock = new VirtualClock();
    const source = new Source();
    const guard = new AccessGuard(source, limits, clock);
    const verdicts: AccessVerdict[] = [];
    for (let count = 0; count < 1_000; count++) {
      void guard
        .admit({...call, key: `guess-${count}`})
        .then(({verdict}) => verdicts.push(verdict));
      await clock.advanceAsync(1);
    }
    await clock.advanceAsync(500);
    assert.equal(verdicts.length, 1_000);
    assert.ok(verdicts.every(verdict => verdict === AccessVerdict.Refused));
    assert.ok(source.reads <= 6, `${source.reads} reads`);
  });

  it('reads again for an unknown key that arrives after the last read', async () => {
    const clock = new VirtualClock();
    const source = new Source();
    const guard = new AccessGuard(source, limits, clock);
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

  it('does not read the configuration for a known key', async () => {
    const source = new Source();
    const guard = new AccessGuard(source, limits, new VirtualClock());
    await guard.admit({...call, key: 'old'});
    assert.equal(source.reads, 0);
  });
});
