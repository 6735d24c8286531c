import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {VirtualClock} from '@gentiandoor/kernel';
import {FencedWriter} from '../fenced-writer.js';
import {LogStream} from '../index.js';
import {MemoryStore, StoreFault} from '../stand-ins/index.js';

describe('FencedWriter', () => {
  function connect(term: number, store: MemoryStore) {
    const connection = store.connect();
    let fencedCount = 0;
    const writer = new FencedWriter({
      log: connection,
      clock: store.clock,
      stream: LogStream.Fleet,
      name: 'test',
      term,
      retryMilliseconds: 100,
      onFenced: () => fencedCount++,
    });
    return {connection, writer, fencedCount: () => fencedCount};
  }

  function record(value: string) {
    return {key: 'key', value: Buffer.from(value)};
  }

  // An append whose response was lost was stored again after a newer one.
  for (const fault of [StoreFault.DoneLate, StoreFault.AnswersLost])
    it(`stores each append once and in order, store ${fault}`, async () => {
      const clock = new VirtualClock();
      const store = new MemoryStore(clock);
      const {connection, writer} = connect(1, store);
      connection.setFault(fault);
      const older = writer.append([record('older')]);
      await clock.advanceAsync(100);
      connection.setFault(undefined);
      const newer = older.then(() => writer.append([record('newer')]));
      await clock.advanceAsync(10_000);
      await newer;
      assert.deepEqual(
        store.history(LogStream.Fleet).map(({value}) => String(value)),
        ['older', 'newer'],
      );
    });

  it('tells once that a later term has written', async () => {
    const clock = new VirtualClock();
    const store = new MemoryStore(clock);
    const {writer, fencedCount} = connect(1, store);
    const appends = Promise.all([
      connect(2, store).writer.fenceEarlierTerms(),
      writer.append([record('one')]),
      writer.append([record('two')]),
    ]);
    await clock.advanceAsync(1_000);
    assert.deepEqual(await appends, [true, undefined, undefined]);
    assert.equal(fencedCount(), 1);
  });

  // A closed coordinator whose last append was fenced resigned the next term of its daemon.
  it('tells nothing after it was closed', async () => {
    const clock = new VirtualClock();
    const store = new MemoryStore(clock);
    const {writer, fencedCount} = connect(1, store);
    const appends = Promise.all([
      connect(2, store).writer.fenceEarlierTerms(),
      writer.append([record('one')]),
    ]);
    writer.close();
    await clock.advanceAsync(1_000);
    assert.deepEqual(await appends, [true, undefined]);
    assert.equal(fencedCount(), 0);
  });
});
