import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {SubjectKind} from '@gentiandoor/kernel';
import {
  MoveCause,
  RecordKind,
  outstandingDaemons,
  plannerOf,
} from '@gentiandoor/shared-state';
import {LogFault, SWAN_COAST} from '@gentiandoor/stand-ins';
import {FleetHarness} from './fleet-harness.js';

const VM = 'statements-1';
const MINUTE = 60_000;

async function startMove(fleet: FleetHarness, toPool = 'admin'): Promise<void> {
  await fleet.appendOperatorRecord({
    kind: RecordKind.MoveStarted,
    vm: VM,
    epoch: fleet.state.vms.get(VM)?.epoch ?? 0,
    toPool,
    cause: MoveCause.Operator,
    reason: 'more statements at the end of the month',
  });
}

function hold(fleet: FleetHarness, daemon = 0): void {
  fleet.daemons[daemon].routing.busy.add(VM);
}

function release(fleet: FleetHarness): void {
  for (const daemon of fleet.daemons) daemon.routing.busy.delete(VM);
}

function owner(fleet: FleetHarness): string | undefined {
  return fleet.state.vms.get(VM)?.pool;
}

async function abort(fleet: FleetHarness): Promise<void> {
  const startedAt = fleet.state.work.get(VM)?.startedAt ?? 0;
  await fleet.appendOperatorRecord({
    kind: RecordKind.MoveAborted,
    vm: VM,
    startedAt,
    reason: 'not needed',
  });
}

describe('a move between pools', () => {
  it('goes through release, drain, acknowledgement and assignment', async () => {
    const fleet = await FleetHarness.start(SWAN_COAST);
    await startMove(fleet);
    await fleet.runUntil(() => owner(fleet) === 'admin', MINUTE);
    assert.equal(fleet.state.vms.get(VM)?.epoch, 2);
    assert.equal(fleet.state.vms.get(VM)?.drainReason, undefined);
  });

  it('waits for the daemon that still has an exchange and says which', async () => {
    const fleet = await FleetHarness.start(SWAN_COAST);
    hold(fleet, 1);
    await startMove(fleet);
    await fleet.run(5 * MINUTE);
    const work = fleet.state.work.get(VM);
    assert.ok(work);
    assert.deepEqual(outstandingDaemons(fleet.state, work), ['incarnation-2']);
    const named =
      fleet.planningDaemon?.journal.entriesAbout(SubjectKind.Vm, VM) ?? [];
    assert.match(named.at(-1)?.cause ?? '', /waits for entry-2/);
    assert.equal(owner(fleet), 'statements');
    release(fleet);
    await fleet.runUntil(() => owner(fleet) === 'admin', MINUTE);
  });

  describe('aborted', () => {
    it('before acknowledgement leaves the VM where it was', async () => {
      const fleet = await FleetHarness.start(SWAN_COAST);
      hold(fleet);
      await startMove(fleet);
      await fleet.run(5000);
      await abort(fleet);
      release(fleet);
      await fleet.run(MINUTE);
      assert.equal(owner(fleet), 'statements');
      assert.equal(fleet.state.vms.get(VM)?.epoch, 1);
      assert.equal(fleet.state.vms.get(VM)?.drainReason, undefined);
    });

    it('after assignment changes nothing: the answer names the new owner', async () => {
      const fleet = await FleetHarness.start(SWAN_COAST);
      await startMove(fleet);
      const {startedAt} = fleet.state.work.get(VM) ?? {startedAt: 0};
      await fleet.runUntil(() => owner(fleet) === 'admin', MINUTE);
      const {publisher} = fleet.daemons[0];
      const published = publisher.publish({
        kind: RecordKind.MoveAborted,
        writer: 'moana',
        vm: VM,
        startedAt,
        reason: 'too late',
      });
      await fleet.run(5000);
      const {rejection} = await published;
      assert.match(rejection?.detail ?? '', /belongs to pool admin, epoch 2/);
      assert.equal(owner(fleet), 'admin');
    });

    // A daemon acknowledged the first move. It was aborted, so the daemon routes again. The
    // acknowledgement must not count for a second move of the same VM.
    it('does not let an old acknowledgement stand for a later move', async () => {
      const fleet = await FleetHarness.start(SWAN_COAST);
      hold(fleet, 1);
      await startMove(fleet);
      await fleet.run(10_000);
      await abort(fleet);
      release(fleet);
      hold(fleet, 0);
      await startMove(fleet);
      await fleet.run(MINUTE);
      const work = fleet.state.work.get(VM);
      assert.ok(work);
      assert.deepEqual(outstandingDaemons(fleet.state, work), [
        'incarnation-1',
      ]);
      assert.equal(owner(fleet), 'statements');
    });
  });

  describe('whose VM dies while it drains', () => {
    // The VM leaves the list. Exchanges on it break, so the daemons acknowledge; ownership
    // still follows the operator's wish, and repair finds the VM in its new pool.
    it('is assigned, and the VM is repaired in its new pool', async () => {
      const fleet = await FleetHarness.start(SWAN_COAST);
      hold(fleet);
      await startMove(fleet);
      await fleet.run(5000);
      fleet.vmList.remove(VM);
      release(fleet);
      await fleet.runUntil(() => owner(fleet) === 'admin', 5 * MINUTE);
      await fleet.runUntil(
        () => fleet.actions.startedActions.length > 0,
        30 * MINUTE,
      );
      assert.equal(fleet.actions.startedActions[0].vm, VM);
    });
  });

  describe('with the log gone', () => {
    for (const step of ['drain', 'assignment']) {
      it(`at its ${step} stands still and ends afterwards`, async () => {
        const fleet = await FleetHarness.start(SWAN_COAST);
        hold(fleet);
        await startMove(fleet);
        await fleet.run(5000);
        if (step === 'assignment') release(fleet);
        fleet.log.faults.add(LogFault.Outage);
        await fleet.run(10 * MINUTE);
        assert.equal(owner(fleet), 'statements');
        release(fleet);
        fleet.log.faults.delete(LogFault.Outage);
        await fleet.runUntil(() => owner(fleet) === 'admin', 5 * MINUTE);
        assert.equal(fleet.state.vms.get(VM)?.epoch, 2);
      });
    }
  });

  describe('with a daemon cut off from the log', () => {
    // The daemon may still route to the VM under the old pool. It does not acknowledge, so the
    // VM is not given away, however long that takes, until the daemon is replaced.
    it('waits until the daemon is replaced', async () => {
      const fleet = await FleetHarness.start(SWAN_COAST, 3);
      const cut = fleet.daemons.findIndex(
        daemon =>
          daemon !== fleet.planningDaemon && daemon !== fleet.daemons.at(-1),
      );
      fleet.daemons[cut].sharedState.isDisconnected = true;
      await startMove(fleet);
      await fleet.run(10 * MINUTE);
      assert.equal(owner(fleet), 'statements');
      const {name, dataCentre} = fleet.daemons[cut].identity;
      await fleet.appendOperatorRecord({
        kind: RecordKind.MemberJoined,
        name,
        incarnation: 'incarnation-new',
        dataCentre,
        peerAddress: '127.0.0.1:1',
      });
      await fleet.runUntil(() => owner(fleet) === 'admin', 5 * MINUTE);
    });
  });
});

