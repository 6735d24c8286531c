import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {SeededRandom} from '@gentiandoor/kernel';
import {BurstForecast} from '../burst-forecast.js';

const TURN = 4_500;
const QUEUES = ['a', 'b', 'c', 'd'];
const MILLICORES = 600_000;
const LEAD = 2_200;

/** Four queues that ask by turns, with random arrivals. */
function played(until: number): BurstForecast {
  const forecast = new BurstForecast();
  const random = new SeededRandom(3);
  for (let at = 0; at < until; at += 50) {
    const active = Math.floor(at / TURN) % QUEUES.length;
    QUEUES.forEach((queue, index) => {
      const rate = index === active ? MILLICORES : MILLICORES / 80;
      if (random.nextFraction() < 0.5) forecast.note(queue, rate * 50 * 2, at);
    });
  }
  return forecast;
}

describe('BurstForecast', () => {
  // The first callers of each turn wait for a move's time when the VMs are fetched once it has begun.
  it('foresees the next turn once a queue has had two', () => {
    const now = 5 * TURN - LEAD + 500;
    const forecast = played(now);
    const foreseen = forecast.millicores('b', now, LEAD);
    assert.ok(foreseen > MILLICORES / 2, `${foreseen}`);
    assert.equal(forecast.millicores('c', now, LEAD), 0);
    assert.equal(forecast.millicores('d', now, LEAD), 0);
  });

  it('foresees nothing before', () => {
    const now = 4 * TURN - LEAD + 500;
    assert.equal(played(now).millicores('a', now, LEAD), 0);
  });

  it('foresees nothing of steady queues', () => {
    const forecast = new BurstForecast();
    for (let at = 0; at < 60_000; at += 100)
      forecast.note('a', MILLICORES * 100, at);
    for (let now = 30_000; now < 60_000; now += 500)
      assert.equal(forecast.millicores('a', now, LEAD), 0);
  });
});
