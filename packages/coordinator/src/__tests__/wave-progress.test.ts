import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';
import {LogEvent, VirtualClock} from '@gentiandoor/kernel';
import {LogStream, type MaintenanceWave} from '../index.js';
import {
  MemoryStore,
  StoreFault,
  type StoreConnection,
} from '../stand-ins/index.js';
import {WaveProgress} from '../wave-progress.js';
import {EventCounts, PlainFormats} from './deployment.js';

const WAVE: MaintenanceWave = {
  number: 1,
  vms: ['vm-0', 'vm-1'],
  durationMilliseconds: 60_000,
  maximumAtOnce: 1,
};
/** The longest time after which the store of a test still executes an append. */
const SETTLED_MILLISECONDS = 15_000;

describe('WaveProgress', () => {
  let events = new EventCounts();
  let fencedTerms: number[] = [];

  beforeEach(() => {
    events = new EventCounts();
    fencedTerms = [];
  });

  function newProgress(
    log: StoreConnection,
    clock: VirtualClock,
    term: number,
  ) {
    const parts = {log, formats: new PlainFormats(), clock, logger: events};
    return new WaveProgress(term, parts, () => fencedTerms.push(term));
  }

  async function load(log: StoreConnection, clock: VirtualClock, term: number) {
    const progress = newProgress(log, clock, term);
    void progress.load();
    await clock.advanceAsync(100);
    assert.ok(progress.isLoaded);
    return progress;
  }

  // A write of an earlier coordinator that the store executed late replaced what its successor had
  // stored since, and a third one took VMs whose maintenance was done for due.
  it('keeps what a successor has stored when an earlier write is executed late', async () => {
    const clock = new VirtualClock();
    const store = new MemoryStore(clock);
    const connection = store.connect();
    const first = await load(connection, clock, 1);
    connection.setFault(StoreFault.DoneLate);
    first.noteDone(WAVE, 'vm-0');
    await clock.advanceAsync(100);
    connection.kill();
    const second = await load(store.connect(), clock, 2);
    for (const vm of WAVE.vms) second.noteDone(WAVE, vm);
    await clock.advanceAsync(SETTLED_MILLISECONDS);
    const third = await load(store.connect(), clock, 3);
    assert.deepEqual(
      WAVE.vms.filter(vm => third.isDone(WAVE, vm)),
      WAVE.vms,
    );
  });

  // A report that the store executed late replaced the newer one for good.
  for (const isExtended of [false, true])
    it(`reports the latest state when an earlier report is executed late, wave ${isExtended ? 'extended' : 'completed'}`, async () => {
      const clock = new VirtualClock();
      const store = new MemoryStore(clock);
      const connection = store.connect();
      const progress = await load(connection, clock, 1);
      const complete = () => {
        for (const vm of WAVE.vms) progress.noteDone(WAVE, vm);
      };
      if (isExtended) complete();
      connection.setFault(StoreFault.DoneLate, LogStream.Reports);
      progress.isCompleted(WAVE);
      await clock.advanceAsync(100);
      connection.setFault(undefined);
      if (!isExtended) complete();
      const wave = isExtended ? {...WAVE, vms: [...WAVE.vms, 'vm-2']} : WAVE;
      const isCompleted = progress.isCompleted(wave);
      await clock.advanceAsync(SETTLED_MILLISECONDS);
      const newest = store.history(LogStream.Reports).at(-1);
      assert.equal(
        String(newest?.value),
        isCompleted ? 'completed' : 'running',
      );
    });

  // A write that the store executed late replaced a newer one of the same coordinator.
  it('keeps what it has stored since an earlier write that is executed late', async () => {
    const clock = new VirtualClock();
    const store = new MemoryStore(clock);
    const connection = store.connect();
    const progress = await load(connection, clock, 1);
    connection.setFault(StoreFault.DoneLate);
    progress.noteDone(WAVE, 'vm-0');
    await clock.advanceAsync(100);
    connection.setFault(undefined);
    progress.noteDone(WAVE, 'vm-1');
    await clock.advanceAsync(SETTLED_MILLISECONDS);
    const successor = await load(store.connect(), clock, 2);
    for (const vm of WAVE.vms) assert.ok(successor.isDone(WAVE, vm));
  });

  // A coordinator that was closed while the store refused its writes went on sending them.
  it('stores and reports nothing after it was closed', async () => {
    const clock = new VirtualClock();
    const store = new MemoryStore(clock);
    const connection = store.connect();
    const progress = await load(connection, clock, 1);
    connection.setFault(StoreFault.Refusing);
    progress.noteDone(WAVE, 'vm-0');
    progress.isCompleted(WAVE);
    await clock.advanceAsync(1_000);
    progress.close();
    connection.setFault(undefined);
    progress.noteDone(WAVE, 'vm-1');
    progress.isCompleted(WAVE);
    await clock.advanceAsync(SETTLED_MILLISECONDS);
    assert.equal(store.history(LogStream.Fleet).length, 0);
    assert.equal(store.history(LogStream.Reports).length, 0);
  });

  // A coordinator that did not know of its successor replaced the progress and the report of it.
  for (const stream of [LogStream.Fleet, LogStream.Reports])
    it(`is fenced by a successor that has written to ${stream}`, async () => {
      const clock = new VirtualClock();
      const store = new MemoryStore(clock);
      const first = await load(store.connect(), clock, 1);
      const second = await load(store.connect(), clock, 2);
      second.isCompleted(WAVE);
      await clock.advanceAsync(100);
      const stored = store.history(stream).length;
      if (stream === LogStream.Fleet) first.noteDone(WAVE, 'vm-0');
      else first.isCompleted({...WAVE, vms: []});
      await clock.advanceAsync(SETTLED_MILLISECONDS);
      assert.equal(store.history(stream).length, stored);
      assert.ok(fencedTerms.length > 0);
      assert.ok(fencedTerms.every(term => term === 1));
    });

  // A record that the store does not take was sent again five times a second, without a log line.
  it('logs progress that the store does not take, and stores that of other waves', async () => {
    const clock = new VirtualClock();
    const store = new MemoryStore(clock);
    const progress = await load(store.connect(), clock, 1);
    store.maximumValueBytes = 100;
    progress.noteDone(WAVE, 'v'.repeat(200));
    await clock.advanceAsync(1_000);
    const {append} = store.calls;
    await clock.advanceAsync(SETTLED_MILLISECONDS);
    assert.equal(store.calls.append, append);
    assert.equal(events.of(LogEvent.RecordNotStorable), 1);
    progress.noteDone({...WAVE, number: 2}, 'vm-0');
    await clock.advanceAsync(100);
    assert.equal(store.history(LogStream.Fleet).at(-1)?.key, '2');
  });
});
