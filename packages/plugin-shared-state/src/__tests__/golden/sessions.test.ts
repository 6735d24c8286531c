import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {RecordKind, StreamName} from '@gentiandoor/shared-state';
import {LogFault, LogPathFault, assertGolden} from '@gentiandoor/stand-ins';
import {Session} from '../session.js';

const SECOND = 1000;
const MINUTE = 60 * SECOND;
const HOUR = 60 * MINUTE;

function golden(name: string): URL {
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
  await session.pass(3 * SECOND);
}

/** No daemon ever went back to an older version. */
function assertNeverBack(session: Session): void {
  for (const [name, {served}] of session.daemons)
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
    session.tell('version 1');
    const first = {version: 1, base: 0, author: 'moana'} as const;
    const rolled = session.rollOut('entry-1', first, 'kerry');
    await session.pass(SECOND);
    await rolled;
    session.tell('two versions 2 at once');
    const left = {version: 2, base: 1, author: 'moana', slots: 4} as const;
    const right = {version: 2, base: 1, author: 'kerry', slots: 6} as const;
    const race = [
      session.rollOut('entry-1', left, 'kerry'),
      session.rollOut('entry-3', right, 'tui'),
    ];
    await session.pass(SECOND);
    await Promise.all(race);
    session.tell('the loser builds on the winner');
    const again = {version: 3, base: 2, author: 'kerry', slots: 6} as const;
    const third = session.rollOut('entry-3', again, 'tui');
    await session.pass(SECOND);
    await third;
    session.show();
    assertNeverBack(session);
    await session.stopAll();
    assertGolden(golden('bundle-race'), session.text);
  });

  // The log takes a drain and its answer is lost. The daemon reads its own record back and
  // tells the operator that it took effect. Then every answer is lost and reading hangs too:
  // the fate is unknown and said so; when reading works again, the drain shows once.
  it('a lost answer', async () => {
    const session = new Session();
    await startKingston(session);
    const first = {version: 1, base: 0, author: 'moana'} as const;
    const rolled = session.rollOut('entry-1', first, 'kerry');
    await session.pass(SECOND);
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
    session.tell('the answer of an append is lost, reads work');
    session.log.faults.add(LogFault.LostAnswers);
    const drained = session.publish(
      'entry-1',
      'drains hall-a-r1-1',
      drain('hall-a-r1-1'),
    );
    await session.pass(5 * SECOND);
    await drained;
    session.tell('every answer to entry-1 is lost, and its peers are cut off');
    entry.path.faults.add(LogPathFault.LostAnswers);
    for (const other of ['hall-b', 'hall-c']) session.network.cut('hall-a', other);
    const unknown = session.publish(
      'entry-1',
      'drains hall-a-r1-2',
      drain('hall-a-r1-2'),
    );
    await session.pass(20 * SECOND);
    await unknown;
    session.tell('answers come back');
    entry.path.faults.clear();
    session.log.faults.clear();
    await session.pass(10 * SECOND);
    for (const vm of ['hall-a-r1-1', 'hall-a-r1-2']) {
      const reason = entry.follower.state.vms.get(vm)?.drainReason;
      session.note('entry-1', `${vm} drains: ${reason}`);
    }
    session.show();
    await session.stopAll();
    assertGolden(golden('lost-answer'), session.text);
  });

  // The log is out for three hours. Every daemon serves on under its version; a roll-out is
  // told that nothing was sent. When the log returns the daemons come back one by one, spread
  // over some seconds, and the next roll-out goes through.
  it('an outage and the return', async () => {
    const session = new Session();
    await startKingston(session);
    const first = {version: 1, base: 0, author: 'moana'} as const;
    const rolled = session.rollOut('entry-1', first, 'kerry');
    await session.pass(SECOND);
    await rolled;
    session.tell('the log is out for three hours');
    session.log.faults.add(LogFault.Outage);
    const second = {version: 2, base: 1, author: 'moana'} as const;
    const refused = session.rollOut('entry-2', second, 'kerry');
    await session.pass(MINUTE);
    await refused;
    await session.pass(3 * HOUR, 10 * SECOND);
    session.show();
    session.tell('the log returns');
    session.log.faults.clear();
    await session.pass(10 * SECOND);
    const again = session.rollOut('entry-2', second, 'kerry');
    await session.pass(SECOND);
    await again;
    session.show();
    assertNeverBack(session);
    await session.stopAll();
    assertGolden(golden('outage-and-return'), session.text);
  });

  // hall-c cannot reach the log. It takes version 2 from its peers, with the same checks.
  // Then it is cut off from them too and goes on serving under version 2 while the others
  // have version 3; when the paths heal it has version 3 and never an older one.
  it('a data centre that is cut off', async () => {
    const session = new Session();
    await startKingston(session);
    const first = {version: 1, base: 0, author: 'moana'} as const;
    const rolled = session.rollOut('entry-1', first, 'kerry');
    await session.pass(SECOND);
    await rolled;
    session.tell('hall-c cannot reach the log');
    const cutOff = session.daemon('entry-3');
    cutOff.path.faults.add(LogPathFault.Cut);
    await session.pass(20 * SECOND);
    const second = {version: 2, base: 1, author: 'moana'} as const;
    const next = session.rollOut('entry-1', second, 'kerry');
    await session.pass(SECOND);
    await next;
    session.show();
    session.tell('hall-c cannot reach its peers either');
    for (const other of ['hall-a', 'hall-b']) session.network.cut('hall-c', other);
    const third = {version: 3, base: 2, author: 'moana'} as const;
    const last = session.rollOut('entry-1', third, 'kerry');
    await session.pass(MINUTE);
    await last;
    session.show();
    session.tell('all paths heal');
    cutOff.path.faults.clear();
    for (const other of ['hall-a', 'hall-b']) session.network.heal('hall-c', other);
    await session.pass(10 * SECOND);
    session.show();
    assertNeverBack(session);
    assert.deepEqual(cutOff.served, [1, 2, 3]);
    await session.stopAll();
    assertGolden(golden('cut-off-data-centre'), session.text);
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
      const rolled = session.rollOut('entry-1', choice, 'kerry');
      await session.pass(SECOND);
      await rolled;
    }
    session.tell('all are replaced while the log is up');
    for (const name of [...session.daemons.keys()]) await session.crash(name);
    await startKingston(session);
    session.show();
    for (const {served} of session.daemons.values())
      assert.deepEqual(served, [3]);
    session.tell('all are replaced while the log is down');
    session.log.faults.add(LogFault.Outage);
    for (const name of [...session.daemons.keys()]) await session.crash(name);
    await startKingston(session);
    await session.pass(MINUTE);
    session.show();
    session.tell('the log returns');
    session.log.faults.clear();
    await session.pass(10 * SECOND);
    session.show();
    session.tell('one after the other is replaced while the log is down');
    session.log.faults.add(LogFault.Outage);
    await session.pass(10 * SECOND);
    for (const {name, dataCentre} of [...session.daemons.values()]) {
      await session.crash(name);
      await session.start(name, dataCentre);
      await session.pass(5 * SECOND);
    }
    session.show();
    for (const {served} of session.daemons.values())
      assert.deepEqual(served, [3]);
    await session.stopAll();
    assertGolden(golden('restart-storm'), session.text);
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
    const rolled = session.rollOut('entry-1', first, 'kerry');
    await session.pass(SECOND);
    await rolled;
    session.tell('hall-c is cut off from everything');
    const cutOff = session.daemon('entry-3');
    cutOff.path.faults.add(LogPathFault.Cut);
    for (const other of ['hall-a', 'hall-b']) session.network.cut('hall-c', other);
    for (const version of [2, 3, 4, 5, 6, 7]) {
      const choice = {version, base: version - 1, author: 'moana'} as const;
      const next = session.rollOut('entry-1', choice, 'kerry');
      await session.pass(SECOND);
      await next;
    }
    await session.pass(MINUTE);
    session.tell('the log drops all but the last records; a snapshot is damaged');
    const end = session.log.endOf(StreamName.Fleet);
    session.log.expire(StreamName.Fleet, end - 2);
    await session.log.append(StreamName.Snapshots, [Buffer.from('damaged')]);
    session.tell('hall-c reaches the log again, its peers not yet');
    cutOff.path.faults.clear();
    await session.pass(10 * SECOND);
    session.show();
    session.tell('a fresh daemon starts behind the gap');
    await session.start('entry-4', 'hall-a');
    await session.pass(5 * SECOND);
    session.show();
    assertNeverBack(session);
    assert.deepEqual(cutOff.served, [1, 7]);
    assert.deepEqual(session.daemon('entry-4').served, [7]);
    await session.stopAll();
    assertGolden(golden('retention-gap'), session.text);
  });
});
