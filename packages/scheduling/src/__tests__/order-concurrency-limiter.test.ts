import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {OrderConcurrencyLimiter} from '../order-concurrency-limiter.js';

/** What was seen of a coordinator that was asked for more orders than it gives. */
interface Flow {
  /** Time from each order's decision to its answer. */
  readonly waits: readonly number[];
}

/** Orders go out one after the other, `perSecond` of them; as many as the window takes are always wanted. */
function overload(perSecond: number, seconds: number): Flow {
  const window = new OrderConcurrencyLimiter();
  const waits: number[] = [];
  const queue: number[] = [];
  const each = 1_000 / perSecond;
  for (let now = 0; now < 1_000 * seconds; now += each) {
    while (window.allows(1)) {
      window.begin();
      queue.push(now);
    }
    const decidedAt = queue.shift() ?? now;
    waits.push(now - decidedAt);
    window.end();
    window.recordResponse(now - decidedAt, now);
  }
  return {waits};
}

function worst(waits: readonly number[]): number {
  return Math.max(...waits);
}

describe('OrderWindow', () => {
  // A turn asks a small VM's coordinator for twice what its link carries. Without a bound every order
  // waits behind all that were decided before it, and its caller's job is late when it starts.
  it('keeps the wait of an order under a third of a second at 110 a second', () => {
    const {waits} = overload(110, 20);
    const settled = waits.slice(1_100);
    assert.ok(worst(settled) <= 333, `${worst(settled)}`);
  });

  it('leaves a strong VM as many orders as it can give', () => {
    const {waits} = overload(1_500, 5);
    const settled = waits.slice(1_500);
    assert.ok(worst(settled) <= 200, `${worst(settled)}`);
    // Fewer under way than a tenth of a second gives would leave it idle between two rounds.
    assert.ok(worst(settled) >= 80, `${worst(settled)}`);
  });

  // A round of placement orders 250 tasks at once on a strong VM, again and again. The last ones are
  // answered after 170 ms, and a bound that fell for that left two thirds of the pool's room idle.
  it('does not take bursts for a link that is full', () => {
    const window = new OrderConcurrencyLimiter();
    for (let burst = 0; burst < 50; burst++) {
      let given = 0;
      for (; given < 250 && window.allows(1); given++) window.begin();
      assert.equal(given, 250, `burst ${burst}`);
      for (let answer = 1; answer <= given; answer++) {
        window.recordResponse(answer / 1.5, 200 * burst + answer / 1.5);
        window.end();
      }
    }
  });

  // A gang starts together or not at all; held back for being larger than the bound it would never start.
  it('takes a gang of any size while nothing else is under way', () => {
    const window = new OrderConcurrencyLimiter();
    assert.ok(window.allows(10_000));
    window.begin();
    assert.ok(!window.allows(10_000));
  });

  it('grows while answers are quick and it is used', () => {
    const window = new OrderConcurrencyLimiter();
    let underWay = 0;
    for (let order = 0; order < 3_000; order++) {
      for (; window.allows(1); underWay++) window.begin();
      window.recordResponse(5, order);
      window.end();
      underWay--;
    }
    assert.ok(underWay > 800, `${underWay}`);
  });
});
