import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {SystemClock} from '../clock.js';

const TIMERS = 400;
const LONGEST_DELAY_MILLISECONDS = 40;

describe('SystemClock', () => {
  // A timer that fired early found the condition that it waited for still in force, and nothing
  // waited for it any more.
  it('calls no action before its time on the monotonic clock', async () => {
    const clock = new SystemClock();
    let early = 0;
    const fired = Array.from({length: TIMERS}, (_, index) => {
      const delay = (LONGEST_DELAY_MILLISECONDS * index) / TIMERS;
      const dueAt = clock.monotonicMilliseconds() + delay;
      return new Promise<void>(resolve => {
        clock.schedule(delay, () => {
          if (clock.monotonicMilliseconds() < dueAt) early++;
          resolve();
        });
      });
    });
    await Promise.all(fired);
    assert.equal(early, 0);
  });

  it('calls no action that was cancelled', async () => {
    const clock = new SystemClock();
    let called = false;
    clock.schedule(5, () => (called = true)).cancel();
    await new Promise(resolve => setTimeout(resolve, 20));
    assert.equal(called, false);
  });
});
