import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {AdminMethod} from '@gentiandoor/kernel';
import {LogFault, SWAN_COAST} from '@gentiandoor/stand-ins';
import {FleetPath, type ExplainBody, type VmBody} from '../admin-shapes.js';
import {FleetHarness} from './fleet-harness.js';
import {call, get, post} from './admin-path-calls.js';

const DRAIN = {vm: 'admin-1', reason: 'disk', operator: 'moana'};

describe('the operators\u2019 paths', () => {
  describe('to a drain', () => {
    it('answer with the offset, show the work, and take it back', async () => {
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

    it('answer 409 with the reason where a budget has no room', async () => {
      const fleet = await FleetHarness.start(SWAN_COAST);
      const first = {...DRAIN, vm: 'eligibility-1'};
      await post(fleet, FleetPath.Drains, first);
      const second = {...DRAIN, vm: 'eligibility-2'};
      const {status, body} = await post(fleet, FleetPath.Drains, second);
      assert.equal(status, 409);
      assert.deepEqual((body as {reason: string}).reason, 'leaving_limit');
    });

    // The operator's command line lost the answer and sends the same request again. The drain
    // stands once, and the second answer says that the first copy was judged.
    it('take the same request id once', async () => {
      const fleet = await FleetHarness.start(SWAN_COAST);
      const body = {...DRAIN, requestId: 'drain-42'};
      const first = await post(fleet, FleetPath.Drains, body);
      const again = await post(fleet, FleetPath.Drains, body);
      assert.equal(first.status, 200);
      assert.equal((again.body as {reason: string}).reason, 'duplicate');
      assert.equal(fleet.state.work.size, 1);
    });

    it('answer 400 naming the field of a malformed body', async () => {
      const fleet = await FleetHarness.start(SWAN_COAST);
      for (const body of [undefined, [], {vm: 1, reason: 'x'}, {vm: 'a'}]) {
        const {status} = await post(fleet, FleetPath.Drains, body);
        assert.equal(status, 400);
      }
      assert.equal(fleet.state.work.size, 0);
    });

    it('answer 503 while the log is out, and lose nothing that was said', async () => {
      const fleet = await FleetHarness.start(SWAN_COAST);
      fleet.log.faults.add(LogFault.Outage);
      const {status, body} = await post(fleet, FleetPath.Drains, DRAIN);
      assert.equal(status, 503);
      assert.match((body as {error: string}).error, /same requestId/);
    });
  });

  describe('to moves', () => {
    it('ask for the pool of a move that starts', async () => {
      const fleet = await FleetHarness.start(SWAN_COAST);
      const body = {action: 'start', vm: 'admin-1', reason: 'x'};
      const {status} = await post(fleet, FleetPath.Moves, body);
      assert.equal(status, 400);
    });
  });

  describe('to explain', () => {
    it('give cause, rule and what was turned down of the planner\u2019s decisions', async () => {
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
      const answer = await call(
        fleet,
        AdminMethod.Get,
        FleetPath.Explain,
        {query},
        planning,
      );
      const {decisions, planner} = answer.body as ExplainBody;
      assert.match(decisions[0].decision, /take VM .* out for wave wave-1/);
      assert.match(decisions[0].cause, /kernel update/);
      assert.equal(planner, fleet.daemons[planning].identity.name);
    });

    it('refuse an unknown subject', async () => {
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
