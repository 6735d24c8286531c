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

/** Asserts that no daemon went back to an older version. */
function assertVersionsNeverDecrease(session: Session): void {
  for (const [name, {servedVersions: served}] of session.daemons)
    assert.deepEqual(
      served,
      [...served].sort((left, right) => left - right),
      name,
    );
}

describe('golden sessions of the shared state', {timeout: 120_000}, () => {
  // Two operators base a version 2 on version 1 at the same time and both are signed off. By
  // log order the first sign-off must come into force everywhere. The second operator must get
  // an error that names the base to use, and then succeeds with version 3.
  it('two concurrent bundles based on the same version', async () => {
    const session = new Session();
    await startKingston(session);
    session.addHeading('version 1');
    const first = {version: 1, base: 0, author: 'moana'} as const;
    const rollOut = session.proposeAndSignOff('entry-1', first, 'kerry');
    await session.advance(SECOND);
    await rollOut;
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
    const rebased = {version: 3, base: 2, author: 'kerry', slots: 6} as const;
    const third = session.proposeAndSignOff('entry-3', rebased, 'tui');
    await session.advance(SECOND);
    await third;
    session.addServedVersions();
    assertVersionsNeverDecrease(session);
    await session.stopAll();
    assertGolden(goldenFile('bundle-race'), session.transcript);
  });

  // The log accepts a drain but its response is lost. The daemon must read its own record back
  // and report success. Then all responses are lost, those to reads too: the outcome must be
  // reported as unknown, and once reads work again the drain must appear exactly once.
  it('a lost response of the log', async () => {
    const session = new Session();
    await startKingston(session);
    const first = {version: 1, base: 0, author: 'moana'} as const;
    const rollOut = session.proposeAndSignOff('entry-1', first, 'kerry');
    await session.advance(SECOND);
    await rollOut;
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
    entry.platformLog.faults.add(LogConnectionFault.LostResponses);
    for (const other of ['hall-b', 'hall-c']) session.network.partition('hall-a', other);
    const unknown = session.publish(
      'entry-1',
      'drains hall-a-r1-2',
      drain('hall-a-r1-2'),
    );
    await session.advance(20 * SECOND);
    await unknown;
    session.addHeading('answers come back');
    entry.platformLog.faults.clear();
    session.log.faults.clear();
    await session.advance(10 * SECOND);
    for (const vm of ['hall-a-r1-1', 'hall-a-r1-2']) {
      const reason = entry.sharedState.state.vms.get(vm)?.drainReason;
      session.addLine('entry-1', `${vm} drains: ${reason}`);
    }
    session.addServedVersions();
    await session.stopAll();
    assertGolden(goldenFile('lost-answer'), session.transcript);
  });

  // The log is down for three hours. Every daemon must keep serving its version, and a roll-out
  // must be refused with the message that nothing was sent. After the outage the daemons
  // reconnect spread over some seconds, and the next roll-out must succeed.
  it('an outage of the log and its recovery', async () => {
    const session = new Session();
    await startKingston(session);
    const first = {version: 1, base: 0, author: 'moana'} as const;
    const rollOut = session.proposeAndSignOff('entry-1', first, 'kerry');
    await session.advance(SECOND);
    await rollOut;
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
    const retry = session.proposeAndSignOff('entry-2', second, 'kerry');
    await session.advance(SECOND);
    await retry;
    session.addServedVersions();
    assertVersionsNeverDecrease(session);
    await session.stopAll();
    assertGolden(goldenFile('outage-and-return'), session.transcript);
  });

  // hall-c cannot reach the log and must get version 2 from its peers, with the same checks.
  // Then it is partitioned from them too and must keep serving version 2 while the others have
  // version 3. When the partition heals it must get version 3 and never an older one.
  it('a partitioned data centre', async () => {
    const session = new Session();
    await startKingston(session);
    const first = {version: 1, base: 0, author: 'moana'} as const;
    const rollOut = session.proposeAndSignOff('entry-1', first, 'kerry');
    await session.advance(SECOND);
    await rollOut;
    session.addHeading('hall-c cannot reach the log');
    const cutOffDaemon = session.daemon('entry-3');
    cutOffDaemon.platformLog.faults.add(LogConnectionFault.Cut);
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
    cutOffDaemon.platformLog.faults.clear();
    for (const other of ['hall-a', 'hall-b']) session.network.heal('hall-c', other);
    await session.advance(10 * SECOND);
    session.addServedVersions();
    assertVersionsNeverDecrease(session);
    assert.deepEqual(cutOffDaemon.servedVersions, [1, 2, 3]);
    await session.stopAll();
    assertGolden(goldenFile('cut-off-data-centre'), session.transcript);
  });

  // All daemons are replaced at once. With the log up, each must serve nothing and then the
  // newest version, never one it reads on the way. With the log down, the version in force is
  // unknown, so all must serve nothing until the log returns. Replaced one by one with the log
  // down, each new daemon must take the state from those that still have it.
  it('all daemons restarting', async () => {
    const session = new Session();
    await startKingston(session);
    for (const version of [1, 2, 3]) {
      const bundle = {version, base: version - 1, author: 'moana'} as const;
      const rollOut = session.proposeAndSignOff('entry-1', bundle, 'kerry');
      await session.advance(SECOND);
      await rollOut;
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

  // A data centre is partitioned until the log has expired records it needs, while a member has
  // written snapshots. After it reaches the log again, its daemon must detect the gap, skip a
  // damaged snapshot that is newer in the stream, and continue from the one that verifies.
  it('a gap in the log after records expired', async () => {
    const session = new Session({
      snapshot_records: '10',
      snapshot_check_milliseconds: '2000',
    });
    await startKingston(session);
    const first = {version: 1, base: 0, author: 'moana'} as const;
    const rollOut = session.proposeAndSignOff('entry-1', first, 'kerry');
    await session.advance(SECOND);
    await rollOut;
    session.addHeading('hall-c is cut off from everything');
    const cutOffDaemon = session.daemon('entry-3');
    cutOffDaemon.platformLog.faults.add(LogConnectionFault.Cut);
    for (const other of ['hall-a', 'hall-b']) session.network.partition('hall-c', other);
    for (const version of [2, 3, 4, 5, 6, 7]) {
      const bundle = {version, base: version - 1, author: 'moana'} as const;
      const next = session.proposeAndSignOff('entry-1', bundle, 'kerry');
      await session.advance(SECOND);
      await next;
    }
    await session.advance(MINUTE);
    session.addHeading('the log drops all but the last records; a snapshot is damaged');
    const end = session.log.endOf(StreamName.Fleet);
    session.log.expire(StreamName.Fleet, end - 2);
    await session.log.append(StreamName.Snapshots, [Buffer.from('damaged')]);
    session.addHeading('hall-c reaches the log again, its peers not yet');
    cutOffDaemon.platformLog.faults.clear();
    await session.advance(10 * SECOND);
    session.addServedVersions();
    session.addHeading('a fresh daemon starts behind the gap');
    await session.start('entry-4', 'hall-a');
    await session.advance(5 * SECOND);
    session.addServedVersions();
    assertVersionsNeverDecrease(session);
    assert.deepEqual(cutOffDaemon.servedVersions, [1, 7]);
    assert.deepEqual(session.daemon('entry-4').servedVersions, [7]);
    await session.stopAll();
    assertGolden(goldenFile('retention-gap'), session.transcript);
  });
});
