import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {
  CapacityIndex,
  JobIndex,
  MaintenanceOutcome,
  MoveCause,
  RecordKind,
  VmAction,
  VmCondition,
  WaveChange,
  capacityIndexOf,
  decodeSnapshot,
  encodeSnapshot,
  jobIndexOf,
  plannerOf,
  stateHash,
  tablesOf,
  type FleetState,
} from '@gentiandoor/shared-state';
import {
  EXAMPLE_TRUSTED_OPERATORS,
  KINGSTON,
  exampleVms,
} from '@gentiandoor/stand-ins';
import {
  FoldedFleet,
  countAvailable,
  budgetMargins,
  type Draft,
} from './fold-helpers.js';

const RUNS = 150;
const SNAPSHOT_RUNS = 40;
const SEED = 20_261_202;
const VMS = exampleVms(KINGSTON).map(vm => vm.id);
const POOLS = KINGSTON.pools.map(pool => pool.name);
const WRITERS = ['incarnation-1', 'incarnation-2', 'moana', 'tom'];

/**
 * Mostly good conditions: with too many bad ones every budget is broken and nothing is accepted.
 */
const REPORTED = [
  VmCondition.Up,
  VmCondition.Up,
  VmCondition.Suspected,
  VmCondition.Down,
];

/** One action of a writer; `draftOf` fills in what the writer would read from the state. */
interface Move {
  readonly action: number;
  readonly writer: string;
  readonly vm: string;
  readonly pool: string;
  /** Whether the writer uses an outdated term. */
  readonly stale: boolean;
  readonly pick: number;
}

const moves = fc.array(
  fc.record<Move>({
    action: fc.nat(14),
    writer: fc.constantFrom(...WRITERS),
    vm: fc.constantFrom(...VMS),
    pool: fc.constantFrom(...POOLS),
    stale: fc.boolean(),
    pick: fc.nat(3),
  }),
  {minLength: 60, maxLength: 200, size: 'max'},
);

function draftOf(state: FleetState, move: Move): Draft {
  const {vm, pool, pick} = move;
  const term = plannerOf(state).term - (move.stale && pick === 0 ? 1 : 0);
  const work = state.work.get(vm);
  const startedAt = work?.startedAt ?? 0;
  const epoch = state.vms.get(vm)?.epoch ?? 0;
  const reason = 'random';
  const wave = `wave-${pick}`;
  switch (move.action) {
    case 0:
      return {
        kind: RecordKind.PlannerTaken,
        expectedTerm: Math.max(0, term),
        holder: move.writer,
      };
    case 1:
      return {kind: RecordKind.DrainStarted, vm, reason};
    case 2:
      return {kind: RecordKind.DrainEnded, vm};
    case 3:
    case 4:
      return {
        kind: RecordKind.MoveStarted,
        vm,
        epoch,
        toPool: pool,
        cause: MoveCause.Operator,
        reason,
      };
    case 5:
      return {
        kind: RecordKind.MoveAssigned,
        vm,
        startedAt,
        epoch,
        term: Math.max(0, term),
      };
    case 6:
      return {kind: RecordKind.MoveAborted, vm, startedAt, reason};
    case 7:
      return {
        kind: RecordKind.VmReported,
        term: Math.max(0, term),
        reports: [{vm, condition: REPORTED[pick]}],
      };
    case 8:
      return {
        kind: RecordKind.DrainAcknowledged,
        incarnation: move.writer,
        acknowledgements: [...state.work.values()].map(entry => ({
          vm: entry.vm,
          startedAt: entry.startedAt,
        })),
      };
    case 9:
      return {
        kind: RecordKind.WaveStarted,
        wave,
        reason,
        scope: {pools: [pool]},
      };
    case 10:
      return {
        kind: RecordKind.WaveChanged,
        wave,
        reason,
        change: Object.values(WaveChange)[pick],
      };
    case 11:
      return {
        kind: RecordKind.MaintenanceStarted,
        vm,
        term: Math.max(0, term),
        wave: pick === 3 ? undefined : wave,
        reason,
      };
    case 12:
      return {
        kind: RecordKind.MaintenanceAsked,
        vm,
        startedAt,
        term: Math.max(0, term),
        attempt: (work?.attempts ?? 0) + 1,
        action: VmAction.Reboot,
      };
    case 13:
      return {
        kind: RecordKind.MaintenanceReturned,
        vm,
        startedAt,
        term: Math.max(0, term),
      };
    default:
      return {
        kind: RecordKind.MaintenanceEnded,
        vm,
        startedAt,
        term: Math.max(0, term),
        outcome: Object.values(MaintenanceOutcome)[pick],
        at: 1,
      };
  }
}

const PLANNED: ReadonlySet<string> = new Set([
  RecordKind.DrainStarted,
  RecordKind.MoveStarted,
  RecordKind.MaintenanceStarted,
]);

