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
  const rolled = session.proposeAndSignOff('entry-1', FIRST_BUNDLE, 'kerry');
  await session.advance(SECOND);
  await rolled;
  return session;
}

const KINGSTON = [
  ['entry-1', 'hall-a'],
  ['entry-2', 'hall-b'],
  ['entry-3', 'hall-c'],
] as const;

describe('the shared state under faults', {timeout: 120_000}, () => {
  describe('a daemon that starts', () => {
    // The log answers with a lagging read: it shows version 1 only, while a peer already
    // serves under version 2. The fresh daemon must not serve under 1; callers get "no
    // bundle yet" until the peer's records bring it to 2.
    it('serves nothing under a lower version than a peer shows', async () => {
      const session = await startSession(KINGSTON.slice(0, 2));
      const second = {version: 2, base: 1, author: 'moana'} as const;
      const rolled = session.proposeAndSignOff('entry-1', second, 'kerry');
      await session.advance(SECOND);
      await rolled;
      const end = session.log.endOf(StreamName.Fleet);
      const fresh = await session.start('entry-3', 'hall-c');
      const read = fresh.path.read.bind(fresh.path);
      fresh.path.read = async (stream, from, options, signal) => {
        const batch = await read(stream, from, options, signal);
        if (stream !== StreamName.Fleet) return batch;
        const lag = end - 2;
        const payloads = batch.payloads.slice(0, Math.max(0, lag - from));
        return {...batch, payloads, end: lag};
      };
      await session.advance(10 * SECOND);
      assert.deepEqual(fresh.servedVersions, [2]);
      await session.stopAll();
    });

    // A move starts while entry-3 starts. A move waits for the members of its offset: had entry-3
    // served before its own join was read back, the move would not wait for it, the VM would go
    // to its new pool, and entry-3 would send it work of the old one: two pools on one VM.
    it('serves nothing before it has read its own join', async () => {
      const session = await startSession(KINGSTON.slice(0, 2));
      const fresh = await session.start('entry-3', 'hall-c');
      const append = fresh.path.append.bind(fresh.path);
      fresh.path.append = async (stream, payloads, signal) => {
        await sleep(session.clock, 3 * SECOND);
        return append(stream, payloads, signal);
      };
      let servedAsStranger = false;
      fresh.follower.onChange(() => {
        const {inForce, members} = fresh.follower.state;
        if (inForce && !members.has('entry-3.3')) servedAsStranger = true;
      });
      await session.advance(10 * SECOND);
      assert.equal(servedAsStranger, false);
      assert.equal(fresh.version, 1);
      await session.stopAll();
    });

    it('serves nothing while neither log nor peer says what is in force', async () => {
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
    // The peers themselves started from a snapshot and no longer keep the first records. The
    // fresh daemon asks for records from the first on, is told there are none, and takes a
    // peer's whole state instead; it serves the same version with the same state.
    it('takes the whole state of a peer that keeps no old records', async () => {
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
      const fresh = await session.start('entry-4', 'hall-a');
      await session.advance(5 * SECOND);
      assert.deepEqual(fresh.servedVersions, [1]);
      assert.match(session.transcript, /entry-4\s+SnapshotLoaded/);
      assert.equal(
        stateHash(fresh.follower.state),
        stateHash(session.daemon('entry-1').follower.state),
      );
      await session.stopAll();
    });
  });

  describe('a daemon that is older than the records in use', () => {
    // Newer daemons raised the format and went; an old one starts. It must not fold what it
    // cannot read, says so, publishes nothing, and does not spin on the records.
    it('stands still and publishes nothing', async () => {
      const session = new Session();
      const raised = {
        kind: RecordKind.FormatRaised,
        id: session.nextId(),
        writer: 'entry-7.1',
        format: 2,
      } as const;
      const later = new Uint8Array([0x92, 0x02, 0x80]);
      await session.log.append(StreamName.Fleet, [encodeRecord(raised), later]);
      const old = await session.start('entry-1', 'hall-a');
      await session.advance(30 * SECOND);
      assert.equal(old.version, undefined);
      const reads = old.metrics.value(MetricName.LogReads, {
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

  describe('a peer that makes records up', () => {
    // entry-2 is cut off from the log and takes a made-up drain from a peer that claims to be
    // ahead. When the log returns, the same offset holds another record: the state is given
    // up, read again from the log, and the callers' versions never went back.
    it('is found when the log returns', async () => {
      const session = await startSession(KINGSTON.slice(0, 2));
      const victim = session.daemon('entry-2');
      victim.path.faults.add(LogConnectionFault.Cut);
      session.network.partition('hall-a', 'hall-b');
      await session.advance(20 * SECOND);
      const liar = session.network.join({
        name: 'entry-9',
        incarnation: 'entry-9.1',
        dataCentre: 'hall-b',
      });
      const offset = session.log.endOf(StreamName.Fleet);
      answerWithForgedRecord(liar, offset);
      await liar.request('entry-2.2', PeerTopic.StateSummary, {
        offset: offset + 1,
        hash: 'made up',
        readsFormat: 1,
        version: 1,
        digest: 'made up',
        isLogReachable: true,
        isServing: true,
      });
      await session.advance(5 * SECOND);
      const {vms} = victim.follower.state;
      assert.equal(vms.get('hall-a-r1-1')?.drainReason, 'made up');
      assert.ok(victim.metrics.value(MetricName.BundleAlarms) > 0);
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
      victim.path.faults.clear();
      session.network.heal('hall-a', 'hall-b');
      await session.advance(20 * SECOND);
      assert.ok(victim.metrics.value(MetricName.StateHashDifferences) > 0);
      assert.equal(
        stateHash(victim.follower.state),
        stateHash(session.daemon('entry-1').follower.state),
      );
      assert.equal(
        victim.follower.state.vms.get('hall-a-r1-1')?.drainReason,
        undefined,
      );
      assert.deepEqual([...new Set(victim.servedVersions)], [1]);
      await session.stopAll();
    });
  });

  describe('a connection to the log that goes silent', () => {
    // entry-2's long poll hangs on a connection that something has forgotten. Its peers have
    // version 2 and tell it; it reads afresh and takes their records instead of waiting for
    // the poll's end, so the roll-out stays within the aim.
    it('does not hold up a roll-out', async () => {
      const session = await startSession(KINGSTON);
      const victim = session.daemon('entry-2');
      victim.path.silenceMilliseconds = 60_000;
      victim.path.faults.add(LogConnectionFault.Silent);
      victim.follower.onChange(() => undefined);
      await session.advance(6 * SECOND);
      const second = {version: 2, base: 1, author: 'moana'} as const;
      const rolled = session.proposeAndSignOff('entry-1', second, 'kerry');
      await session.advance(2 * SECOND);
      await rolled;
      assert.equal(victim.version, 2);
      await session.stopAll();
    });
  });

  describe('membership', () => {
    it('ends with a graceful stop, and not with a crash', async () => {
      const session = await startSession(KINGSTON);
      const {follower} = session.daemon('entry-1');
      const left = session.daemon('entry-2').follower.drain();
      await session.advance(SECOND);
      await left;
      assert.equal(follower.state.members.has('entry-2.2'), false);
      await session.crash('entry-3');
      await session.advance(10 * SECOND);
      assert.equal(follower.state.members.has('entry-3.3'), true);
      await session.stopAll();
    });

    // entry-3 crashes for good and the platform drops its VM from the list. A move would wait
    // for its acknowledgement without end; one of the others takes it out through the log.
    it('ends for a daemon whose VM the list has dropped', async () => {
      const session = await startSession(KINGSTON);
      for (const [id, dataCentre] of KINGSTON)
        session.list.put({
          id,
          dataCentre,
          address: '127.0.0.1:1',
          rack: 'r1',
          state: ListedState.Live,
        });
      await session.advance(10 * SECOND);
      await session.crash('entry-3');
      session.list.remove('entry-3');
      const {follower} = session.daemon('entry-1');
      await session.advance(50 * SECOND);
      assert.equal(follower.state.members.has('entry-3.3'), true);
      const before = session.log.endOf(StreamName.Fleet);
      await session.advance(60 * SECOND);
      assert.equal(follower.state.members.has('entry-3.3'), false);
      assert.equal(session.log.endOf(StreamName.Fleet), before + 1);
      await session.stopAll();
    });

    // entry-2 is paused, and a new process of its name joins. The old one wakes up and sees
    // that it is no member any more: it must not push its successor out again, or the two
    // would replace each other without end.
    it('passes to a new incarnation and does not go back', async () => {
      const session = await startSession(KINGSTON);
      const old = session.daemon('entry-2');
      await session.start('entry-2', 'hall-b');
      await session.advance(30 * SECOND);
      const {members} = session.daemon('entry-1').follower.state;
      assert.deepEqual([...members.keys()].sort(), [
        'entry-1.1',
        'entry-2.4',
        'entry-3.3',
      ]);
      const stopped = old.follower.stop();
      await session.advance(SECOND);
      await stopped;
      await session.stopAll();
    });
  });

  describe('snapshot duty', () => {
    const settings = {
      snapshot_records: '10',
      snapshot_check_milliseconds: '1000',
    };

    async function takeRecords(session: Session, count: number): Promise<void> {
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

    it('is done by one daemon of three', async () => {
      const session = await startSession(KINGSTON, settings);
      await takeRecords(session, 20);
      await session.advance(20 * SECOND);
      assert.equal(session.log.endOf(StreamName.Snapshots), 1);
      await session.stopAll();
    });

    it('passes to the next in line when the first is gone', async () => {
      const session = await startSession(KINGSTON, settings);
      const {state} = session.daemon('entry-1').follower;
      const [first] = rendezvousOrder(
        state.members.values(),
        'snapshot after 0',
      );
      const name = [...state.members.values()].find(
        member => member.incarnation === first,
      )?.name;
      await session.crash(name ?? '');
      await takeRecords(session, 20);
      await session.advance(30 * SECOND);
      assert.equal(session.log.endOf(StreamName.Snapshots), 1);
      await session.stopAll();
    });

    it('leaves out a half-written snapshot and goes by the last whole one', async () => {
      const session = await startSession(KINGSTON, settings);
      await takeRecords(session, 20);
      await session.advance(20 * SECOND);
      const end = session.log.endOf(StreamName.Fleet);
      const [half] = splitSnapshot(end + 100, new Uint8Array(300_000));
      await session.log.append(StreamName.Snapshots, [half]);
      const fresh = await session.start('entry-4', 'hall-a');
      await session.advance(5 * SECOND);
      assert.deepEqual(fresh.servedVersions, [1]);
      assert.match(
        session.transcript,
        /entry-4\s+SnapshotSkipped .*half written/,
      );
      assert.match(session.transcript, /entry-4\s+SnapshotLoaded/);
      await session.stopAll();
    });
  });

  describe('states that part', () => {
    it('are counted at equal offsets', async () => {
      const session = await startSession(KINGSTON);
      const {state} = session.daemon('entry-2').follower;
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

/** A peer that gives one made-up record for the offset. */
function answerWithForgedRecord(liar: MemoryPeerLinks, offset: number): void {
  const madeUp = encodeRecord({
    kind: RecordKind.DrainStarted,
    id: 'made up',
    writer: 'nobody',
    vm: 'hall-a-r1-1',
    reason: 'made up',
  });
  liar.setHandler(PeerTopic.Records, async () => ({
    from: offset,
    payloads: [madeUp],
  }));
  liar.setHandler(PeerTopic.StateSummary, async () => undefined);
}
