import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {SeededRandom} from '@gentiandoor/kernel';
import {AdaptiveTimeout} from '../adaptive-timeout.js';

const LEAST = 250;
const MOST = 1_500;

/** Mean time of an exchange with repeats, when a share of the answers is lost. */
function meanExchange(lostShare: number, answerMilliseconds: number): number {
  const bound = new AdaptiveTimeout(LEAST, MOST);
  const random = new SeededRandom(11);
  let total = 0;
  let answered = 0;
  while (answered < 300) {
    const isLost = random.nextFraction() < lostShare;
    if (!isLost && answerMilliseconds <= bound.milliseconds) {
      total += answerMilliseconds;
      bound.recordResponse(answerMilliseconds);
      answered++;
    } else {
      total += bound.milliseconds;
      bound.recordTimeout();
    }
  }
  return total / answered;
}

describe('AnswerBound', () => {
  // With a third of the answers lost, each wait at the longest bound holds every start up for 0.8 s.
  it('loses a fraction of the longest bound to each lost answer', () => {
    const mean = meanExchange(0.35, 5);
    assert.ok(mean < 300, `${mean}`);
  });

  it('waits for a store that is only slow', () => {
    const mean = meanExchange(0, 300);
    assert.ok(mean < 310, `${mean}`);
  });

  it('never waits longer than the longest bound', () => {
    const bound = new AdaptiveTimeout(LEAST, MOST);
    for (let silence = 0; silence < 20; silence++) bound.recordTimeout();
    assert.equal(bound.milliseconds, MOST);
  });

  // Reads that wait for the next record queue up behind large ones. Each that was given up too early left
  // its answer to be sent for nothing, and the next one was given up as early.
  it('waits longer for answers after silence, and as before once one has come', () => {
    const bound = new AdaptiveTimeout(LEAST, MOST);
    bound.recordTimeout();
    bound.recordTimeout();
    assert.equal(bound.milliseconds, 4 * LEAST);
    bound.recordDelayedResponse();
    assert.equal(bound.milliseconds, LEAST);
  });
});
