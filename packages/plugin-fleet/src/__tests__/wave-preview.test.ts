import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {RecordKind, WaveChange} from '@gentiandoor/shared-state';
import {SWAN_COAST, exampleVms} from '@gentiandoor/stand-ins';
import {FleetPath, type WavePreviewBody} from '../admin-shapes.js';
import {FleetHarness} from './fleet-harness.js';
import {get} from './admin-path-calls.js';

async function preview(
  fleet: FleetHarness,
  query: Record<string, string> = {},
): Promise<WavePreviewBody> {
  const response = await get(fleet, FleetPath.WavePreview, query);
  assert.equal(response.status, 200);
  return response.body as WavePreviewBody;
}

describe('the preview of a wave', () => {
  describe('that was not started', () => {
    it('names the VM that the planner then takes out first', async () => {
      const fleet = await FleetHarness.start(SWAN_COAST);
      const plan = await preview(fleet);
      assert.equal(plan.left, 40);
      assert.equal(plan.limit, 1);
      assert.equal(plan.next.length, 1);
      assert.equal(fleet.state.waves.size, 0);
      await fleet.startWave();
      await fleet.runUntil(() => fleet.state.work.size > 0);
      assert.deepEqual([...fleet.state.work.keys()], plan.next);
    });

    it('orders VMs by data centre and counts each VM once', async () => {
      const fleet = await FleetHarness.start(SWAN_COAST);
      const {order} = await preview(fleet);
      const dataCentres = order.map(({dataCentre}) => dataCentre);
      assert.deepEqual(dataCentres, [...dataCentres].sort());
      const sum = order.reduce((total, {vms}) => total + vms, 0);
      assert.equal(sum, exampleVms(SWAN_COAST).length);
    });

    it('reports that its scope covers no VM or overlaps another wave', async () => {
      const fleet = await FleetHarness.start(SWAN_COAST);
      const empty = await preview(fleet, {pools: 'nothing'});
      assert.match(empty.heldBack[0], /covers no VM/);
      await fleet.startWave('wave-1', {pools: ['admin']});
      const overlapping = await preview(fleet, {pools: 'admin,valuation'});
      assert.match(overlapping.heldBack[0], /wave-1 of moana/);
      assert.deepEqual(overlapping.next, []);
    });
  });

  describe('that was started', () => {
    it('reports that it is held, and why', async () => {
      const fleet = await FleetHarness.start(SWAN_COAST);
      await fleet.startWave();
      await fleet.appendOperatorRecord({
        kind: RecordKind.WaveChanged,
        wave: 'wave-1',
        change: WaveChange.Hold,
        reason: 'exam week',
      });
      const plan = await preview(fleet, {wave: 'wave-1'});
      assert.match(plan.heldBack[0], /held: exam week/);
      assert.deepEqual(plan.next, []);
    });

    it('names the budget that allows no further VM', async () => {
      const fleet = await FleetHarness.start(SWAN_COAST);
      const drained = 'eligibility-1';
      const reason = 'disk';
      const kind = RecordKind.DrainStarted;
      await fleet.appendOperatorRecord({kind, vm: drained, reason});
      const plan = await preview(fleet, {pools: 'eligibility'});
      assert.deepEqual(plan.next, []);
      assert.match(plan.turnedDown[0].because, /eligibility/);
    });

    it('is rejected for a wave that was never started', async () => {
      const fleet = await FleetHarness.start(SWAN_COAST);
      const query = {wave: 'spring'};
      const response = await get(fleet, FleetPath.WavePreview, query);
      assert.equal(response.status, 400);
    });
  });
});
