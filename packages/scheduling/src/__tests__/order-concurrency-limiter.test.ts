import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {OrderConcurrencyLimiter} from '../order-concurrency-limiter.js';

/** Measurements of a coordinator that needs to send more orders than it can. */
interface OverloadResult {
  /** Time from each order's decision to its response. */
  readonly latencies: readonly number[];
}

/**
 * Simulates orders that are sent one after the other at `perSecond`, while as many as
 * the limit allows are always requested.
 */
function overload(perSecond: number, seconds: number): OverloadResult {
  const limiter = new OrderConcurrencyLimiter();
  const latencies: number[] = [];
  const queue: number[] = [];
  const each = 1_000 / perSecond;
  for (let now = 0; now < 1_000 * seconds; now += each) {
    while (limiter.allows(1)) {
      limiter.begin();
      queue.push(now);
    }
    const decidedAt = queue.shift() ?? now;
    latencies.push(now - decidedAt);
    limiter.end();
    limiter.recordResponse(now - decidedAt, now);
  }
  return {latencies};
}

function worst(latencies: readonly number[]): number {
  return Math.max(...latencies);
}

describe('OrderConcurrencyLimiter', () => {
  // Work that waited for orders in flight was not looked at again when the limit had grown, until the
  // outcome of an order was known.
  it('tells when more orders are allowed than before', () => {
    const limiter = new OrderConcurrencyLimiter();
    while (limiter.allows(1)) limiter.begin();
    assert.equal(limiter.recordResponse(5, 1_000), true);
    assert.equal(limiter.allows(1), true);
    assert.equal(limiter.recordResponse(5, 1_100), false);
    limiter.recordResponse(5, 1_400);
    assert.equal(limiter.recordResponse(1_000, 1_800), false);
  });

  // A burst needs twice as many orders as the link of a small VM's coordinator can
  // carry. Without a limit, every order waits behind all earlier ones, and its job is
  // late when it starts.
  it('keeps the latency of an order under a third of a second at 110 orders per second', () => {
    const {latencies} = overload(110, 20);
    const steadyState = latencies.slice(1_100);
    assert.ok(worst(steadyState) <= 333, `${worst(steadyState)}`);
  });

  it('allows a fast VM as many orders as it can send', () => {
    const {latencies} = overload(1_500, 5);
    const steadyState = latencies.slice(1_500);
    assert.ok(worst(steadyState) <= 200, `${worst(steadyState)}`);
    // With less than a tenth of a second of orders in flight, the VM would be idle
    // between two rounds.
    assert.ok(worst(steadyState) >= 80, `${worst(steadyState)}`);
  });

  // A placement round on a fast VM repeatedly sends 250 orders at once. The last
  // responses arrive after 170 ms; a limit that shrank because of that left two thirds
  // of the pool's capacity idle.
  it('does not mistake bursts of orders for a saturated link', () => {
    const limiter = new OrderConcurrencyLimiter();
    for (let burst = 0; burst < 50; burst++) {
      let sent = 0;
      for (; sent < 250 && limiter.allows(1); sent++) limiter.begin();
      assert.equal(sent, 250, `burst ${burst}`);
      for (let response = 1; response <= sent; response++) {
        limiter.recordResponse(response / 1.5, 200 * burst + response / 1.5);
        limiter.end();
      }
    }
  });

  // A gang starts together or not at all; if it were rejected for exceeding the limit,
  // it would never start.
  it('allows a gang of any size while nothing else is in flight', () => {
    const limiter = new OrderConcurrencyLimiter();
    assert.ok(limiter.allows(10_000));
    limiter.begin();
    assert.ok(!limiter.allows(10_000));
  });

  it('grows while responses are fast and the limit is used', () => {
    const limiter = new OrderConcurrencyLimiter();
    let inFlight = 0;
    for (let order = 0; order < 3_000; order++) {
      for (; limiter.allows(1); inFlight++) limiter.begin();
      limiter.recordResponse(5, order);
      limiter.end();
      inFlight--;
    }
    assert.ok(inFlight > 800, `${inFlight}`);
  });
});
