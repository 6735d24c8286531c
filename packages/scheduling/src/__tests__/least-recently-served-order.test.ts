import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {LeastRecentlyServedOrder} from '../least-recently-served-order.js';

describe('ServiceTurns', () => {
  // Callers of two queues, both in their turn. One order becomes free at a time, and the queue that
  // was woken first took it each time: callers of the other one waited until the first had no work.
  it('gives each of several services the same number of orders', () => {
    const turns = new LeastRecentlyServedOrder();
    const given = new Map<string, number>();
    for (let order = 0; order < 300; order++) {
      const [first] = turns.order(['quotes', 'reviews', 'refreshes']);
      turns.recordServed(first);
      given.set(first, (given.get(first) ?? 0) + 1);
    }
    assert.deepEqual([...given.values()], [100, 100, 100]);
  });

  it('lets a service that has just got work go first', () => {
    const turns = new LeastRecentlyServedOrder();
    turns.recordServed('quotes');
    assert.deepEqual(turns.order(['quotes', 'reviews']), ['reviews', 'quotes']);
  });
});
