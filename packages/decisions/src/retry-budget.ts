import type {Clock} from '@gentiandoor/kernel';
import {OutcomeKind} from './target-outcome.js';

/** A failed attempt that the caller's edge would like to send to another target. */
export interface FailedAttempt {
  readonly kind: OutcomeKind;
  /** Whether a byte of the request went to the target. */
  readonly sent: boolean;
  readonly idempotent: boolean;
  /** Attempts made so far, the failed one included. */
  readonly attempts: number;
}

/** Whether a failed attempt is sent again, and why not. */
export enum RetryDecision {
  Retry = 'retry',
  /** The request may have been run and must not be run twice. */
  MayHaveRun = 'may_have_run',
  /** The request had its attempts. */
  AttemptsExhausted = 'attempts_spent',
  /** Too many requests are being sent again already. */
  BudgetExhausted = 'budget_spent',
  /** Nobody waits for the answer. */
  CallerGone = 'nobody_waits',
}

/** Decides on second attempts. */
export interface RetryPolicy {
  /** Counts a first attempt, which earns a part of a retry. */
  onFirstAttempt(): void;
  /** Spends from the budget when the verdict is `Retry`. */
  decide(question: FailedAttempt): RetryDecision;
}

/** Whether sending again can run the request twice. */
export function isSafeToRepeat(question: FailedAttempt): boolean {
  if (!question.sent || question.kind === OutcomeKind.Busy) return true;
  return question.idempotent;
}

/** Attempts that a request may have in all. */
export const MAXIMUM_ATTEMPTS = 3;
/** The same when nothing was sent: one more than the targets of a rack. */
export const MAXIMUM_UNSENT_ATTEMPTS = 5;
/** Attempts of a request that met busy targets; its wait is bounded by its deadline as well. */
export const MAXIMUM_BUSY_ATTEMPTS = 8;
const RETRIES_PER_REQUEST = 0.2;
const MINIMUM_RETRIES_PER_SECOND = 2;
const MAXIMUM_BALANCE = 50;
const MILLISECONDS_PER_SECOND = 1000;

/**
 * Allows retries up to a share of the requests that came in.
 * Answers a target or a pool that fails: without a bound each of three attempts meets the same
 * fault, the load triples just when capacity is gone, and the pool stays down after the fault has
 * ended. A fifth covers one bad target of eight (an eighth of all requests) until it is ejected
 * and adds at most a fifth to the load in a fault of everything. Two a second let a service with
 * little traffic retry at all; savings are bounded so that a quiet night does not pay for a storm.
 * A busy answer costs no budget: it cost the target nothing, the answer has cut this daemon's
 * share, and the request goes back to waiting, bounded by its attempts and its deadline.
 */
export class RetryBudget implements RetryPolicy {
  private balance = MINIMUM_RETRIES_PER_SECOND;
  private lastRefill: number;

  constructor(private readonly clock: Clock) {
    this.lastRefill = clock.monotonicMilliseconds();
  }

  onFirstAttempt(): void {
    this.credit(RETRIES_PER_REQUEST);
  }

  decide(question: FailedAttempt): RetryDecision {
    if (question.kind === OutcomeKind.CallerGone)
      return RetryDecision.CallerGone;
    if (!isSafeToRepeat(question)) return RetryDecision.MayHaveRun;
    if (question.attempts >= attemptsFor(question))
      return RetryDecision.AttemptsExhausted;
    if (question.kind === OutcomeKind.Busy) return RetryDecision.Retry;
    this.refill();
    if (this.balance < 1) return RetryDecision.BudgetExhausted;
    this.balance -= 1;
    return RetryDecision.Retry;
  }

  private refill(): void {
    const now = this.clock.monotonicMilliseconds();
    const seconds = (now - this.lastRefill) / MILLISECONDS_PER_SECOND;
    this.lastRefill = now;
    this.credit(seconds * MINIMUM_RETRIES_PER_SECOND);
  }

  private credit(amount: number): void {
    this.balance = Math.min(MAXIMUM_BALANCE, this.balance + amount);
  }
}

function attemptsFor({kind, sent}: FailedAttempt): number {
  if (kind === OutcomeKind.Busy) return MAXIMUM_BUSY_ATTEMPTS;
  return sent ? MAXIMUM_ATTEMPTS : MAXIMUM_UNSENT_ATTEMPTS;
}

/** Retries whatever is safe to repeat, without a bound on the load: the baseline. */
export class UnlimitedRetries implements RetryPolicy {
  onFirstAttempt(): void {}

  decide(question: FailedAttempt): RetryDecision {
    if (question.kind === OutcomeKind.CallerGone)
      return RetryDecision.CallerGone;
    if (!isSafeToRepeat(question)) return RetryDecision.MayHaveRun;
    if (question.attempts >= MAXIMUM_ATTEMPTS)
      return RetryDecision.AttemptsExhausted;
    return RetryDecision.Retry;
  }
}
