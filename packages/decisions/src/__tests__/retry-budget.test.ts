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

function failedAttempt(changes: Partial<FailedAttempt> = {}): FailedAttempt {
  return {
    kind: OutcomeKind.ServerError,
    sent: true,
    idempotent: true,
    attempts: 1,
    ...changes,
  };
}

describe('RetryBudget', () => {
  describe('for a request that must not run twice', () => {
    const once = failedAttempt({idempotent: false});

    it('never retries if bytes were sent', () => {
      for (const kind of [
        OutcomeKind.ServerError,
        OutcomeKind.ConnectionLost,
        OutcomeKind.TimedOut,
        OutcomeKind.Truncated,
      ]) {
        const decision = new RetryBudget(new VirtualClock()).decide({
          ...once,
          kind,
        });
        assert.equal(decision, RetryDecision.MayHaveRun);
      }
    });

    it('retries if nothing was sent or the target refused it', () => {
      const budget = new RetryBudget(new VirtualClock());
      const unsent = {...once, kind: OutcomeKind.Unreachable, sent: false};
      assert.equal(budget.decide(unsent), RetryDecision.Retry);
      const busy = {...once, kind: OutcomeKind.Busy};
      assert.equal(budget.decide(busy), RetryDecision.Retry);
    });
  });

  describe('when every request fails', () => {
    it('adds no more than a fifth to the load', () => {
      const budget = new RetryBudget(new VirtualClock());
      let retries = 0;
      for (let request = 0; request < 1000; request++) {
        budget.onFirstAttempt();
        if (budget.decide(failedAttempt()) === RetryDecision.Retry) retries++;
      }
      assert.ok(retries >= 195 && retries <= 205, `${retries} retries`);
      assert.equal(
        budget.decide(failedAttempt()),
        RetryDecision.BudgetExhausted,
      );
    });
  });

  describe('after a quiet night', () => {
    it('has accumulated no more than fifty retries', () => {
      const clock = new VirtualClock();
      const budget = new RetryBudget(clock);
      clock.advance(12 * 3600 * 1000);
      let retries = 0;
      while (budget.decide(failedAttempt()) === RetryDecision.Retry) retries++;
      assert.equal(retries, 50);
    });
  });

  describe('for a request that has used all its attempts', () => {
    it('does not retry', () => {
      const budget = new RetryBudget(new VirtualClock());
      const last = failedAttempt({attempts: MAXIMUM_ATTEMPTS});
      assert.equal(budget.decide(last), RetryDecision.AttemptsExhausted);
      const busy = failedAttempt({
        kind: OutcomeKind.Busy,
        attempts: MAXIMUM_BUSY_ATTEMPTS,
      });
      assert.equal(budget.decide(busy), RetryDecision.AttemptsExhausted);
    });
  });

  describe('for a caller that gave up', () => {
    it('does not retry', () => {
      const budget = new RetryBudget(new VirtualClock());
      const gone = failedAttempt({kind: OutcomeKind.CallerGone, sent: false});
      assert.equal(budget.decide(gone), RetryDecision.CallerGone);
    });
  });
});
