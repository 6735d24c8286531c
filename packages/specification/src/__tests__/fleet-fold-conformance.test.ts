import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {
  MoveCause,
  RecordKind,
  applyPayload,
  emptyFleetState,
  encodeRecord,
  type FleetRecord,
  type FleetState,
} from '@gentiandoor/shared-state';
import {
  EXAMPLE_TRUSTED_OPERATORS,
  KINGSTON,
  exampleBundle,
  rollOutRecords,
} from '@gentiandoor/stand-ins';
import {
  BUNDLE_SPECIFICATIONS,
  foldBundles,
  type SignedBundle,
} from '../bundle-model.js';
import {
  OwnershipRecordKind,
  foldOwnership,
  ownershipSpecifications,
  type OwnershipRecord,
} from '../ownership-model.js';
import type {Specification} from '../specification.js';

const RUNS = Number(process.env.GENTIANDOOR_MODEL_RUNS ?? 100);
const SEED = Number(process.env.GENTIANDOOR_MODEL_SEED ?? 20_261);
const MAXIMUM_STEPS = 50;
const POOLS: Readonly<Record<string, string>> = {
  p: 'logo-desk',
  q: 'counter-preview',
};
const VM = 'logo-desk-1';
const PLANNER = 'a1';

type Draft = FleetRecord extends infer Entry
  ? Entry extends FleetRecord
    ? Omit<Entry, 'id' | 'writer'>
    : never
  : never;

/** The production fold, which receives records as from the log. */
class ProductionFold {
  readonly state: FleetState = emptyFleetState(EXAMPLE_TRUSTED_OPERATORS);
  private recordCount = 0;

  /** Applies a record and returns its offset. */
  write(record: FleetRecord): number {
    return applyPayload(this.state, encodeRecord(record)).offset;
  }

  appendDraft(writer: string, draft: Draft): number {
    const id = `written-${this.recordCount++}`;
    return this.write({...draft, id, writer} as FleetRecord);
  }

  join(incarnation: string): number {
    return this.appendDraft(incarnation, {
      kind: RecordKind.MemberJoined,
      name: incarnation[0],
      incarnation,
      dataCentre: 'hall-a',
      peerAddress: '127.0.0.1:1',
    });
  }
}

/** Walks a specification by the given choices and passes each state to `visit`. */
function randomWalk<State, Event extends {type: string}>(
  specification: Specification<State, Event>,
  choices: readonly number[],
  visit: (state: State) => void,
): void {
  let state = specification.initialState;
  for (const choice of choices) {
    const events = specification.enabledEvents(state);
    if (events.length === 0) return;
    state = specification.step(state, events[choice % events.length]);
    visit(state);
  }
}

const CHOICES = fc.array(fc.nat(), {
  minLength: 10,
  maxLength: MAXIMUM_STEPS,
  size: 'max',
});

/** Writes a record of the specification; `offsets` maps its offsets to those of the fold. */
function writeOwnership(
  real: ProductionFold,
  record: OwnershipRecord,
  offsets: readonly number[],
): number {
  const incarnation = record.incarnation ?? '';
  const startedAt = offsets[record.startedAt ?? -1] ?? -1;
  const term = 1;
  switch (record.kind) {
    case OwnershipRecordKind.Joined:
      return real.join(incarnation);
    case OwnershipRecordKind.Left:
      return real.appendDraft(incarnation, {
        kind: RecordKind.MemberLeft,
        incarnation,
      });
    case OwnershipRecordKind.MoveStarted:
      return real.appendDraft(PLANNER, {
        kind: RecordKind.MoveStarted,
        term,
        vm: VM,
        epoch: record.epoch!,
        toPool: POOLS[record.pool!],
        cause: MoveCause.Operator,
        reason: 'the specification moves it',
      });
    case OwnershipRecordKind.Acknowledged:
      return real.appendDraft(incarnation, {
        kind: RecordKind.DrainAcknowledged,
        incarnation,
        acknowledgements: [{vm: VM, startedAt}],
      });
    case OwnershipRecordKind.MoveAssigned: {
      const epoch = real.state.vms.get(VM)!.epoch;
      const kind = RecordKind.MoveAssigned;
      return real.appendDraft(PLANNER, {kind, term, vm: VM, startedAt, epoch});
    }
    case OwnershipRecordKind.MoveAborted: {
      const kind = RecordKind.MoveAborted;
      const reason = 'the specification aborts it';
      return real.appendDraft(PLANNER, {kind, term, vm: VM, startedAt, reason});
    }
  }
}

function startOwnership(): {real: ProductionFold; offsets: number[]} {
  const real = new ProductionFold();
  for (const record of rollOutRecords(exampleBundle(KINGSTON)))
    real.write(record);
  const offsets = [real.join('a1'), real.join('b1')];
  real.appendDraft(PLANNER, {
    kind: RecordKind.PlannerTaken,
    expectedTerm: 0,
    holder: PLANNER,
  });
  return {real, offsets};
}

