import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {VirtualClock} from '@gentiandoor/kernel';
import {TermHistory, readTermAges} from '../term-history.js';

describe('TermHistory', () => {
  it('knows the end of a term from when the next known one began', async () => {
    const clock = new VirtualClock();
    const history = new TermHistory(clock);
    history.note(1, 0);
    await clock.advanceAsync(5_000);
    history.note(4, 5_000);
    await clock.advanceAsync(1_000);
    assert.equal(history.endOf(1), 5_000);
    assert.equal(history.endOf(3), 5_000);
    assert.equal(history.endOf(4), 6_000);
  });

  it('is passed on to daemons that start later, with times that are not too early', async () => {
    const clock = new VirtualClock();
    const holder = new TermHistory(clock);
    holder.note(1, 0);
    holder.note(2, 3_000);
    await clock.advanceAsync(10_000);
    const stored = holder.agesAt(3);
    await clock.advanceAsync(400);
    const reader = new TermHistory(clock);
    reader.noteAges(stored, clock.monotonicMilliseconds());
    assert.equal(reader.endOf(1), 3_400);
    assert.equal(reader.endOf(2), 10_400);
    reader.noteAges([[2, 100]], clock.monotonicMilliseconds());
    assert.equal(reader.endOf(1), 3_400);
  });

  it('reads no ages from values that are not ages', () => {
    assert.deepEqual(readTermAges(undefined), []);
    assert.deepEqual(readTermAges('text'), []);
    assert.deepEqual(
      readTermAges([[1, 2], [1], ['1', 2], [1, -2], null, [3, 4]]),
      [
        [1, 2],
        [3, 4],
      ],
    );
  });

  it('forgets old terms, but not the order of those that it keeps', async () => {
    const clock = new VirtualClock();
    const history = new TermHistory(clock);
    for (let term = 1; term <= 100; term++) {
      history.note(term, clock.monotonicMilliseconds());
      await clock.advanceAsync(1_000);
    }
    assert.ok(history.agesAt(100).length <= 20);
    assert.ok(history.endOf(1) <= history.endOf(90));
  });
});
