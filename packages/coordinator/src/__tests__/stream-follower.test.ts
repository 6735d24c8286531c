import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {SilentLogger, VirtualClock, sleep} from '@gentiandoor/kernel';
import {
  LogStream,
  ReadOutcome,
  StreamFollower,
  type RecordLog,
} from '../index.js';
import {MemoryStore} from '../stand-ins/index.js';

describe('StreamFollower', () => {
  // An operator sends a change every 80 ms for seconds. Each read returns one and none
  // ever returns empty; the daemon, up to date all the while, considered itself cut off
  // and reported that it was not ready.
  it('counts as up to date while records never stop arriving', async () => {
    const clock = new VirtualClock();
    const store = new MemoryStore(clock);
    const follower = new StreamFollower(
      store.connect(),
      LogStream.Operator,
      {apply: () => undefined},
      clock,
      new SilentLogger(),
    );
    await Promise.all([follower.refresh(), clock.advanceAsync(50)]);
    let worst = 0;
    for (let change = 0; change < 60; change++) {
      clock.schedule(40, () =>
        store.write(LogStream.Operator, {
          key: 'config',
          value: Buffer.from(String(change)),
        }),
      );
      await Promise.all([follower.follow(900), clock.advanceAsync(80)]);
      worst = Math.max(worst, follower.ageMilliseconds);
    }
    assert.ok(worst < 500, `${worst}`);
  });

  // Nothing is submitted for seconds. Each read waits at the store and returns empty;
  // measured from its request, the data seemed up to two waits old, and pools were not
  // resized for fear of outdated data.
  it('is no older than one wait while reads return empty', async () => {
    const clock = new VirtualClock();
    const follower = new StreamFollower(
      new MemoryStore(clock).connect(),
      LogStream.Submissions,
      {apply: () => undefined},
      clock,
      new SilentLogger(),
    );
    await Promise.all([follower.refresh(), clock.advanceAsync(50)]);
    let worst = 0;
    for (let read = 0; read < 5; read++) {
      const followed = follower.follow(500);
      for (let step = 0; step < 52; step++) {
        await clock.advanceAsync(10);
        worst = Math.max(worst, follower.ageMilliseconds);
      }
      await followed;
    }
    assert.ok(worst < 600, `${worst}`);
  });

  // Versions of a large configuration arrive faster than the daemon's slow link transfers
  // them. Read one after the other, the newest took effect many seconds after it was
  // signed off, and callers of new queues got the response that the queue did not exist.
  it('skips to the newest where only that counts and it has fallen behind', async () => {
    const clock = new VirtualClock();
    const store = new MemoryStore(clock);
    const seen: number[] = [];
    const follower = new StreamFollower(
      new SlowReads(store.connect(), clock),
      LogStream.Operator,
      {apply: record => seen.push(Number(record.value))},
      clock,
      new SilentLogger(),
      {skipsHistory: true},
    );
    const write = (version: number) =>
      store.write(LogStream.Operator, {
        key: 'config',
        value: Buffer.from(String(version)),
      });
    write(0);
    await Promise.all([follower.refresh(), clock.advanceAsync(2_000)]);
    for (let version = 1; version <= 60; version++) write(version);
    for (let call = 0; call < 2; call++)
      await Promise.all([follower.follow(900), clock.advanceAsync(2_000)]);
    assert.equal(seen.at(-1), 60);
  });
});

/** A link that carries one record in 700 ms. */
class SlowReads implements RecordLog {
  constructor(
    private readonly inner: RecordLog,
    private readonly clock: VirtualClock,
  ) {}

  append: RecordLog['append'] = (...call) => this.inner.append(...call);

  newestByKey: RecordLog['newestByKey'] = async stream => {
    await sleep(this.clock, 700);
    return this.inner.newestByKey(stream);
  };

  read: RecordLog['read'] = async (...call) => {
    await sleep(this.clock, 700);
    const result = await this.inner.read(...call);
    return result.outcome === ReadOutcome.Read
      ? {...result, records: result.records.slice(0, 1)}
      : result;
  };
}
