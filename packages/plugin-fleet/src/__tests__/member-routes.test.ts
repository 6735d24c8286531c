import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {SWAN_COAST} from '@gentiandoor/stand-ins';
import {FleetPath, type MemberBody} from '../admin-shapes.js';
import {FleetHarness} from './fleet-harness.js';
import {get, post} from './admin-path-calls.js';

const VM = 'admin-1';
const REMOVAL = {name: 'entry-2', reason: 'host is dead', operator: 'moana'};

async function members(fleet: FleetHarness): Promise<MemberBody[]> {
  const response = await get(fleet, FleetPath.Members);
  return response.body as MemberBody[];
}

describe('the admin paths for members', () => {
  // A daemon crashed, but the platform still lists its VM, so it stays a member. A drain
  // would wait for its acknowledgement permanently, with the pool one VM short. After the
  // operator stopped the host and removed the member, the drain no longer waits for it.
  it('show which VMs wait for a crashed daemon and remove it', async () => {
    const fleet = await FleetHarness.start(SWAN_COAST);
    fleet.daemons[1].sharedState.isDisconnected = true;
    const drain = {vm: VM, reason: 'disk', operator: 'moana'};
    assert.equal((await post(fleet, FleetPath.Drains, drain)).status, 200);
    await fleet.run(60_000);
    const [, crashed] = await members(fleet);
    assert.deepEqual(crashed.holdsUp, [VM]);
    assert.equal(crashed.linked, false);
    const response = await post(fleet, FleetPath.MemberRemovals, REMOVAL);
    assert.equal(response.status, 200);
    await fleet.run(5000);
    const remaining = await members(fleet);
    assert.deepEqual(
      remaining.map(({name, holdsUp}) => [name, holdsUp]),
      [['entry-1', []]],
    );
  });

  it('reject the removal of a linked daemon, of itself and of an unknown member', async () => {
    const fleet = await FleetHarness.start(SWAN_COAST);
    fleet.daemons[0].linked.push(fleet.daemons[1].identity);
    for (const name of ['entry-1', 'entry-2', 'entry-9']) {
      const body = {...REMOVAL, name};
      const response = await post(fleet, FleetPath.MemberRemovals, body);
      assert.equal(response.status, 400);
      const {error} = response.body as {error: string};
      assert.match(error, name === 'entry-9' ? /no member/ : /runs/);
    }
    assert.equal((await members(fleet)).length, 2);
  });

  it('reject a removal without a reason', async () => {
    const fleet = await FleetHarness.start(SWAN_COAST);
    const body = {name: 'entry-2', operator: 'moana'};
    const response = await post(fleet, FleetPath.MemberRemovals, body);
    assert.equal(response.status, 400);
  });
});
