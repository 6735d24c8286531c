import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {AdminMethod} from '@gentiandoor/kernel';
import {LogFault, SWAN_COAST} from '@gentiandoor/stand-ins';
import {FleetPath, type ExplainBody, type VmBody} from '../admin-shapes.js';
import {FleetHarness} from './fleet-harness.js';
import {call, get, post} from './admin-path-calls.js';

const DRAIN = {vm: 'admin-1', reason: 'disk', operator: 'moana'};

describe('the admin paths', () => {
  describe('for drains', () => {
    it('return the offset, show the drain, and end it', async () => {
      const fleet = await FleetHarness.start(SWAN_COAST);
      const accepted = await post(fleet, FleetPath.Drains, DRAIN);
      assert.equal(accepted.status, 200);
      const shown = await get(fleet, FleetPath.Vms, {id: 'admin-1'});
      const [vm] = shown.body as VmBody[];
      assert.equal(vm.work?.writer, 'moana');
      assert.equal(vm.available, false);
      const back = await post(fleet, FleetPath.Returns, {vm: 'admin-1'});
      assert.equal(back.status, 200);
    });

    it('respond with 409 and the reason when a budget allows no drain', async () => {
      const fleet = await FleetHarness.start(SWAN_COAST);
      const first = {...DRAIN, vm: 'eligibility-1'};
      await post(fleet, FleetPath.Drains, first);
      const second = {...DRAIN, vm: 'eligibility-2'};
      const {status, body} = await post(fleet, FleetPath.Drains, second);
      assert.equal(status, 409);
      assert.deepEqual((body as {reason: string}).reason, 'leaving_limit');
    });

    // The operator's command line lost the response and sends the same request again. The
    // drain must take effect once, and the second response must say that the request is a
    // duplicate.
    it('apply a request id only once', async () => {
      const fleet = await FleetHarness.start(SWAN_COAST);
      const body = {...DRAIN, requestId: 'drain-42'};
      const first = await post(fleet, FleetPath.Drains, body);
      const again = await post(fleet, FleetPath.Drains, body);
      assert.equal(first.status, 200);
      assert.equal((again.body as {reason: string}).reason, 'duplicate');
      assert.equal(fleet.state.work.size, 1);
    });

    it('respond with 400 to a malformed body', async () => {
      const fleet = await FleetHarness.start(SWAN_COAST);
      for (const body of [undefined, [], {vm: 1, reason: 'x'}, {vm: 'a'}]) {
        const {status} = await post(fleet, FleetPath.Drains, body);
        assert.equal(status, 400);
      }
      assert.equal(fleet.state.work.size, 0);
    });

    it('respond with 503 while the log is unavailable, and advise to send the same id again', async () => {
      const fleet = await FleetHarness.start(SWAN_COAST);
      fleet.log.faults.add(LogFault.Outage);
      const {status, body} = await post(fleet, FleetPath.Drains, DRAIN);
      assert.equal(status, 503);
      assert.match((body as {error: string}).error, /same requestId/);
    });
  });

  describe('for moves', () => {
    it('require the pool of a move that starts', async () => {
      const fleet = await FleetHarness.start(SWAN_COAST);
      const body = {action: 'start', vm: 'admin-1', reason: 'x'};
      const {status} = await post(fleet, FleetPath.Moves, body);
      assert.equal(status, 400);
    });
  });

  describe('for explanations', () => {
    it('return the decisions of the planner with their causes', async () => {
      const fleet = await FleetHarness.start(SWAN_COAST);
      await post(fleet, FleetPath.Waves, {
        action: 'start',
        wave: 'wave-1',
        reason: 'kernel update',
      });
      await fleet.runUntil(() => fleet.state.work.size > 0);
      const [vm] = fleet.state.work.keys();
      const planning = fleet.daemons.findIndex(
        daemon => daemon === fleet.planningDaemon,
      );
      const query = {subject: 'vm', id: vm};
      const response = await call(
        fleet,
        AdminMethod.Get,
        FleetPath.Explain,
        {query},
        planning,
      );
      const {decisions, planner} = response.body as ExplainBody;
      assert.match(decisions[0].decision, /take VM .* out for wave wave-1/);
      assert.match(decisions[0].cause, /kernel update/);
      assert.equal(planner, fleet.daemons[planning].identity.name);
    });

    it('reject an unknown subject', async () => {
      const fleet = await FleetHarness.start(SWAN_COAST);
      const query = {subject: 'planet', id: 'x'};
      const {status} = await get(fleet, FleetPath.Explain, query);
      assert.equal(status, 400);
    });
  });

  it('show pools, budgets and waves', async () => {
    const fleet = await FleetHarness.start(SWAN_COAST);
    const pools = await get(fleet, FleetPath.Pools);
    const budgets = await get(fleet, FleetPath.Budgets);
    const waves = await get(fleet, FleetPath.Waves);
    assert.equal((pools.body as unknown[]).length, 5);
    assert.deepEqual((budgets.body as {broken: string[]}).broken, []);
    assert.deepEqual(waves.body, []);
  });
});
