import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {VirtualClock} from '@gentiandoor/kernel';
import {
  MAXIMUM_ATTEMPTS,
  MAXIMUM_BUSY_ATTEMPTS,
  RetryBudget,
  RetryDecision,
  type FailedAttempt,
} from '../retry-budget.js';
import {OutcomeKind} from '../target-outcome.js';

function question(changes: Partial<FailedAttempt> = {}): FailedAttempt {
  return {
    kind: OutcomeKind.ServerError,
    sent: true,
    idempotent: true,
    attempts: 1,
    ...changes,
  };
}

describe('RetryBudget', () => {
  describe('for a request that may not run twice', () => {
    const once = question({idempotent: false});

    it('never sends again what went out', () => {
      for (const kind of [
        OutcomeKind.ServerError,
        OutcomeKind.ConnectionLost,
        OutcomeKind.TimedOut,
        OutcomeKind.Truncated,
      ]) {
        const verdict = new RetryBudget(new VirtualClock()).decide({
          ...once,
          kind,
        });
        assert.equal(verdict, RetryDecision.MayHaveRun);
      }
    });

    it('sends again what did not go out or what the target refused', () => {
      const budget = new RetryBudget(new VirtualClock());
      const unsent = {...once, kind: OutcomeKind.Unreachable, sent: false};
      assert.equal(budget.decide(unsent), RetryDecision.Retry);
      const busy = {...once, kind: OutcomeKind.Busy};
      assert.equal(budget.decide(busy), RetryDecision.Retry);
    });
  });

  describe('when everything fails', () => {
    it('adds no more than a fifth to the load', () => {
      const budget = new RetryBudget(new VirtualClock());
      let retries = 0;
      for (let request = 0; request < 1000; request++) {
        budget.onFirstAttempt();
        if (budget.decide(question()) === RetryDecision.Retry) retries++;
      }
      assert.ok(retries >= 195 && retries <= 205, `${retries} retries`);
      assert.equal(budget.decide(question()), RetryDecision.BudgetExhausted);
    });
  });

  describe('after a quiet night', () => {
    it('has saved no more than fifty retries', () => {
      const clock = new VirtualClock();
      const budget = new RetryBudget(clock);
      clock.advance(12 * 3600 * 1000);
      let retries = 0;
      while (budget.decide(question()) === RetryDecision.Retry) retries++;
      assert.equal(retries, 50);
    });
  });

  describe('for a request that had its attempts', () => {
    it('stops', () => {
      const budget = new RetryBudget(new VirtualClock());
      const last = question({attempts: MAXIMUM_ATTEMPTS});
      assert.equal(budget.decide(last), RetryDecision.AttemptsExhausted);
      const busy = question({
        kind: OutcomeKind.Busy,
        attempts: MAXIMUM_BUSY_ATTEMPTS,
      });
      assert.equal(budget.decide(busy), RetryDecision.AttemptsExhausted);
    });
  });

  describe('for a caller that left', () => {
    it('does nothing', () => {
      const budget = new RetryBudget(new VirtualClock());
      const gone = question({kind: OutcomeKind.CallerGone, sent: false});
      assert.equal(budget.decide(gone), RetryDecision.CallerGone);
    });
  });
});
