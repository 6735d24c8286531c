import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {SWAN_COAST} from '@gentiandoor/stand-ins';
import {FleetPath, type MemberBody} from '../admin-shapes.js';
import {FleetHarness} from './fleet-harness.js';
import {get, post} from './admin-path-calls.js';

const VM = 'admin-1';
const REMOVAL = {name: 'entry-2', reason: 'host is dead', operator: 'moana'};

async function members(fleet: FleetHarness): Promise<MemberBody[]> {
  const answer = await get(fleet, FleetPath.Members);
  return answer.body as MemberBody[];
}

describe('the operators\u2019 paths to members', () => {
  // A daemon crashes and the platform still lists its VM, so that nobody takes it out. A drain
  // waits for its word, for good: the caller's pool is a VM short and the move stands still.
  // The operator has stopped the host and says so; the drain ends with the next round.
  it('show what a crashed daemon holds up and take it out', async () => {
    const fleet = await FleetHarness.start(SWAN_COAST);
    fleet.daemons[1].sharedState.isDisconnected = true;
    const drain = {vm: VM, reason: 'disk', operator: 'moana'};
    assert.equal((await post(fleet, FleetPath.Drains, drain)).status, 200);
    await fleet.run(60_000);
    const [, crashed] = await members(fleet);
    assert.deepEqual(crashed.holdsUp, [VM]);
    assert.equal(crashed.linked, false);
    const answer = await post(fleet, FleetPath.MemberRemovals, REMOVAL);
    assert.equal(answer.status, 200);
    await fleet.run(5000);
    const left = await members(fleet);
    assert.deepEqual(
      left.map(({name, holdsUp}) => [name, holdsUp]),
      [['entry-1', []]],
    );
  });

  it('refuse one to which a link is up, itself, and one that is no member', async () => {
    const fleet = await FleetHarness.start(SWAN_COAST);
    fleet.daemons[0].linked.push(fleet.daemons[1].identity);
    for (const name of ['entry-1', 'entry-2', 'entry-9']) {
      const body = {...REMOVAL, name};
      const answer = await post(fleet, FleetPath.MemberRemovals, body);
      assert.equal(answer.status, 400);
      const {error} = answer.body as {error: string};
      assert.match(error, name === 'entry-9' ? /no member/ : /runs/);
    }
    assert.equal((await members(fleet)).length, 2);
  });

  it('refuse a removal without a reason', async () => {
    const fleet = await FleetHarness.start(SWAN_COAST);
    const body = {name: 'entry-2', operator: 'moana'};
    const answer = await post(fleet, FleetPath.MemberRemovals, body);
    assert.equal(answer.status, 400);
  });
});
