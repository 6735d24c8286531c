import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {MetricName, sleep} from '@gentiandoor/kernel';
import {
  ListedState,
  PeerTopic,
  RecordKind,
  StreamName,
  splitSnapshot,
  encodeRecord,
  stateHash,
} from '@gentiandoor/shared-state';
import {
  LogFault,
  LogConnectionFault,
  type MemoryPeerLinks,
} from '@gentiandoor/stand-ins';
import {rendezvousOrder} from '../rendezvous-order.js';
import {Session} from './session.js';

const SECOND = 1000;
const FIRST_BUNDLE = {version: 1, base: 0, author: 'moana'} as const;

async function startSession(
  entries: ReadonlyArray<readonly [string, string]>,
  settings: Record<string, string> = {},
): Promise<Session> {
  const session = new Session(settings);
  for (const [name, dataCentre] of entries)
    await session.start(name, dataCentre);
  await session.advance(3 * SECOND);
  const rollOut = session.proposeAndSignOff('entry-1', FIRST_BUNDLE, 'kerry');
  await session.advance(SECOND);
  await rollOut;
  return session;
}

const KINGSTON = [
  ['entry-1', 'hall-a'],
  ['entry-2', 'hall-b'],
  ['entry-3', 'hall-c'],
] as const;

describe('the shared state under faults', {timeout: 120_000}, () => {
  describe('a starting daemon', () => {
    // A read of the log lags and shows only version 1, while a peer already serves version 2.
    // The new daemon must not serve version 1; callers get "no bundle yet" until the records of
    // the peer bring it to version 2.
    it('does not serve a lower version than a peer shows', async () => {
      const session = await startSession(KINGSTON.slice(0, 2));
      const second = {version: 2, base: 1, author: 'moana'} as const;
      const rollOut = session.proposeAndSignOff('entry-1', second, 'kerry');
      await session.advance(SECOND);
      await rollOut;
      const end = session.log.endOf(StreamName.Fleet);
      const newDaemon = await session.start('entry-3', 'hall-c');
      const read = newDaemon.platformLog.read.bind(newDaemon.platformLog);
      newDaemon.platformLog.read = async (stream, from, options, signal) => {
        const batch = await read(stream, from, options, signal);
        if (stream !== StreamName.Fleet) return batch;
        const lag = end - 2;
        const payloads = batch.payloads.slice(0, Math.max(0, lag - from));
        return {...batch, payloads, end: lag};
      };
      await session.advance(10 * SECOND);
      assert.deepEqual(newDaemon.servedVersions, [2]);
      await session.stopAll();
    });

    // A move waits only for daemons that are members at its offset. If entry-3 served before its
    // own join was read back, a move started meanwhile would not wait for it: the VM would go to
    // its new pool while entry-3 still sends it work of the old one.
    it('serves nothing before it has read its own join', async () => {
      const session = await startSession(KINGSTON.slice(0, 2));
      const newDaemon = await session.start('entry-3', 'hall-c');
      const append = newDaemon.platformLog.append.bind(newDaemon.platformLog);
      newDaemon.platformLog.append = async (stream, payloads, signal) => {
        await sleep(session.clock, 3 * SECOND);
        return append(stream, payloads, signal);
      };
      let servedAsStranger = false;
      newDaemon.sharedState.onChange(() => {
        const {inForce, members} = newDaemon.sharedState.state;
        if (inForce && !members.has('entry-3.3')) servedAsStranger = true;
      });
      await session.advance(10 * SECOND);
      assert.equal(servedAsStranger, false);
      assert.equal(newDaemon.version, 1);
      await session.stopAll();
    });

    it('serves nothing while neither the log nor a peer shows the bundle in force', async () => {
      const session = await startSession(KINGSTON);
      session.log.faults.add(LogFault.Outage);
      for (const [name] of KINGSTON) await session.crash(name);
      for (const [name, dataCentre] of KINGSTON)
        await session.start(name, dataCentre);
      await session.advance(60 * SECOND);
      for (const daemon of session.daemons.values())
        assert.equal(daemon.version, undefined);
      await session.stopAll();
    });
  });

  describe('a daemon that starts while the log is down', () => {
    // The peers started from a snapshot and do not keep the first records. The new daemon
    // requests records from the first on, gets none, and must take a peer's complete state
    // instead and serve the same version with the same state.
    it('takes the complete state of a peer that keeps no old records', async () => {
      const session = await startSession(KINGSTON, {
        snapshot_records: '10',
        snapshot_check_milliseconds: '1000',
      });
      for (let index = 0; index < 20; index++)
        await session.log.append(StreamName.Fleet, [
          encodeRecord({
            kind: RecordKind.DrainEnded,
            id: session.nextId(),
            writer: 'moana',
            vm: 'hall-a-r1-1',
          }),
        ]);
      await session.advance(20 * SECOND);
      for (const [name, dataCentre] of KINGSTON) {
        await session.crash(name);
        await session.start(name, dataCentre);
        await session.advance(3 * SECOND);
      }
      session.log.faults.add(LogFault.Outage);
      await session.advance(20 * SECOND);
      const newDaemon = await session.start('entry-4', 'hall-a');
      await session.advance(5 * SECOND);
      assert.deepEqual(newDaemon.servedVersions, [1]);
      assert.match(session.transcript, /entry-4\s+SnapshotLoaded/);
      assert.equal(
        stateHash(newDaemon.sharedState.state),
        stateHash(session.daemon('entry-1').sharedState.state),
      );
      await session.stopAll();
    });
  });

  describe('a daemon that does not support the record format in use', () => {
    // Newer daemons raised the record format and left; then an old version starts. It must not
    // fold records it cannot read, must report that, publish nothing and not read in a busy loop.
    it('applies and publishes nothing', async () => {
      const session = new Session();
      const formatRaised = {
        kind: RecordKind.FormatRaised,
        id: session.nextId(),
        writer: 'entry-7.1',
        format: 2,
      } as const;
      const newerRecord = new Uint8Array([0x92, 0x02, 0x80]);
      await session.log.append(StreamName.Fleet, [
        encodeRecord(formatRaised),
        newerRecord,
      ]);
      const oldDaemon = await session.start('entry-1', 'hall-a');
      await session.advance(30 * SECOND);
      assert.equal(oldDaemon.version, undefined);
      const reads = oldDaemon.metrics.value(MetricName.LogReads, {
        stream: StreamName.Fleet,
      });
      assert.ok(reads < 20, `${reads} reads`);
      await session.publish('entry-1', 'drains', {
        kind: RecordKind.DrainStarted,
        id: session.nextId(),
        writer: 'moana',
        vm: 'hall-a-r1-1',
        reason: 'a bad fan',
      });
      assert.match(session.transcript, /drains: this version is older/);
      assert.equal(session.log.endOf(StreamName.Fleet), 2);
      await session.stopAll();
    });
  });

  describe('a peer that forges records', () => {
    // entry-2 cannot reach the log and takes a forged drain from a peer that claims to be ahead.
    // When the log returns, the offset holds a different record: the state must be discarded and
    // rebuilt from the log, and the served versions must never decrease.
    it('is detected when the log returns', async () => {
      const session = await startSession(KINGSTON.slice(0, 2));
      const affectedDaemon = session.daemon('entry-2');
      affectedDaemon.platformLog.faults.add(LogConnectionFault.Cut);
      session.network.partition('hall-a', 'hall-b');
      await session.advance(20 * SECOND);
      const forgingPeer = session.network.join({
        name: 'entry-9',
        incarnation: 'entry-9.1',
        dataCentre: 'hall-b',
      });
      const offset = session.log.endOf(StreamName.Fleet);
      answerWithForgedRecord(forgingPeer, offset);
      await forgingPeer.request('entry-2.2', PeerTopic.StateSummary, {
        offset: offset + 1,
        hash: 'made up',
        readsFormat: 1,
        version: 1,
        digest: 'made up',
        isLogReachable: true,
        isServing: true,
      });
      await session.advance(5 * SECOND);
      const {vms} = affectedDaemon.sharedState.state;
      assert.equal(vms.get('hall-a-r1-1')?.drainReason, 'made up');
      assert.ok(affectedDaemon.metrics.value(MetricName.BundleAlarms) > 0);
      session.network.leave('entry-9.1');
      const drained = session.publish('entry-1', 'drains another', {
        kind: RecordKind.DrainStarted,
        id: session.nextId(),
        writer: 'moana',
        vm: 'hall-a-r1-2',
        reason: 'true',
      });
      await session.advance(SECOND);
      await drained;
      affectedDaemon.platformLog.faults.clear();
      session.network.heal('hall-a', 'hall-b');
      await session.advance(20 * SECOND);
      assert.ok(
        affectedDaemon.metrics.value(MetricName.StateHashDifferences) > 0,
      );
      assert.equal(
        stateHash(affectedDaemon.sharedState.state),
        stateHash(session.daemon('entry-1').sharedState.state),
      );
      assert.equal(
        affectedDaemon.sharedState.state.vms.get('hall-a-r1-1')?.drainReason,
        undefined,
      );
      assert.deepEqual([...new Set(affectedDaemon.servedVersions)], [1]);
      await session.stopAll();
    });
  });

  describe('a connection to the log that goes silent', () => {
    // The long poll of entry-2 hangs on a connection that was dropped silently. Its peers have
    // version 2 and notify it; it must restart the read and fetch their records instead of
    // waiting for the poll to time out, so that the roll-out stays within its target time.
    it('does not delay a roll-out', async () => {
      const session = await startSession(KINGSTON);
      const affectedDaemon = session.daemon('entry-2');
      affectedDaemon.platformLog.silenceMilliseconds = 60_000;
      affectedDaemon.platformLog.faults.add(LogConnectionFault.Silent);
      affectedDaemon.sharedState.onChange(() => undefined);
      await session.advance(6 * SECOND);
      const second = {version: 2, base: 1, author: 'moana'} as const;
      const rollOut = session.proposeAndSignOff('entry-1', second, 'kerry');
      await session.advance(2 * SECOND);
      await rollOut;
      assert.equal(affectedDaemon.version, 2);
      await session.stopAll();
    });
  });

  describe('membership', () => {
    it('ends on a graceful stop but not on a crash', async () => {
      const session = await startSession(KINGSTON);
      const {sharedState} = session.daemon('entry-1');
      const leaving = session.daemon('entry-2').sharedState.drain();
      await session.advance(SECOND);
      await leaving;
      assert.equal(sharedState.state.members.has('entry-2.2'), false);
      await session.crash('entry-3');
      await session.advance(10 * SECOND);
      assert.equal(sharedState.state.members.has('entry-3.3'), true);
      await session.stopAll();
    });

    // entry-3 crashes permanently and the platform removes its VM from the list. A move would
    // wait forever for its acknowledgement, so exactly one other daemon must remove it.
    it('ends for a daemon whose VM is no longer listed', async () => {
      const session = await startSession(KINGSTON);
      for (const [id, dataCentre] of KINGSTON)
        session.vmList.put({
          id,
          dataCentre,
          address: '127.0.0.1:1',
          rack: 'r1',
          state: ListedState.Live,
        });
      await session.advance(10 * SECOND);
      await session.crash('entry-3');
      session.vmList.remove('entry-3');
      const {sharedState} = session.daemon('entry-1');
      await session.advance(50 * SECOND);
      assert.equal(sharedState.state.members.has('entry-3.3'), true);
      const before = session.log.endOf(StreamName.Fleet);
      await session.advance(60 * SECOND);
      assert.equal(sharedState.state.members.has('entry-3.3'), false);
      assert.equal(session.log.endOf(StreamName.Fleet), before + 1);
      await session.stopAll();
    });

    // entry-2 is paused, and a new process of the same name joins. When the old one resumes it
    // is no longer a member. It must not replace its successor, otherwise the two would replace
    // each other forever.
    it('passes to a new incarnation and does not return to the old one', async () => {
      const session = await startSession(KINGSTON);
      const oldDaemon = session.daemon('entry-2');
      await session.start('entry-2', 'hall-b');
      await session.advance(30 * SECOND);
      const {members} = session.daemon('entry-1').sharedState.state;
      assert.deepEqual([...members.keys()].sort(), [
        'entry-1.1',
        'entry-2.4',
        'entry-3.3',
      ]);
      const stopped = oldDaemon.sharedState.stop();
      await session.advance(SECOND);
      await stopped;
      await session.stopAll();
    });
  });

  describe('writing snapshots', () => {
    const settings = {
      snapshot_records: '10',
      snapshot_check_milliseconds: '1000',
    };

    async function appendRecords(
      session: Session,
      count: number,
    ): Promise<void> {
      for (let index = 0; index < count; index++)
        await session.log.append(StreamName.Fleet, [
          encodeRecord({
            kind: RecordKind.DrainEnded,
            id: session.nextId(),
            writer: 'moana',
            vm: 'hall-a-r1-1',
          }),
        ]);
    }

    it('is done by only one of three daemons', async () => {
      const session = await startSession(KINGSTON, settings);
      await appendRecords(session, 20);
      await session.advance(20 * SECOND);
      assert.equal(session.log.endOf(StreamName.Snapshots), 1);
      await session.stopAll();
    });

    it('passes to the next daemon by rank when the first one is gone', async () => {
      const session = await startSession(KINGSTON, settings);
      const {state} = session.daemon('entry-1').sharedState;
      const [first] = rendezvousOrder(
        state.members.values(),
        'snapshot after 0',
      );
      const name = [...state.members.values()].find(
        member => member.incarnation === first,
      )?.name;
      await session.crash(name ?? '');
      await appendRecords(session, 20);
      await session.advance(30 * SECOND);
      assert.equal(session.log.endOf(StreamName.Snapshots), 1);
      await session.stopAll();
    });

    it('skips an incomplete snapshot and loads the last complete one', async () => {
      const session = await startSession(KINGSTON, settings);
      await appendRecords(session, 20);
      await session.advance(20 * SECOND);
      const end = session.log.endOf(StreamName.Fleet);
      const [firstChunk] = splitSnapshot(end + 100, new Uint8Array(300_000));
      await session.log.append(StreamName.Snapshots, [firstChunk]);
      const newDaemon = await session.start('entry-4', 'hall-a');
      await session.advance(5 * SECOND);
      assert.deepEqual(newDaemon.servedVersions, [1]);
      assert.match(
        session.transcript,
        /entry-4\s+SnapshotSkipped .*half written/,
      );
      assert.match(session.transcript, /entry-4\s+SnapshotLoaded/);
      await session.stopAll();
    });
  });

  describe('diverging states', () => {
    it('are detected at equal offsets and counted', async () => {
      const session = await startSession(KINGSTON);
      const {state} = session.daemon('entry-2').sharedState;
      state.vms.set('hall-a-r1-1', {
        id: 'hall-a-r1-1',
        pool: 'another',
        epoch: 9,
      });
      const drained = session.publish('entry-1', 'drains', {
        kind: RecordKind.DrainStarted,
        id: session.nextId(),
        writer: 'moana',
        vm: 'hall-a-r1-2',
        reason: 'true',
      });
      await session.advance(20 * SECOND);
      await drained;
      const differences = [...session.daemons.values()].map(({metrics}) =>
        metrics.value(MetricName.StateHashDifferences),
      );
      assert.ok(
        differences.every(count => count > 0),
        String(differences),
      );
      await session.stopAll();
    });
  });
});

/** Makes a peer respond with one forged record for the offset. */
function answerWithForgedRecord(
  forgingPeer: MemoryPeerLinks,
  offset: number,
): void {
  const forgedRecord = encodeRecord({
    kind: RecordKind.DrainStarted,
    id: 'made up',
    writer: 'nobody',
    vm: 'hall-a-r1-1',
    reason: 'made up',
  });
  forgingPeer.setHandler(PeerTopic.Records, async () => ({
    from: offset,
    payloads: [forgedRecord],
  }));
  forgingPeer.setHandler(PeerTopic.StateSummary, async () => undefined);
}
