import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {BundleError} from '@gentiandoor/kernel';
import {
  RejectionReason,
  decodeClaimBatch,
  emptyFleetState,
  expandRange,
  parseBundle,
} from '../index.js';
import {
  apply,
  bundleText,
  emptyState,
  proposalRecord,
  proposeAndSignOff,
  signOffRecord,
} from './fold-harness.js';

const RUNS = {
  seed: 20_263,
  numRuns: Number(process.env.GENTIANDOOR_FUZZ_RUNS ?? 500),
};
const VALID = bundleText({version: 1, base: 0});
const INHERITED = ['constructor', 'toString', 'hasOwnProperty', 'valueOf'];

const word = fc.oneof(
  fc.constantFrom('[', ']', '=', '\n', '\r', '.', ',', '__proto__', '\u2029'),
  fc.constantFrom('pool.', 'rack.', 'vms', 'version', 'a-[1-99999999]', '[]'),
  fc.constantFrom(...INHERITED),
  fc.string({maxLength: 6}),
);
const anyText = fc.array(word, {maxLength: 60}).map(words => words.join(''));
/** A valid bundle with one part replaced by random text. */
const mutatedText = fc
  .tuple(fc.nat({max: VALID.length}), fc.nat({max: 30}), anyText)
  .map(
    ([from, length, text]) =>
      VALID.slice(0, from) + text + VALID.slice(from + length),
  );

function problemsOf(text: string): string {
  try {
    parseBundle(text);
  } catch (error) {
    assert.ok(error instanceof BundleError, String(error));
    return error.message;
  }
  return '';
}

describe('the bundle parser', () => {
  it('parses any text or throws a BundleError', () => {
    fc.assert(
      fc.property(fc.oneof(anyText, mutatedText), text => {
        problemsOf(text);
      }),
      RUNS,
    );
  });

  it('rejects ranges that expand to more VMs than the limit', () => {
    const many = Array.from({length: 50_000}, (_, at) => `v${at}-[1-100000]`);
    const text = `${VALID}[rack.many]\ndata_centre = a\nvms = ${many.join(',')}\n`;
    assert.match(problemsOf(text), /rack.many.vms: expected up to 100000 VM/);
    assert.equal(expandRange('a-[1-99999999]').length, 1);
    assert.equal(expandRange(`a-[${'0'.repeat(1e6)}-9]`).length, 1);
  });

  // Passing the problems of 100,000 VMs as the arguments of one call overflows the stack. The
  // admin port then responded with status 500 and the author saw no reason.
  it('reports the problems of 100,000 VMs that are in no rack', () => {
    const pools = [1, 2].map(
      at => `[pool.p${at}]\nvms = v${at}-[000001-100000]\n`,
    );
    assert.match(problemsOf(VALID + pools.join('')), /is in no rack/);
  });

  it('searches for a line number only once in a text of malformed sections', () => {
    const text = '[pool.a]\nx\n'.repeat(20_000);
    assert.match(problemsOf(text), /^bundle:2: expected "key = value"/);
  });

  for (const text of ['[pool.__proto__]\n', '[pool.a]\n__proto__ = 1\n']) {
    it(`rejects ${JSON.stringify(text)}`, () => {
      assert.match(problemsOf(VALID + text), /expected a plain name/);
    });
  }
});

describe('a name of an inherited object member', () => {
  const bundle = parseBundle(VALID);
  const records = [
    bundle.operators,
    bundle.racks,
    bundle.pools,
    bundle.services,
    bundle.teams,
    bundle.callers,
  ];

  it('is not found in a bundle that does not define it', () => {
    for (const record of records) {
      for (const name of [...INHERITED, '__proto__'])
        assert.equal(record[name], undefined, name);
    }
  });

  it('is treated like any other name in a bundle that defines it', () => {
    const text = `${VALID}[team.constructor]\nweight = 3\n`;
    assert.equal(parseBundle(text).teams[INHERITED[0]].weight, 3);
    assert.match(
      problemsOf(`${VALID}[service.a]\npool = constructor\n`),
      /service.a: pool constructor is not in the bundle/,
    );
  });

  it('is rejected as the signer of the first and of a later bundle', () => {
    for (const name of [...INHERITED, '__proto__']) {
      const first = emptyFleetState({});
      apply(first, proposalRecord(VALID));
      const next = emptyState();
      proposeAndSignOff(next, {version: 1, base: 0});
      const text = bundleText({version: 2, base: 1});
      apply(next, proposalRecord(text));
      const forged = {...signOffRecord(text, 2, 'kerry'), operator: name};
      const early = {...signOffRecord(VALID, 1, 'kerry'), operator: name};
      const unknown = RejectionReason.SignerUnknown;
      assert.equal(apply(next, forged).rejection?.reason, unknown);
      assert.equal(apply(first, early).rejection?.reason, unknown);
    }
  });
});

describe('the claim batch decoder', () => {
  it('decodes any bytes or reports them as unreadable', () => {
    fc.assert(
      fc.property(fc.uint8Array({maxLength: 200}), bytes => {
        const batch = decodeClaimBatch(bytes);
        assert.ok('unreadable' in batch || Array.isArray(batch.claims));
      }),
      RUNS,
    );
  });
});
