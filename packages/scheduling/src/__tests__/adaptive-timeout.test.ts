import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {SeededRandom} from '@gentiandoor/kernel';
import {AdaptiveTimeout} from '../adaptive-timeout.js';

const MINIMUM = 250;
const MAXIMUM = 1_500;

/**
 * Returns the mean duration of a request including retries when a share of the
 * responses is lost.
 */
function meanRequestMilliseconds(
  lostShare: number,
  responseMilliseconds: number,
): number {
  const timeout = new AdaptiveTimeout(MINIMUM, MAXIMUM);
  const random = new SeededRandom(11);
  let total = 0;
  let responses = 0;
  while (responses < 300) {
    const isLost = random.nextFraction() < lostShare;
    if (!isLost && responseMilliseconds <= timeout.milliseconds) {
      total += responseMilliseconds;
      timeout.recordResponse(responseMilliseconds);
      responses++;
    } else {
      total += timeout.milliseconds;
      timeout.recordTimeout();
    }
  }
  return total / responses;
}

describe('AdaptiveTimeout', () => {
  // With a third of the responses lost, waiting for the maximum timeout each time
  // delays every start by 0.8 s.
  it('waits only a fraction of the maximum timeout for each lost response', () => {
    const mean = meanRequestMilliseconds(0.35, 5);
    assert.ok(mean < 300, `${mean}`);
  });

  it('waits for a service that is merely slow', () => {
    const mean = meanRequestMilliseconds(0, 300);
    assert.ok(mean < 310, `${mean}`);
  });

  it('never waits longer than the maximum timeout', () => {
    const timeout = new AdaptiveTimeout(MINIMUM, MAXIMUM);
    for (let count = 0; count < 20; count++) timeout.recordTimeout();
    assert.equal(timeout.milliseconds, MAXIMUM);
  });

  // Reads that wait for the next record queue up behind large ones. When a read timed
  // out too early, its response was still sent for nothing, and the next read timed out
  // just as early.
  it('doubles the timeout after each timeout and resets it after a response', () => {
    const timeout = new AdaptiveTimeout(MINIMUM, MAXIMUM);
    timeout.recordTimeout();
    timeout.recordTimeout();
    assert.equal(timeout.milliseconds, 4 * MINIMUM);
    timeout.recordDelayedResponse();
    assert.equal(timeout.milliseconds, MINIMUM);
  });
});
