import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {RecordKind, WaveChange, WaveState} from '@gentiandoor/shared-state';
import {SWAN_COAST} from '@gentiandoor/stand-ins';
import {MaintenanceScheduler} from '../maintenance-scheduler.js';
import type {PlannerInput} from '../planner-input.js';
import {FoldedFleet, PLANNER, type Draft} from './fold-helpers.js';

const DAY_MILLISECONDS = 86_400_000;
const NOW = 1000 * DAY_MILLISECONDS;
const PERIOD_DAYS = 35;

/** Returns a fleet whose VMs were all maintained the same number of days ago. */
function maintainedFleet(daysAgo: number): FoldedFleet {
  const fleet = new FoldedFleet(SWAN_COAST);
  for (const vm of fleet.state.vms.keys())
    fleet.state.maintainedAt.set(vm, NOW - daysAgo * DAY_MILLISECONDS);
  return fleet;
}

function planAt({state}: FleetAt, wallNow = NOW) {
  const input: PlannerInput = {
    state,
    now: 0,
    wallNow,
    vmList: new Map(),
    vmListAgeMilliseconds: 0,
    suspectedVms: new Set(),
    vmActions: new Map(),
  };
  return new MaintenanceScheduler(PERIOD_DAYS).plan(input);
}

type FleetAt = Pick<FoldedFleet, 'state'>;

/** Folds the wave that the scheduler proposes at a time; returns its id. */
function startWave(fleet: FoldedFleet, wallNow = NOW): string {
  const [proposal] = planAt(fleet, wallNow);
  const outcome = fleet.write(PLANNER, proposal.record as Draft);
  assert.equal(outcome.rejection, undefined);
  return `calendar-${wallNow}`;
}

function changeWave(fleet: FoldedFleet, wave: string, to: WaveChange): void {
  const outcome = fleet.write('moana', {
    kind: RecordKind.WaveChanged,
    wave,
    change: to,
    reason: 'exam week',
  });
  assert.equal(outcome.rejection, undefined);
}

describe('MaintenanceScheduler', () => {
  describe('with every VM maintained within four fifths of the period', () => {
    it('starts no wave', () => {
      assert.deepEqual(planAt(maintainedFleet(27)), []);
    });
  });

  describe('with one VM past four fifths of the period', () => {
    it('covers every VM past half of the period, and no other', () => {
      const fleet = maintainedFleet(10);
      fleet.state.maintainedAt.set('admin-1', NOW - 28 * DAY_MILLISECONDS);
      fleet.state.maintainedAt.set('admin-2', NOW - 18 * DAY_MILLISECONDS);
      fleet.state.maintainedAt.set('admin-3', NOW - 17 * DAY_MILLISECONDS);
      const wave = startWave(fleet);
      const covered = [...fleet.state.waveVms.keys()].sort();
      assert.deepEqual(covered, ['admin-1', 'admin-2']);
      assert.equal(fleet.state.waves.get(wave)?.state, WaveState.Running);
    });

    it('explains the decision', () => {
      const fleet = maintainedFleet(28);
      const [{decision}] = planAt(fleet);
      assert.equal(
        decision.evidence?.leastRecentAt,
        NOW - 28 * DAY_MILLISECONDS,
      );
      assert.match(decision.rule, /maintenance-calendar/);
    });
  });

  describe('with VMs that were never maintained', () => {
    it('covers all of them', () => {
      const fleet = new FoldedFleet(SWAN_COAST);
      startWave(fleet);
      assert.equal(fleet.state.waveVms.size, fleet.state.vms.size);
    });
  });

  describe('with a VM handed over to operators', () => {
    // The VM cannot be maintained. If it counted as the oldest, it would start a wave again and
    // again.
    it('does not start a wave because of it', () => {
      const fleet = maintainedFleet(10);
      fleet.state.maintainedAt.set('admin-1', NOW - 100 * DAY_MILLISECONDS);
      fleet.state.handedOver.set('admin-1', 'does not boot');
      assert.deepEqual(planAt(fleet), []);
    });
  });

  describe('with a wave that has not ended', () => {
    for (const to of [undefined, WaveChange.Hold]) {
      it(`starts no second wave if it is ${to ?? 'running'}`, () => {
        const fleet = maintainedFleet(30);
        const wave = startWave(fleet);
        if (to) changeWave(fleet, wave, to);
        assert.deepEqual(planAt(fleet, NOW + 10 * DAY_MILLISECONDS), []);
      });
    }
  });

  describe('after an operator aborted its wave', () => {
    // The operator ends the wave because callers need every VM. The oldest maintenance is as old as
    // before; without a minimum interval the planner's next round, a second later, would start the
    // same wave again.
    it('waits a day, then starts again', () => {
      const fleet = maintainedFleet(30);
      changeWave(fleet, startWave(fleet), WaveChange.Abort);
      assert.deepEqual(planAt(fleet, NOW + 1000), []);
      assert.deepEqual(planAt(fleet, NOW + DAY_MILLISECONDS - 1), []);
      assert.equal(planAt(fleet, NOW + DAY_MILLISECONDS).length, 1);
    });
  });

  describe('over two periods', () => {
    it('lets no VM wait longer than the period', () => {
      const fleet = maintainedFleet(0);
      for (let day = 0; day <= 2 * PERIOD_DAYS; day++) {
        const now = NOW + day * DAY_MILLISECONDS;
        for (const last of fleet.state.maintainedAt.values())
          assert.ok(now - last <= PERIOD_DAYS * DAY_MILLISECONDS);
        if (planAt(fleet, now).length === 0) continue;
        const wave = startWave(fleet, now);
        for (const vm of fleet.state.waveVms.keys())
          fleet.state.maintainedAt.set(vm, now);
        changeWave(fleet, wave, WaveChange.Abort);
      }
      const waves = [...fleet.state.waves.keys()];
      assert.deepEqual(
        waves.map(id => Number(id.replace('calendar-', '')) - NOW),
        [28 * DAY_MILLISECONDS, 56 * DAY_MILLISECONDS],
      );
    });
  });
});
