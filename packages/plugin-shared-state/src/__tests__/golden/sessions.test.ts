import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {RecordKind, StreamName} from '@gentiandoor/shared-state';
import {LogFault, LogConnectionFault, assertGolden} from '@gentiandoor/stand-ins';
import {Session} from '../session.js';

const SECOND = 1000;
const MINUTE = 60 * SECOND;
const HOUR = 60 * MINUTE;

function goldenFile(name: string): URL {
  return new URL(
    `../../../src/__tests__/golden/${name}.golden.txt`,
    import.meta.url,
  );
}

async function startKingston(session: Session): Promise<void> {
  for (const [name, dataCentre] of [
    ['entry-1', 'hall-a'],
    ['entry-2', 'hall-b'],
    ['entry-3', 'hall-c'],
  ])
    await session.start(name, dataCentre);
  await session.advance(3 * SECOND);
}

/** No daemon ever went back to an older version. */
function assertVersionsNeverDecrease(session: Session): void {
  for (const [name, {servedVersions: served}] of session.daemons)
    assert.deepEqual(
      served,
      [...served].sort((left, right) => left - right),
      name,
    );
}

describe('golden sessions of the shared state', {timeout: 120_000}, () => {
  // Two operators build version 2 on version 1 at the same time and both are signed off.
  // The log orders the sign-offs: the first is in force everywhere, the second operator is
  // told what to build on, and builds version 3.
  it('a race of two bundles', async () => {
    const session = new Session();
    await startKingston(session);
    session.addHeading('version 1');
    const first = {version: 1, base: 0, author: 'moana'} as const;
    const rolled = session.proposeAndSignOff('entry-1', first, 'kerry');
    await session.advance(SECOND);
    await rolled;
    session.addHeading('two versions 2 at once');
    const left = {version: 2, base: 1, author: 'moana', slots: 4} as const;
    const right = {version: 2, base: 1, author: 'kerry', slots: 6} as const;
    const race = [
      session.proposeAndSignOff('entry-1', left, 'kerry'),
      session.proposeAndSignOff('entry-3', right, 'tui'),
    ];
    await session.advance(SECOND);
    await Promise.all(race);
    session.addHeading('the loser builds on the winner');
    const again = {version: 3, base: 2, author: 'kerry', slots: 6} as const;
    const third = session.proposeAndSignOff('entry-3', again, 'tui');
    await session.advance(SECOND);
    await third;
    session.addServedVersions();
    assertVersionsNeverDecrease(session);
    await session.stopAll();
    assertGolden(goldenFile('bundle-race'), session.transcript);
  });

  // The log takes a drain and its answer is lost. The daemon reads its own record back and
  // tells the operator that it took effect. Then every answer is lost and reading hangs too:
  // the fate is unknown and said so; when reading works again, the drain shows once.
  it('a lost answer', async () => {
    const session = new Session();
    await startKingston(session);
    const first = {version: 1, base: 0, author: 'moana'} as const;
    const rolled = session.proposeAndSignOff('entry-1', first, 'kerry');
    await session.advance(SECOND);
    await rolled;
    const entry = session.daemon('entry-1');
    const drain = (vm: string) =>
      ({
        kind: RecordKind.DrainStarted,
        id: session.nextId(),
        writer: 'moana',
        vm,
        reason: 'a bad fan',
      }) as const;
    session.addHeading('the answer of an append is lost, reads work');
    session.log.faults.add(LogFault.LostResponses);
    const drained = session.publish(
      'entry-1',
      'drains hall-a-r1-1',
      drain('hall-a-r1-1'),
    );
    await session.advance(5 * SECOND);
    await drained;
    session.addHeading('every answer to entry-1 is lost, and its peers are cut off');
    entry.path.faults.add(LogConnectionFault.LostResponses);
    for (const other of ['hall-b', 'hall-c']) session.network.partition('hall-a', other);
    const unknown = session.publish(
      'entry-1',
      'drains hall-a-r1-2',
      drain('hall-a-r1-2'),
    );
    await session.advance(20 * SECOND);
    await unknown;
    session.addHeading('answers come back');
    entry.path.faults.clear();
    session.log.faults.clear();
    await session.advance(10 * SECOND);
    for (const vm of ['hall-a-r1-1', 'hall-a-r1-2']) {
      const reason = entry.follower.state.vms.get(vm)?.drainReason;
      session.addLine('entry-1', `${vm} drains: ${reason}`);
    }
    session.addServedVersions();
    await session.stopAll();
    assertGolden(goldenFile('lost-answer'), session.transcript);
  });

  // The log is out for three hours. Every daemon serves on under its version; a roll-out is
  // told that nothing was sent. When the log returns the daemons come back one by one, spread
  // over some seconds, and the next roll-out goes through.
  it('an outage and the return', async () => {
    const session = new Session();
    await startKingston(session);
    const first = {version: 1, base: 0, author: 'moana'} as const;
    const rolled = session.proposeAndSignOff('entry-1', first, 'kerry');
    await session.advance(SECOND);
    await rolled;
    session.addHeading('the log is out for three hours');
    session.log.faults.add(LogFault.Outage);
    const second = {version: 2, base: 1, author: 'moana'} as const;
    const refused = session.proposeAndSignOff('entry-2', second, 'kerry');
    await session.advance(MINUTE);
    await refused;
    await session.advance(3 * HOUR, 10 * SECOND);
    session.addServedVersions();
    session.addHeading('the log returns');
    session.log.faults.clear();
    await session.advance(10 * SECOND);
    const again = session.proposeAndSignOff('entry-2', second, 'kerry');
    await session.advance(SECOND);
    await again;
    session.addServedVersions();
    assertVersionsNeverDecrease(session);
    await session.stopAll();
    assertGolden(goldenFile('outage-and-return'), session.transcript);
  });

  // hall-c cannot reach the log. It takes version 2 from its peers, with the same checks.
  // Then it is cut off from them too and goes on serving under version 2 while the others
  // have version 3; when the paths heal it has version 3 and never an older one.
  it('a data centre that is cut off', async () => {
    const session = new Session();
    await startKingston(session);
    const first = {version: 1, base: 0, author: 'moana'} as const;
    const rolled = session.proposeAndSignOff('entry-1', first, 'kerry');
    await session.advance(SECOND);
    await rolled;
    session.addHeading('hall-c cannot reach the log');
    const cutOff = session.daemon('entry-3');
    cutOff.path.faults.add(LogConnectionFault.Cut);
    await session.advance(20 * SECOND);
    const second = {version: 2, base: 1, author: 'moana'} as const;
    const next = session.proposeAndSignOff('entry-1', second, 'kerry');
    await session.advance(SECOND);
    await next;
    session.addServedVersions();
    session.addHeading('hall-c cannot reach its peers either');
    for (const other of ['hall-a', 'hall-b']) session.network.partition('hall-c', other);
    const third = {version: 3, base: 2, author: 'moana'} as const;
    const last = session.proposeAndSignOff('entry-1', third, 'kerry');
    await session.advance(MINUTE);
    await last;
    session.addServedVersions();
    session.addHeading('all paths heal');
    cutOff.path.faults.clear();
    for (const other of ['hall-a', 'hall-b']) session.network.heal('hall-c', other);
    await session.advance(10 * SECOND);
    session.addServedVersions();
    assertVersionsNeverDecrease(session);
    assert.deepEqual(cutOff.servedVersions, [1, 2, 3]);
    await session.stopAll();
    assertGolden(goldenFile('cut-off-data-centre'), session.transcript);
  });

  // All daemons are replaced at once, first with the log up: each serves nothing, then the
  // newest version, never one that it passes on its way. Then with the log down: nothing
  // anywhere can say what is in force, so all serve nothing until the log returns. Then one
  // by one with the log down: each new one takes the state from those that still have it.
  it('a restart storm', async () => {
    const session = new Session();
    await startKingston(session);
    for (const version of [1, 2, 3]) {
      const choice = {version, base: version - 1, author: 'moana'} as const;
      const rolled = session.proposeAndSignOff('entry-1', choice, 'kerry');
      await session.advance(SECOND);
      await rolled;
    }
    session.addHeading('all are replaced while the log is up');
    for (const name of [...session.daemons.keys()]) await session.crash(name);
    await startKingston(session);
    session.addServedVersions();
    for (const {servedVersions: served} of session.daemons.values())
      assert.deepEqual(served, [3]);
    session.addHeading('all are replaced while the log is down');
    session.log.faults.add(LogFault.Outage);
    for (const name of [...session.daemons.keys()]) await session.crash(name);
    await startKingston(session);
    await session.advance(MINUTE);
    session.addServedVersions();
    session.addHeading('the log returns');
    session.log.faults.clear();
    await session.advance(10 * SECOND);
    session.addServedVersions();
    session.addHeading('one after the other is replaced while the log is down');
    session.log.faults.add(LogFault.Outage);
    await session.advance(10 * SECOND);
    for (const {name, dataCentre} of [...session.daemons.values()]) {
      await session.crash(name);
      await session.start(name, dataCentre);
      await session.advance(5 * SECOND);
    }
    session.addServedVersions();
    for (const {servedVersions: served} of session.daemons.values())
      assert.deepEqual(served, [3]);
    await session.stopAll();
    assertGolden(goldenFile('restart-storm'), session.transcript);
  });

  // A data centre is cut off for so long that the log has dropped what it needs. One member
  // has taken snapshots meanwhile. Back again, the daemon meets the gap, leaves out a damaged
  // snapshot that claims to be newer, and goes on from the one that verifies.
  it('a retention gap', async () => {
    const session = new Session({
      snapshot_records: '10',
      snapshot_check_milliseconds: '2000',
    });
    await startKingston(session);
    const first = {version: 1, base: 0, author: 'moana'} as const;
    const rolled = session.proposeAndSignOff('entry-1', first, 'kerry');
    await session.advance(SECOND);
    await rolled;
    session.addHeading('hall-c is cut off from everything');
    const cutOff = session.daemon('entry-3');
    cutOff.path.faults.add(LogConnectionFault.Cut);
    for (const other of ['hall-a', 'hall-b']) session.network.partition('hall-c', other);
    for (const version of [2, 3, 4, 5, 6, 7]) {
      const choice = {version, base: version - 1, author: 'moana'} as const;
      const next = session.proposeAndSignOff('entry-1', choice, 'kerry');
      await session.advance(SECOND);
      await next;
    }
    await session.advance(MINUTE);
    session.addHeading('the log drops all but the last records; a snapshot is damaged');
    const end = session.log.endOf(StreamName.Fleet);
    session.log.expire(StreamName.Fleet, end - 2);
    await session.log.append(StreamName.Snapshots, [Buffer.from('damaged')]);
    session.addHeading('hall-c reaches the log again, its peers not yet');
    cutOff.path.faults.clear();
    await session.advance(10 * SECOND);
    session.addServedVersions();
    session.addHeading('a fresh daemon starts behind the gap');
    await session.start('entry-4', 'hall-a');
    await session.advance(5 * SECOND);
    session.addServedVersions();
    assertVersionsNeverDecrease(session);
    assert.deepEqual(cutOff.servedVersions, [1, 7]);
    assert.deepEqual(session.daemon('entry-4').servedVersions, [7]);
    await session.stopAll();
    assertGolden(goldenFile('retention-gap'), session.transcript);
  });
});
