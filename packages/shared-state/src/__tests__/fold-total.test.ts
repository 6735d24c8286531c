import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {Packr} from 'msgpackr';
import {
  HashedTable,
  RECORD_HANDLERS,
  RecordKind,
  RejectionReason,
  applyPayload,
  decodeSnapshot,
  encodeRecord,
  encodeSnapshot,
  stateHash,
  tablesOf,
  type FleetRecord,
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

const packr = new Packr({useRecords: false});
const RUNS = {
  seed: 20_261,
  numRuns: Number(process.env.GENTIANDOOR_FUZZ_RUNS ?? 300),
};

const vm = fc.constantFrom('hall-a-r1-1', 'hall-a-r1-2', 'hall-z-r9-9');
const version = fc.integer({min: 1, max: 4});
const operator = fc.constantFrom('moana', 'kerry', 'tui');
const name = fc.constantFrom('entry-1', 'entry-2');
const incarnation = fc.constantFrom('a', 'b', 'c');

function textOf(number: number): string {
  return bundleText({version: number, base: number - 1});
}

/** Valid records that often affect each other. */
const likelyRecord: fc.Arbitrary<FleetRecord> = fc.oneof(
  version.map(number => proposalRecord(textOf(number))),
  fc
    .tuple(version, operator)
    .map(([number, signer]) => signOffRecord(textOf(number), number, signer)),
  fc
    .tuple(name, incarnation, fc.integer({min: 1, max: 3}))
    .map(([member, own, readsFormat]): FleetRecord => ({
      ...nextRecordHead(),
      kind: RecordKind.MemberJoined,
      name: member,
      incarnation: own,
      dataCentre: 'hall-a',
      peerAddress: '127.0.0.1:1',
      readsFormat,
    })),
  incarnation.map((own): FleetRecord => ({
    ...nextRecordHead(),
    kind: RecordKind.MemberLeft,
    incarnation: own,
  })),
  vm.map((id): FleetRecord => ({
    ...nextRecordHead(),
    kind: RecordKind.DrainStarted,
    vm: id,
    reason: 'a bad fan',
  })),
  vm.map((id): FleetRecord => ({
    ...nextRecordHead(),
    kind: RecordKind.DrainEnded,
    vm: id,
  })),
  fc.nat({max: 50}).map((offset): FleetRecord => ({
    ...nextRecordHead(),
    kind: RecordKind.SnapshotTaken,
    offset,
    digest: '',
    bytes: 1,
    at: 1,
  })),
);

const likelyPayload = likelyRecord.map(encodeRecord);

/** A record with one field replaced by any value, as a faulty writer may send. */
const mutatedPayload = fc
  .tuple(likelyRecord, fc.nat(), fc.anything())
  .map(([record, index, value]) => {
    const names = Object.keys(record);
    return packSafely([1, {...record, [names[index % names.length]]: value}]);
  });

/** A record of any kind with arbitrary fields. */
const strangePayload = fc
  .tuple(
    fc.constantFrom(...Object.values(RecordKind)),
    fc.dictionary(
      fc.constantFrom('vm', 'wave', 'jobs', 'pool', 'id', 'writer', 'steps'),
      fc.anything(),
    ),
  )
  .map(([kind, fields]) =>
    packSafely([1, {id: 'x', writer: 'y', ...fields, kind}]),
  );

const anyPayload = fc.oneof(
  likelyPayload,
  mutatedPayload,
  strangePayload,
  fc.uint8Array({maxLength: 64}),
  fc.anything().map(packSafely),
);

function packSafely(value: unknown): Uint8Array {
  try {
    return packr.pack(value);
  } catch {
    return new Uint8Array();
  }
}

function foldAll(payloads: readonly Uint8Array[]): FleetState {
  const state = emptyState();
  for (const payload of payloads) applyPayload(state, payload);
  return state;
}

describe('the fold with arbitrary records', () => {
  it('never throws and advances the offset with each record', () => {
    fc.assert(
      fc.property(fc.array(anyPayload, {maxLength: 30}), payloads => {
        const state = emptyState();
        for (const payload of payloads) {
          const {rejection} = applyPayload(state, payload);
          assert.notEqual(rejection?.reason, RejectionReason.HandlerFailed);
        }
        assert.equal(state.nextOffset, payloads.length);
      }),
      RUNS,
    );
  });

  it('computes the same hash for the same records', () => {
    fc.assert(
      fc.property(fc.array(anyPayload, {maxLength: 30}), payloads => {
        assert.equal(
          stateHash(foldAll(payloads)),
          stateHash(foldAll(payloads)),
        );
      }),
      RUNS,
    );
  });

  it('keeps the incremental hashes equal to recomputed ones', () => {
    fc.assert(
      fc.property(fc.array(likelyPayload, {maxLength: 40}), payloads => {
        for (const [table, entries] of tablesOf(foldAll(payloads)))
          assert.equal(entries.hash, entries.recomputeHash(), table);
      }),
      RUNS,
    );
  });

  it('never lowers the version in force', () => {
    fc.assert(
      fc.property(fc.array(anyPayload, {maxLength: 40}), payloads => {
        const state = emptyState();
        let highestVersion = 0;
        for (const payload of payloads) {
          applyPayload(state, payload);
          const inForce = state.inForce?.bundle.version ?? 0;
          assert.ok(inForce >= highestVersion);
          highestVersion = inForce;
        }
      }),
      RUNS,
    );
  });

  it('computes the same state from a snapshot at any offset as from the first record', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(likelyPayload, {maxLength: 30}),
        fc.nat({max: 30}),
        async (payloads, cut) => {
          const yieldToEventLoop = () => Promise.resolve();
          const before = foldAll(payloads.slice(0, cut));
          const snapshot = await encodeSnapshot(before, yieldToEventLoop);
          const state = await decodeSnapshot(
            snapshot,
            before.trustedOperators,
            yieldToEventLoop,
          );
          for (const payload of payloads.slice(cut))
            applyPayload(state, payload);
          assert.equal(stateHash(state), stateHash(foldAll(payloads)));
        },
      ),
      {...RUNS, numRuns: 100},
    );
  });
});

