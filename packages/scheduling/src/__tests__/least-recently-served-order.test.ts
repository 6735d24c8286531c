import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {LeastRecentlyServedOrder} from '../least-recently-served-order.js';

describe('LeastRecentlyServedOrder', () => {
  // Two queues are in a burst, and one order becomes free at a time. The queue that was
  // woken first used to take every order, so callers of the other waited until it had
  // no work left.
  it('gives each of several services the same number of orders', () => {
    const order = new LeastRecentlyServedOrder();
    const received = new Map<string, number>();
    for (let count = 0; count < 300; count++) {
      const [first] = order.order(['quotes', 'reviews', 'refreshes']);
      order.recordServed(first);
      received.set(first, (received.get(first) ?? 0) + 1);
    }
    assert.deepEqual([...received.values()], [100, 100, 100]);
  });

  it('puts a service that was never served first', () => {
    const order = new LeastRecentlyServedOrder();
    order.recordServed('quotes');
    assert.deepEqual(order.order(['quotes', 'reviews']), ['reviews', 'quotes']);
  });
});
