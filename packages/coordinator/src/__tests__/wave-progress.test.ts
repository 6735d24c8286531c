import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {VirtualClock} from '@gentiandoor/kernel';
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
  function newProgress(log: StoreConnection, clock: VirtualClock) {
    const formats = new PlainFormats();
    return new WaveProgress({log, formats, clock, logger: new EventCounts()});
  }

  async function load(log: StoreConnection, clock: VirtualClock) {
    const progress = newProgress(log, clock);
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
    const first = await load(connection, clock);
    connection.setFault(StoreFault.DoneLate);
    first.noteDone(WAVE, 'vm-0');
    await clock.advanceAsync(100);
    connection.kill();
    const second = await load(store.connect(), clock);
    for (const vm of WAVE.vms) second.noteDone(WAVE, vm);
    await clock.advanceAsync(SETTLED_MILLISECONDS);
    const third = await load(store.connect(), clock);
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
      const progress = await load(connection, clock);
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
});