function compareOwnership(
  real: ProductionFold,
  log: readonly OwnershipRecord[],
) {
  const {pool, epoch, move, members} = foldOwnership(log);
  const vm = real.state.vms.get(VM)!;
  const work = real.state.work.get(VM);
  assert.deepEqual(
    {
      pool: vm.pool,
      epoch: vm.epoch,
      members: [...real.state.members.keys()].sort(),
      isMoving: work !== undefined,
      awaiting: work ? [...work.awaiting].sort() : [],
    },
    {
      pool: POOLS[pool],
      epoch,
      members: [...members],
      isMoving: move !== null,
      awaiting: move ? [...move.awaiting] : [],
    },
  );
}

function writeBundle(
  real: ProductionFold,
  {version, base, digest}: SignedBundle,
): void {
  const text = exampleBundle(KINGSTON, version).replace(
    /^base = .*$/m,
    `base = ${base}`,
  );
  // An operator who publishes the same bundle again writes new records.
  for (const record of rollOutRecords(`${text}; ${digest}\n`))
    real.appendDraft(record.writer, record);
}

function compareBundle(
  real: ProductionFold,
  log: readonly SignedBundle[],
): void {
  const {version, digest} = foldBundles(log, {version: 0, digest: ''});
  const {inForce} = real.state;
  assert.equal(inForce?.bundle.version ?? 0, version);
  if (inForce) assert.ok(inForce.text.endsWith(`; ${digest}\n`));
}

describe('the production fold of the fleet', () => {
  it('agrees with the specification of ownership on random walks', () => {
    const bounds = {moves: 4, aborts: 3, crashes: 2};
    const specification = ownershipSpecifications(bounds).create();
    let assigned = 0;
    fc.assert(
      fc.property(CHOICES, choices => {
        const {real, offsets} = startOwnership();
        randomWalk(specification, choices, ({log}) => {
          for (const record of log.slice(offsets.length))
            offsets.push(writeOwnership(real, record, offsets));
          compareOwnership(real, log);
        });
        assigned = Math.max(assigned, real.state.vms.get(VM)!.epoch - 1);
      }),
      {numRuns: RUNS, seed: SEED, includeErrorInReport: true},
    );
    assert.ok(
      assigned >= 2,
      `only ${assigned} moves were assigned, expected at least 2`,
    );
  });

  it('agrees with the specification of bundles on random walks', () => {
    const specification = BUNDLE_SPECIFICATIONS.create();
    fc.assert(
      fc.property(CHOICES, choices => {
        const real = new ProductionFold();
        let appliedCount = 0;
        randomWalk(specification, choices, ({log}) => {
          for (const bundle of log.slice(appliedCount))
            writeBundle(real, bundle);
          appliedCount = log.length;
          compareBundle(real, log);
        });
      }),
      {numRuns: RUNS, seed: SEED, includeErrorInReport: true},
    );
  });

  it('agrees with the specification of ownership on arbitrary records', () => {
    const draft = fc.record({
      kind: fc.constantFrom(...Object.values(OwnershipRecordKind)),
      of: fc.constantFrom('a1', 'b1', 'a2', 'b2'),
      back: fc.nat({max: 4}),
      epoch: fc.integer({min: 1, max: 3}),
    });
    fc.assert(
      fc.property(
        fc.array(draft, {minLength: 5, maxLength: MAXIMUM_STEPS, size: 'max'}),
        drafts => {
          const {real, offsets} = startOwnership();
          const log: OwnershipRecord[] = [
            {kind: OwnershipRecordKind.Joined, incarnation: 'a1'},
            {kind: OwnershipRecordKind.Joined, incarnation: 'b1'},
          ];
          for (const {kind, of, back, epoch} of drafts) {
            const pool = foldOwnership(log).pool === 'p' ? 'q' : 'p';
            const startedAt = Math.max(0, log.length - 1 - back);
            log.push({kind, incarnation: of, pool, epoch, startedAt});
            offsets.push(writeOwnership(real, log.at(-1)!, offsets));
            compareOwnership(real, log);
          }
        },
      ),
      {numRuns: 4 * RUNS, seed: SEED, includeErrorInReport: true},
    );
  });

  it('agrees with the specification of bundles on arbitrary bundles', () => {
    const bundle = fc.record({
      base: fc.nat({max: 3}),
      ahead: fc.integer({min: 1, max: 2}),
      digest: fc.constantFrom('x', 'y'),
    });
    fc.assert(
      fc.property(fc.array(bundle, {maxLength: 8, size: 'max'}), bundles => {
        const real = new ProductionFold();
        const log: SignedBundle[] = [];
        for (const {base, ahead, digest} of bundles) {
          log.push({version: base + ahead, base, digest});
          writeBundle(real, log.at(-1)!);
          compareBundle(real, log);
        }
      }),
      {numRuns: RUNS, seed: SEED, includeErrorInReport: true},
    );
  });
});
