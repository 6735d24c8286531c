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

function blockDrain(fleet: FleetHarness, daemon = 0): void {
  fleet.daemons[daemon].routing.busy.add(VM);
}

function unblockDrains(fleet: FleetHarness): void {
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

  it('waits for the daemon that still has an exchange and names it', async () => {
    const fleet = await FleetHarness.start(SWAN_COAST);
    blockDrain(fleet, 1);
    await startMove(fleet);
    await fleet.run(5 * MINUTE);
    const work = fleet.state.work.get(VM);
    assert.ok(work);
    assert.deepEqual(outstandingDaemons(fleet.state, work), ['incarnation-2']);
    const decisions =
      fleet.planningDaemon?.journal.entriesAbout(SubjectKind.Vm, VM) ?? [];
    assert.match(decisions.at(-1)?.cause ?? '', /waits for entry-2/);
    assert.equal(owner(fleet), 'statements');
    unblockDrains(fleet);
    await fleet.runUntil(() => owner(fleet) === 'admin', MINUTE);
  });

  describe('aborted', () => {
    it('before acknowledgement leaves the VM in its pool', async () => {
      const fleet = await FleetHarness.start(SWAN_COAST);
      blockDrain(fleet);
      await startMove(fleet);
      await fleet.run(5000);
      await abort(fleet);
      unblockDrains(fleet);
      await fleet.run(MINUTE);
      assert.equal(owner(fleet), 'statements');
      assert.equal(fleet.state.vms.get(VM)?.epoch, 1);
      assert.equal(fleet.state.vms.get(VM)?.drainReason, undefined);
    });

    it('after assignment has no effect and names the new owner', async () => {
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

    // A daemon acknowledged the first move, which was then aborted, so the daemon routes to the VM
    // again. The old acknowledgement must not count for a second move of the same VM.
    it('does not count an old acknowledgement for a later move', async () => {
      const fleet = await FleetHarness.start(SWAN_COAST);
      blockDrain(fleet, 1);
      await startMove(fleet);
      await fleet.run(10_000);
      await abort(fleet);
      unblockDrains(fleet);
      blockDrain(fleet, 0);
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

  describe('whose VM disappears while it drains', () => {
    // The VM leaves the list. Its exchanges break, so the daemons acknowledge; the VM is
    // still assigned as the operator requested, and repair finds it in its new pool.
    it('is assigned, and the VM is repaired in its new pool', async () => {
      const fleet = await FleetHarness.start(SWAN_COAST);
      blockDrain(fleet);
      await startMove(fleet);
      await fleet.run(5000);
      fleet.vmList.remove(VM);
      unblockDrains(fleet);
      await fleet.runUntil(() => owner(fleet) === 'admin', 5 * MINUTE);
      await fleet.runUntil(
        () => fleet.actions.startedActions.length > 0,
        30 * MINUTE,
      );
      assert.equal(fleet.actions.startedActions[0].vm, VM);
    });
  });

  describe('during a log outage', () => {
    for (const step of ['drain', 'assignment']) {
      it(`at its ${step} pauses and completes afterwards`, async () => {
        const fleet = await FleetHarness.start(SWAN_COAST);
        blockDrain(fleet);
        await startMove(fleet);
        await fleet.run(5000);
        if (step === 'assignment') unblockDrains(fleet);
        fleet.log.faults.add(LogFault.Outage);
        await fleet.run(10 * MINUTE);
        assert.equal(owner(fleet), 'statements');
        unblockDrains(fleet);
        fleet.log.faults.delete(LogFault.Outage);
        await fleet.runUntil(() => owner(fleet) === 'admin', 5 * MINUTE);
        assert.equal(fleet.state.vms.get(VM)?.epoch, 2);
      });
    }
  });

  describe('with a daemon disconnected from the log', () => {
    // The daemon may still route to the VM under the old pool. It does not acknowledge,
    // so the VM must not be assigned to another pool, however long that takes, until the
    // daemon is replaced.
    it('waits until the daemon is replaced', async () => {
      const fleet = await FleetHarness.start(SWAN_COAST, 3);
      const disconnected = fleet.daemons.findIndex(
        daemon =>
          daemon !== fleet.planningDaemon && daemon !== fleet.daemons.at(-1),
      );
      fleet.daemons[disconnected].sharedState.isDisconnected = true;
      await startMove(fleet);
      await fleet.run(10 * MINUTE);
      assert.equal(owner(fleet), 'statements');
      const {name, dataCentre} = fleet.daemons[disconnected].identity;
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
    // The planner neither reads nor writes while the move is at this step. Another daemon
    // takes the term and finishes the move. The paused one resumes with its old state and
    // its old term: the fold must reject what it writes, and the VM must have moved once.
    it(`at ${step} is replaced, and fenced when it resumes`, async () => {
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

  it('does not take the term back while another daemon holds it', async () => {
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

  it('is not replaced because of a log outage', async () => {
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
