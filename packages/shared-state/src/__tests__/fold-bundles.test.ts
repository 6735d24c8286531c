import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  RecordKind,
  RejectionReason,
  sha256Hex,
  makeDelta,
  parseBundle,
  parseSections,
  splitSections,
  tablesOf,
  type BundleChanged,
  type FleetState,
} from '../index.js';
import {
  apply,
  bundleText,
  emptyState,
  nextRecordHead,
  proposalRecord,
  proposeAndSignOff,
  signOffRecord,
} from './fold-harness.js';

function stateWithFirst(): FleetState {
  const state = emptyState();
  proposeAndSignOff(state, {version: 1, base: 0});
  return state;
}

function deltaOf(state: FleetState, text: string): BundleChanged {
  const {parsed, digest} = state.inForce!;
  return {
    ...nextRecordHead(),
    kind: RecordKind.BundleChanged,
    baseDigest: digest,
    digest: sha256Hex(text),
    steps: makeDelta(parsed.sections, text),
  };
}

describe('bundles in the fold', () => {
  describe('sign-offs', () => {
    it('bring a bundle into force with the last one that is required', () => {
      const state = stateWithFirst();
      proposeAndSignOff(state, {version: 2, base: 1, signOffs: 2});
      const text = bundleText({version: 3, base: 2, signOffs: 2});
      apply(state, proposalRecord(text));
      apply(state, signOffRecord(text, 3, 'kerry'));
      assert.equal(state.inForce?.bundle.version, 2);
      apply(state, signOffRecord(text, 3, 'kerry'));
      assert.equal(state.inForce?.bundle.version, 2);
      apply(state, signOffRecord(text, 3, 'tui'));
      assert.equal(state.inForce?.bundle.version, 3);
    });

    const refused: ReadonlyArray<
      [
        string,
        RejectionReason,
        (text: string) => ReturnType<typeof signOffRecord>,
      ]
    > = [
      [
        'of the author',
        RejectionReason.SignerIsAuthor,
        text => signOffRecord(text, 2, 'moana'),
      ],
      [
        'of a revoked key',
        RejectionReason.SignerRevoked,
        text => signOffRecord(text, 2, 'tui'),
      ],
      [
        'with the key of another operator',
        RejectionReason.SignatureWrong,
        text => signOffRecord(text, 2, 'kerry', 'moana'),
      ],
      [
        'of a name from the object prototype',
        RejectionReason.SignerUnknown,
        text => ({...signOffRecord(text, 2, 'kerry'), operator: 'constructor'}),
      ],
      [
        'with another version than the proposal',
        RejectionReason.BundleDigestDiffers,
        text => signOffRecord(text, 3, 'kerry'),
      ],
    ];
    for (const [name, reason, make] of refused) {
      it(`${name} do not count`, () => {
        const state = emptyState();
        proposeAndSignOff(state, {version: 1, base: 0, revoked: ['tui']});
        const text = bundleText({version: 2, base: 1});
        apply(state, proposalRecord(text));
        assert.equal(apply(state, make(text)).rejection?.reason, reason);
        assert.equal(state.inForce?.bundle.version, 1);
      });
    }

    it('of the first bundle are verified against the trusted operators of the settings', () => {
      const state = emptyState();
      const text = bundleText({version: 1, base: 0, signOffs: 0});
      assert.equal(apply(state, proposalRecord(text)).rejection, undefined);
      assert.equal(state.inForce, undefined);
      const forged = signOffRecord(text, 1, 'kerry', 'tui');
      const {rejection} = apply(state, forged);
      assert.equal(rejection?.reason, RejectionReason.SignatureWrong);
      assert.equal(state.inForce, undefined);
    });
  });

  describe('concurrent proposals', () => {
    it('bring one bundle into force and reject the other with the version to base it on', () => {
      const state = stateWithFirst();
      const left = bundleText({version: 2, base: 1, slots: 4});
      const right = bundleText({version: 2, base: 1, slots: 6});
      apply(state, proposalRecord(left));
      apply(state, proposalRecord(right));
      apply(state, signOffRecord(left, 2, 'kerry'));
      const late = apply(state, signOffRecord(right, 2, 'tui'));
      assert.equal(late.rejection?.reason, RejectionReason.BundleUnknown);
      assert.equal(state.inForce?.digest, sha256Hex(left));
      const again = apply(state, proposalRecord(right));
      assert.equal(again.rejection?.reason, RejectionReason.BundleConflict);
      assert.match(again.rejection?.detail ?? '', /make it again from 2/);
    });
  });

  describe('an older version', () => {
    it('never comes into force again; a rollback is a new version with the old content', () => {
      const state = stateWithFirst();
      const first = bundleText({version: 1, base: 0});
      proposeAndSignOff(state, {version: 2, base: 1, slots: 4});
      const again = apply(state, proposalRecord(first));
      assert.equal(again.rejection?.reason, RejectionReason.BundleConflict);
      assert.equal(
        proposeAndSignOff(state, {version: 3, base: 2}).rejection,
        undefined,
      );
      assert.equal(
        state.inForce?.bundle.pools['counter-preview'].slots,
        parseBundle(first).pools['counter-preview'].slots,
      );
    });
  });

  describe('the history', () => {
    it('records author and signers of bundles in force, without other proposals', () => {
      const state = stateWithFirst();
      apply(state, proposalRecord(bundleText({version: 2, base: 1, slots: 4})));
      const text = bundleText({version: 2, base: 1});
      apply(state, proposalRecord(text));
      apply(state, signOffRecord(text, 2, 'kerry'));
      const past = [...state.history.values()];
      assert.deepEqual(
        past.map(({version, author, signers}) => [version, author, signers]),
        [
          [1, 'moana', ['kerry']],
          [2, 'moana', ['kerry']],
        ],
      );
      assert.equal(past[1].digest, sha256Hex(text));
      assert.equal(past[1].offset, state.inForce?.offset);
    });

    it('evicts the oldest versions', () => {
      const state = stateWithFirst();
      for (let base = 1; base < 60; base++)
        proposeAndSignOff(state, {version: base + 1, base});
      assert.equal(state.history.size, 50);
      assert.equal(state.history.has('10'), false);
      assert.equal(state.history.has('60'), true);
    });

    it('is part of the state hash and of snapshots', () => {
      const names = tablesOf(stateWithFirst()).map(([name]) => name);
      assert.ok(names.includes('history'));
    });
  });

  describe('a delta', () => {
    it('produces the whole text and requires sign-offs like any bundle', () => {
      const state = stateWithFirst();
      const text = bundleText({version: 2, base: 1, slots: 3});
      const delta = deltaOf(state, text);
      assert.ok(JSON.stringify(delta.steps).length < text.length);
      assert.equal(apply(state, delta).rejection, undefined);
      assert.equal(state.inForce?.bundle.version, 1);
      apply(state, signOffRecord(text, 2, 'kerry'));
      assert.equal(state.inForce?.text, text);
      assert.equal(state.inForce?.bundle.pools['counter-preview'].slots, 3);
    });

    it('that is not based on the bundle in force is a conflict', () => {
      const state = stateWithFirst();
      const delta = deltaOf(state, bundleText({version: 2, base: 1, slots: 3}));
      proposeAndSignOff(state, {version: 2, base: 1, slots: 4});
      assert.equal(
        apply(state, delta).rejection?.reason,
        RejectionReason.BundleConflict,
      );
    });

    it('that produces a text with a different digest is rejected', () => {
      const state = stateWithFirst();
      const text = bundleText({version: 2, base: 1, slots: 3});
      const delta = {...deltaOf(state, text), digest: sha256Hex('another')};
      assert.equal(
        apply(state, delta).rejection?.reason,
        RejectionReason.BundleDigestDiffers,
      );
    });

    // A record of a few kilobytes copies the base repeatedly. Without a limit every daemon would
    // build gigabytes of text at the same offset and crash, and crash again after its restart.
    it('that expands beyond the limit is rejected', () => {
      const state = stateWithFirst();
      const count = state.inForce!.parsed.sections.length;
      const steps = Array.from({length: 20_000}, () => ({copy: 0, count}));
      const delta = {
        ...deltaOf(state, bundleText({version: 2, base: 1})),
        steps,
      };
      const {rejection} = apply(state, delta);
      assert.equal(rejection?.reason, RejectionReason.BundleInvalid);
      assert.match(rejection?.detail ?? '', /too long/);
    });

    it('that copies sections that its base does not have is rejected', () => {
      const state = stateWithFirst();
      const text = bundleText({version: 2, base: 1});
      const steps = [{copy: 3, count: Number.MAX_SAFE_INTEGER}];
      assert.equal(
        apply(state, {...deltaOf(state, text), steps}).rejection?.reason,
        RejectionReason.BundleInvalid,
      );
    });
  });

  describe('parsing section by section', () => {
    it('gives the same bundle with and without a base', () => {
      const base = parseSections(bundleText({version: 1, base: 0}));
      const text = bundleText({version: 2, base: 1, slots: 5});
      assert.deepEqual(
        parseSections(text, base).bundle,
        parseSections(text).bundle,
      );
    });

    it('splits a text into sections that join to the same text', () => {
      const text =
        '; a note\r\n[bundle]\r\nversion = 1\r\n\r\n[rack.a]\r\nvms = a';
      const sections = splitSections(text);
      assert.equal(sections.map(section => section.text).join(''), text);
      assert.deepEqual(
        sections.map(section => section.header),
        ['', 'bundle', 'rack.a'],
      );
    });

    it('accepts a pool with the name of an inherited object member', () => {
      const text = bundleText({version: 1, base: 0, pool: 'constructor'});
      assert.equal(parseBundle(text).pools['constructor'].slots, 8);
      assert.throws(
        () =>
          parseBundle(
            text.replace('pool = constructor', 'pool = hasownproperty'),
          ),
        /hasownproperty is not in the bundle/,
      );
    });

    const wrong: ReadonlyArray<[string, string, RegExp]> = [
      ['a duplicate section', '[rack.hall-a-r1]\ndata_centre = b\n', /twice/],
      [
        'a duplicate key',
        '[team.a]\nslots = 1\nslots = 2\n',
        /bundle:\d+: .*slots/,
      ],
      ['an unknown section', '[pol.a]\nvms = x\n', /\[pol\.a\] is no section/],
      [
        'an invalid number',
        '[team.a]\nslots = many\n',
        /team\.a\.slots: expected/,
      ],
      [
        'a header hidden by a lone carriage return',
        '[team.a]\nslots = 1\r[team.b]\n',
        /end with a newline/,
      ],
    ];
    for (const [name, addition, message] of wrong) {
      it(`reports ${name}`, () => {
        const text = bundleText({version: 1, base: 0}) + addition;
        assert.throws(() => parseBundle(text), message);
      });
    }
  });
});