function assertConsistent(
  state: FleetState,
  epochs: Map<string, number>,
): void {
  const ownedByPool = new Map<string, number>();
  for (const vm of state.vms.values()) {
    ownedByPool.set(vm.pool, (ownedByPool.get(vm.pool) ?? 0) + 1);
    assert.ok(vm.epoch >= (epochs.get(vm.id) ?? 0), 'an epoch went back');
    epochs.set(vm.id, vm.epoch);
    const work = state.work.get(vm.id);
    assert.equal(
      vm.drainReason !== undefined,
      work !== undefined && work.step !== 'trial',
      'routing mark and planned work differ',
    );
  }
  const index = capacityIndexOf(state);
  for (const pool of POOLS) {
    assert.equal(index.pool(pool).owned, ownedByPool.get(pool) ?? 0);
    assert.equal(index.pool(pool).available, countAvailable(state, pool));
  }
}

function submitJobs(fleet: FoldedFleet): void {
  const size = {processors: 1, memoryGigabytes: 1, accelerators: 0, slots: 1};
  for (let n = 0; n < 10; n++) {
    fleet.write('moana', {
      kind: RecordKind.JobSubmitted,
      key: `job-${n}`,
      team: 'counter',
      pool: 'logo-desk',
      jobClass: 'logo',
      idempotent: n % 2 === 0,
      size,
      payload: 'x',
    });
  }
  fleet.write('moana', {kind: RecordKind.JobsCancelled, keys: ['job-3']});
}

describe('random records of several writers', () => {
  it('never let planned work exceed a budget or put a VM in more than one pool', () => {
    let accepted = 0;
    fc.assert(
      fc.property(moves, list => {
        const fleet = new FoldedFleet(KINGSTON);
        const epochs = new Map<string, number>();
        for (const move of list) {
          const before = budgetMargins(fleet.state);
          const draft = draftOf(fleet.state, move);
          const outcome = fleet.write(move.writer, draft);
          const isPlanned =
            PLANNED.has(draft.kind) && outcome.rejection === undefined;
          if (isPlanned) {
            for (const [name, margin] of budgetMargins(fleet.state)) {
              const allowed = Math.min(0, before.get(name) ?? 0);
              assert.ok(margin >= allowed, `${draft.kind} broke ${name}`);
            }
            accepted++;
          }
          assert.equal(fleet.state.vms.size, VMS.length);
          assertConsistent(fleet.state, epochs);
        }
      }),
      {numRuns: RUNS, seed: SEED},
    );
    // Without planned work that was accepted, the runs would show nothing.
    assert.ok(accepted > 5 * RUNS, `${accepted} were admitted`);
  });

  it('leave counters and hashes that equal recomputed ones, and the same state after a replay', () => {
    fc.assert(
      fc.property(moves, list => {
        const left = new FoldedFleet(KINGSTON);
        const right = new FoldedFleet(KINGSTON);
        for (const move of list) {
          const draft = draftOf(left.state, move);
          left.write(move.writer, draft);
          right.write(move.writer, draft);
        }
        assert.equal(stateHash(left.state), stateHash(right.state));
        for (const [name, table] of tablesOf(left.state))
          assert.equal(table.hash, table.recomputeHash(), name);
        assert.deepEqual(
          [...capacityIndexOf(left.state).pools].sort(),
          [...new CapacityIndex(left.state).pools].sort(),
        );
        assert.deepEqual(
          jobIndexOf(left.state).placedKeysByVm,
          new JobIndex(left.state).placedKeysByVm,
        );
      }),
      {numRuns: RUNS, seed: SEED},
    );
  });

  // A daemon that starts reads a snapshot taken during moves, waves and jobs, and continues from
  // there. It must accept and reject every later record like the daemons that folded from the
  // start.
  it('are accepted and rejected alike after a snapshot', async () => {
    const rest = () => Promise.resolve();
    await fc.assert(
      fc.asyncProperty(moves, moves, async (first, second) => {
        const left = new FoldedFleet(KINGSTON);
        for (const move of first)
          left.write(move.writer, draftOf(left.state, move));
        submitJobs(left);
        const bytes = await encodeSnapshot(left.state, rest);
        const right = left.continuedFrom(
          await decodeSnapshot(bytes, EXAMPLE_TRUSTED_OPERATORS, rest),
        );
        for (const move of second) {
          const draft = draftOf(left.state, move);
          const expected = left.write(move.writer, draft);
          const found = right.write(move.writer, draft);
          assert.deepEqual(found.rejection, expected.rejection);
        }
        assert.equal(stateHash(right.state), stateHash(left.state));
      }),
      {numRuns: SNAPSHOT_RUNS, seed: SEED},
    );
  });
});