describe('a planner paused for minutes', () => {
  for (const step of ['release', 'drain', 'acknowledgement']) {
    // The planner neither reads nor writes while the move is at this step. Another daemon takes
    // the term and finishes the move. The paused one wakes with its old state and its old term:
    // the fold rejects what it writes, and the VM has moved once.
    it(`at ${step} is replaced, and fenced when it wakes`, async () => {
      const fleet = await FleetHarness.start(SWAN_COAST, 3);
      const paused = fleet.planningDaemon;
      assert.ok(paused);
      const {term} = plannerOf(fleet.state);
      const others = fleet.daemons.filter(daemon => daemon !== paused);
      const observer = others[0];
      if (step !== 'release') {
        observer.routing.busy.add(VM);
        await startMove(fleet);
        await fleet.run(3000);
      }
      paused.sharedState.isDisconnected = true;
      if (step === 'release') await startMove(fleet);
      if (step === 'drain') await fleet.run(MINUTE);
      observer.routing.busy.delete(VM);
      await fleet.run(4 * MINUTE);
      assert.ok(plannerOf(observer.state).term > term);
      paused.sharedState.isDisconnected = false;
      const late = paused.publisher.publish({
        kind: RecordKind.PlannerRenewed,
        writer: paused.identity.incarnation,
        term,
      });
      await fleet.run(MINUTE);
      assert.equal((await late).rejection?.reason, 'stale_term');
      assert.equal(observer.state.vms.get(VM)?.pool, 'admin');
      assert.equal(observer.state.vms.get(VM)?.epoch, 2);
    });
  }

  it('does not take the role back while another holds it', async () => {
    const fleet = await FleetHarness.start(SWAN_COAST, 3);
    const paused = fleet.planningDaemon;
    assert.ok(paused);
    paused.sharedState.isDisconnected = true;
    await fleet.run(4 * MINUTE);
    paused.sharedState.isDisconnected = false;
    await fleet.run(MINUTE);
    const {term, holder} = plannerOf(fleet.state);
    await fleet.run(10 * MINUTE);
    assert.deepEqual(plannerOf(fleet.state).term, term);
    assert.notEqual(holder, paused.identity.incarnation);
  });

  it('is not replaced for a log outage', async () => {
    const fleet = await FleetHarness.start(SWAN_COAST, 3);
    const {term, holder} = plannerOf(fleet.state);
    fleet.log.faults.add(LogFault.Outage);
    await fleet.run(30 * MINUTE);
    fleet.log.faults.delete(LogFault.Outage);
    await fleet.run(2 * MINUTE);
    assert.equal(plannerOf(fleet.state).term, term);
    assert.equal(plannerOf(fleet.state).holder, holder);
  });
});
