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
    it('bring a bundle into force with the last one needed', () => {
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
        'with the key of another',
        RejectionReason.SignatureWrong,
        text => signOffRecord(text, 2, 'kerry', 'moana'),
      ],
      [
        'of a name from the prototype of objects',
        RejectionReason.SignerUnknown,
        text => ({...signOffRecord(text, 2, 'kerry'), operator: 'constructor'}),
      ],
      [
        'of another version of the digest',
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

    it('of the first bundle are held against the settings', () => {
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

  describe('racing operators', () => {
    it('get one winner, and the other a conflict that says what to build on', () => {
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
    it('never comes back; a rollback is a new version with the old content', () => {
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
    it('keeps who brought what into force, without proposals that did not', () => {
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

    it('forgets the oldest versions', () => {
      const state = stateWithFirst();
      for (let base = 1; base < 60; base++)
        proposeAndSignOff(state, {version: base + 1, base});
      assert.equal(state.history.size, 50);
      assert.equal(state.history.has('10'), false);
      assert.equal(state.history.has('60'), true);
    });

    it('is part of the hash and of snapshots', () => {
      const names = tablesOf(stateWithFirst()).map(([name]) => name);
      assert.ok(names.includes('history'));
    });
  });

  describe('a delta', () => {
    it('makes the whole text of its digest and needs sign-offs as any bundle', () => {
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

    it('on another base than the one in force is a conflict', () => {
      const state = stateWithFirst();
      const delta = deltaOf(state, bundleText({version: 2, base: 1, slots: 3}));
      proposeAndSignOff(state, {version: 2, base: 1, slots: 4});
      assert.equal(
        apply(state, delta).rejection?.reason,
        RejectionReason.BundleConflict,
      );
    });

    it('that makes another text than its digest names is refused', () => {
      const state = stateWithFirst();
      const text = bundleText({version: 2, base: 1, slots: 3});
      const delta = {...deltaOf(state, text), digest: sha256Hex('another')};
      assert.equal(
        apply(state, delta).rejection?.reason,
        RejectionReason.BundleDigestDiffers,
      );
    });

    // A record of some kilobytes copies the base over and over. Without a bound every daemon
    // would build gigabytes of text at the same offset and end, and again after its restart.
    it('that grows without bound is refused', () => {
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

    it('that copies what its base does not have is refused', () => {
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
    it('gives what parsing afresh gives, with and without a base', () => {
      const base = parseSections(bundleText({version: 1, base: 0}));
      const text = bundleText({version: 2, base: 1, slots: 5});
      assert.deepEqual(
        parseSections(text, base).bundle,
        parseSections(text).bundle,
      );
    });

    it('cuts a text into pieces that make the text again', () => {
      const text =
        '; a note\r\n[bundle]\r\nversion = 1\r\n\r\n[rack.a]\r\nvms = a';
      const pieces = splitSections(text);
      assert.equal(pieces.map(piece => piece.text).join(''), text);
      assert.deepEqual(
        pieces.map(piece => piece.header),
        ['', 'bundle', 'rack.a'],
      );
    });

    it('takes a pool named as a part of every object for what it is', () => {
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
      ['a doubled section', '[rack.hall-a-r1]\ndata_centre = b\n', /twice/],
      [
        'a doubled key',
        '[team.a]\nslots = 1\nslots = 2\n',
        /bundle:\d+: .*slots/,
      ],
      ['an unknown section', '[pol.a]\nvms = x\n', /\[pol\.a\] is no section/],
      [
        'a wrong number',
        '[team.a]\nslots = many\n',
        /team\.a\.slots: expected/,
      ],
      [
        'a header hidden by a lone return',
        '[team.a]\nslots = 1\r[team.b]\n',
        /end with a newline/,
      ],
    ];
    for (const [name, addition, message] of wrong) {
      it(`names ${name}`, () => {
        const text = bundleText({version: 1, base: 0}) + addition;
        assert.throws(() => parseBundle(text), message);
      });
    }
  });
});