describe('a record format', () => {
  const raise: FleetRecord = {
    ...nextRecordHead(),
    kind: RecordKind.FormatRaised,
    format: 2,
  };
  const joined = (member: string, readsFormat: number): FleetRecord => ({
    ...nextRecordHead(),
    kind: RecordKind.MemberJoined,
    name: member,
    incarnation: `${member}-1`,
    dataCentre: 'hall-a',
    peerAddress: '',
    readsFormat,
  });

  it('comes into use only once every member can read it', () => {
    const state = emptyState();
    apply(state, joined('entry-1', 2));
    apply(state, joined('entry-2', 1));
    const {rejection} = apply(state, {...raise, ...nextRecordHead()});
    assert.equal(rejection?.reason, RejectionReason.FormatNotReadByAll);
    assert.match(rejection?.detail ?? '', /entry-2 reads up to format 1/);
    apply(state, joined('entry-2', 2));
    apply(state, {...raise, ...nextRecordHead()});
    assert.equal(state.formatInUse, 2);
  });

  it('in use keeps out a member that cannot read it', () => {
    const state = emptyState();
    apply(state, raise);
    const {rejection} = apply(state, joined('entry-1', 1));
    assert.equal(rejection?.reason, RejectionReason.FormatTooOld);
    assert.equal(state.members.size, 0);
  });

  // A new daemon writes a record that an old one cannot read, before the format is in use. The
  // old one skips the record and its id; the new one must skip both as well, or the two states
  // diverge at this offset without any visible reason.
  it('not in use has the same effect on the state as an unreadable record', () => {
    const record = joined('entry-1', 1);
    const early = packr.pack([2, record]);
    const unknown = packr.pack([1, {...nextRecordHead(), kind: 'pool.merged'}]);
    const left = emptyState();
    const right = emptyState();
    applyPayload(left, early);
    applyPayload(right, unknown);
    assert.equal(stateHash(left), stateHash(right));
    assert.equal(apply(left, record).rejection, undefined);
  });

  it('is declared for every record kind', () => {
    for (const handler of Object.values(RECORD_HANDLERS))
      assert.ok(handler.sinceFormat >= 1);
  });
});

describe('a record that is appended twice', () => {
  it('takes effect once', () => {
    const state = emptyState();
    proposeAndSignOff(state, {version: 1, base: 0});
    const drain: FleetRecord = {
      ...nextRecordHead(),
      kind: RecordKind.DrainStarted,
      vm: 'hall-a-r1-1',
      reason: 'a bad fan',
    };
    assert.equal(apply(state, drain).rejection, undefined);
    assert.equal(
      apply(state, drain).rejection?.reason,
      RejectionReason.Duplicate,
    );
  });
});

describe('a damaged snapshot', () => {
  it('is rejected regardless of which byte changed', async () => {
    const yieldToEventLoop = () => Promise.resolve();
    const state = emptyState();
    proposeAndSignOff(state, {version: 1, base: 0});
    const snapshot = await encodeSnapshot(state, yieldToEventLoop);
    for (let index = 0; index < snapshot.length; index += 7) {
      const damaged = Uint8Array.from(snapshot);
      damaged[index] ^= 0x55;
      await assert.rejects(
        decodeSnapshot(damaged, state.trustedOperators, yieldToEventLoop),
      );
    }
  });
});

describe('HashedTable', () => {
  it('has a hash that is independent of the order of entries and fields', () => {
    const left = new HashedTable<object>();
    const right = new HashedTable<object>();
    left.set('a', {x: 1, y: undefined}).set('b', {z: [2]});
    right
      .set('b', {z: [2]})
      .set('a', {x: 0})
      .set('a', {x: 1});
    assert.equal(left.hash, right.hash);
    right.delete('a');
    assert.notEqual(left.hash, right.hash);
  });
});
