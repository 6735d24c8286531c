import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {SilentLogger, VirtualClock} from '@gentiandoor/kernel';
import {LogStream, StreamFollower} from '../index.js';
import {MemoryStore} from '../stand-ins/index.js';

describe('StreamFollower', () => {
  // An operator sends a change every 80 ms for seconds. Each read brings one and never comes back
  // empty; the daemon, up to date all the while, took itself for cut off and said it was not ready.
  it('counts as up to date while records never stop coming', async () => {
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
});
