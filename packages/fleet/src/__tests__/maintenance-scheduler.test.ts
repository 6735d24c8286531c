import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {RecordKind, WaveChange, WaveState} from '@gentiandoor/shared-state';
import {SWAN_COAST} from '@gentiandoor/stand-ins';
import {MaintenanceScheduler} from '../maintenance-scheduler.js';
import type {PlannerInput} from '../planner-input.js';
import {FoldedFleet, PLANNER, type Draft} from './fold-helpers.js';

const DAY = 86_400_000;
const NOW = 1000 * DAY;
const PERIOD_DAYS = 35;

/** A fleet whose VMs were all maintained the same time ago. */
function maintained(daysAgo: number): FoldedFleet {
  const fleet = new FoldedFleet(SWAN_COAST);
  for (const vm of fleet.state.vms.keys())
    fleet.state.maintainedAt.set(vm, NOW - daysAgo * DAY);
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

/** Folds what the calendar proposes at a time; the wave's id. */
function startWave(fleet: FoldedFleet, wallNow = NOW): string {
  const [proposal] = planAt(fleet, wallNow);
  const outcome = fleet.write(PLANNER, proposal.record as Draft);
  assert.equal(outcome.rejection, undefined);
  return `calendar-${wallNow}`;
}

function change(fleet: FoldedFleet, wave: string, to: WaveChange): void {
  const outcome = fleet.write('moana', {
    kind: RecordKind.WaveChanged,
    wave,
    change: to,
    reason: 'exam week',
  });
  assert.equal(outcome.rejection, undefined);
}

describe('the calendar of waves', () => {
  describe('with every VM maintained within four fifths of the period', () => {
    it('starts nothing', () => {
      assert.deepEqual(planAt(maintained(27)), []);
    });
  });

  describe('with one VM past four fifths of the period', () => {
    it('covers every VM past half of it, and no other', () => {
      const fleet = maintained(10);
      fleet.state.maintainedAt.set('admin-1', NOW - 28 * DAY);
      fleet.state.maintainedAt.set('admin-2', NOW - 18 * DAY);
      fleet.state.maintainedAt.set('admin-3', NOW - 17 * DAY);
      const wave = startWave(fleet);
      const covered = [...fleet.state.waveVms.keys()].sort();
      assert.deepEqual(covered, ['admin-1', 'admin-2']);
      assert.equal(fleet.state.waves.get(wave)?.state, WaveState.Running);
    });

    it('says why', () => {
      const fleet = maintained(28);
      const [{decision}] = planAt(fleet);
      assert.equal(decision.evidence?.leastRecentAt, NOW - 28 * DAY);
      assert.match(decision.rule, /maintenance-calendar/);
    });
  });

  describe('with VMs that never had a maintenance', () => {
    it('covers them all', () => {
      const fleet = new FoldedFleet(SWAN_COAST);
      startWave(fleet);
      assert.equal(fleet.state.waveVms.size, fleet.state.vms.size);
    });
  });

  describe('with a VM in the hands of operators', () => {
    // It cannot be maintained. Counted as the oldest, it would start a wave again and again.
    it('does not start for that one', () => {
      const fleet = maintained(10);
      fleet.state.maintainedAt.set('admin-1', NOW - 100 * DAY);
      fleet.state.handedOver.set('admin-1', 'does not boot');
      assert.deepEqual(planAt(fleet), []);
    });
  });

  describe('while a wave goes on', () => {
    for (const to of [undefined, WaveChange.Hold]) {
      it(`starts no second one when it is ${to ?? 'running'}`, () => {
        const fleet = maintained(30);
        const wave = startWave(fleet);
        if (to) change(fleet, wave, to);
        assert.deepEqual(planAt(fleet, NOW + 10 * DAY), []);
      });
    }
  });

  describe('after an operator aborted its wave', () => {
    // The operator ends the wave because callers need every VM. The oldest maintenance is as old
    // as before; without a rest the planner's next round, a second later, starts the same again.
    it('rests a day, then starts again', () => {
      const fleet = maintained(30);
      change(fleet, startWave(fleet), WaveChange.Abort);
      assert.deepEqual(planAt(fleet, NOW + 1000), []);
      assert.deepEqual(planAt(fleet, NOW + DAY - 1), []);
      assert.equal(planAt(fleet, NOW + DAY).length, 1);
    });
  });

  describe('over two periods', () => {
    it('lets no VM wait longer than the period', () => {
      const fleet = maintained(0);
      for (let day = 0; day <= 2 * PERIOD_DAYS; day++) {
        const now = NOW + day * DAY;
        for (const last of fleet.state.maintainedAt.values())
          assert.ok(now - last <= PERIOD_DAYS * DAY);
        if (planAt(fleet, now).length === 0) continue;
        const wave = startWave(fleet, now);
        for (const vm of fleet.state.waveVms.keys())
          fleet.state.maintainedAt.set(vm, now);
        change(fleet, wave, WaveChange.Abort);
      }
      const calendar = [...fleet.state.waves.keys()];
      assert.deepEqual(
        calendar.map(id => Number(id.replace('calendar-', '')) - NOW),
        [28 * DAY, 56 * DAY],
      );
    });
  });
});
