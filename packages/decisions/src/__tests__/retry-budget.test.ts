import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {VirtualClock} from '@gentiandoor/kernel';
import {
  MAXIMUM_ATTEMPTS,
  MAXIMUM_BUSY_ATTEMPTS,
  RetryBudget,
  RetryVerdict,
  type RetryQuestion,
} from '../retry-budget.js';
import {OutcomeKind} from '../target-outcome.js';

function question(changes: Partial<RetryQuestion> = {}): RetryQuestion {
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
        OutcomeKind.Broken,
        OutcomeKind.TimedOut,
        OutcomeKind.Truncated,
      ]) {
        const verdict = new RetryBudget(new VirtualClock()).judge({
          ...once,
          kind,
        });
        assert.equal(verdict, RetryVerdict.MayHaveRun);
      }
    });

    it('sends again what did not go out or what the target refused', () => {
      const budget = new RetryBudget(new VirtualClock());
      const unsent = {...once, kind: OutcomeKind.Unreachable, sent: false};
      assert.equal(budget.judge(unsent), RetryVerdict.Retry);
      const busy = {...once, kind: OutcomeKind.Busy};
      assert.equal(budget.judge(busy), RetryVerdict.Retry);
    });
  });

  describe('when everything fails', () => {
    it('adds no more than a fifth to the load', () => {
      const budget = new RetryBudget(new VirtualClock());
      let retries = 0;
      for (let request = 0; request < 1000; request++) {
        budget.onFirstAttempt();
        if (budget.judge(question()) === RetryVerdict.Retry) retries++;
      }
      assert.ok(retries >= 195 && retries <= 205, `${retries} retries`);
      assert.equal(budget.judge(question()), RetryVerdict.BudgetSpent);
    });
  });

  describe('after a quiet night', () => {
    it('has saved no more than fifty retries', () => {
      const clock = new VirtualClock();
      const budget = new RetryBudget(clock);
      clock.advance(12 * 3600 * 1000);
      let retries = 0;
      while (budget.judge(question()) === RetryVerdict.Retry) retries++;
      assert.equal(retries, 50);
    });
  });

  describe('for a request that had its attempts', () => {
    it('stops', () => {
      const budget = new RetryBudget(new VirtualClock());
      const last = question({attempts: MAXIMUM_ATTEMPTS});
      assert.equal(budget.judge(last), RetryVerdict.AttemptsSpent);
      const busy = question({
        kind: OutcomeKind.Busy,
        attempts: MAXIMUM_BUSY_ATTEMPTS,
      });
      assert.equal(budget.judge(busy), RetryVerdict.AttemptsSpent);
    });
  });

  describe('for a caller that left', () => {
    it('does nothing', () => {
      const budget = new RetryBudget(new VirtualClock());
      const gone = question({kind: OutcomeKind.CallerGone, sent: false});
      assert.equal(budget.judge(gone), RetryVerdict.NobodyWaits);
    });
  });
});
