import type {Clock} from '@gentiandoor/kernel';
import {OutcomeKind} from './target-outcome.js';

/** A failed attempt that might be retried on another target. */
export interface FailedAttempt {
  readonly kind: OutcomeKind;
  /** Whether any byte of the request was sent to the target. */
  readonly sent: boolean;
  readonly idempotent: boolean;
  /** Attempts made so far, including the failed one. */
  readonly attempts: number;
}

/** Whether a failed attempt is retried, and if not, why. */
export enum RetryDecision {
  Retry = 'retry',
  /** The request may have been run and must not be run twice. */
  MayHaveRun = 'may_have_run',
  /** The request has used all its attempts. */
  AttemptsExhausted = 'attempts_spent',
  /** Too many requests are being retried already. */
  BudgetExhausted = 'budget_spent',
  /** The caller no longer waits for the response. */
  CallerGone = 'nobody_waits',
}

/** Decides whether failed attempts are retried. */
export interface RetryPolicy {
  /** Records a first attempt, which credits a fraction of a retry. */
  onFirstAttempt(): void;
  /** Spends from the budget if the decision is `Retry`. */
  decide(attempt: FailedAttempt): RetryDecision;
}

/** Whether a retry is safe: the request cannot have run, or running it twice does no harm. */
export function isSafeToRepeat(attempt: FailedAttempt): boolean {
  if (!attempt.sent || attempt.kind === OutcomeKind.Busy) return true;
  return attempt.idempotent;
}

/** Maximum attempts of a request. */
export const MAXIMUM_ATTEMPTS = 3;
/** Maximum attempts if nothing was sent: one more than the targets of a rack. */
export const MAXIMUM_UNSENT_ATTEMPTS = 5;
/** Maximum attempts of a request that met busy targets; its deadline also limits its wait. */
export const MAXIMUM_BUSY_ATTEMPTS = 8;
const RETRIES_PER_REQUEST = 0.2;
const MINIMUM_RETRIES_PER_SECOND = 2;
const MAXIMUM_BALANCE = 50;
const MILLISECONDS_PER_SECOND = 1000;

/**
 * Allows retries up to a share of the incoming requests.
 * Load: a target or a pool that fails. Without a limit each of three attempts meets the same fault,
 * the load triples just when capacity is lost, and the pool stays down after the fault has ended. A
 * fifth covers one failing target of eight (an eighth of all requests) until it is ejected, and
 * adds at most a fifth to the load if everything fails. Two retries a second let a service with
 * little traffic retry at all; the balance is limited so that a quiet night does not pay for a
 * retry storm. A busy response costs no budget: it cost the target nothing, it has already reduced
 * this daemon's limit, and the request goes back to the queue, limited by its attempts and its
 * deadline.
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

  decide(attempt: FailedAttempt): RetryDecision {
    if (attempt.kind === OutcomeKind.CallerGone)
      return RetryDecision.CallerGone;
    if (!isSafeToRepeat(attempt)) return RetryDecision.MayHaveRun;
    if (attempt.attempts >= attemptsFor(attempt))
      return RetryDecision.AttemptsExhausted;
    if (attempt.kind === OutcomeKind.Busy) return RetryDecision.Retry;
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

/** Retries everything that is safe to repeat, without limiting the load: the baseline. */
export class UnlimitedRetries implements RetryPolicy {
  onFirstAttempt(): void {}

  decide(attempt: FailedAttempt): RetryDecision {
    if (attempt.kind === OutcomeKind.CallerGone)
      return RetryDecision.CallerGone;
    if (!isSafeToRepeat(attempt)) return RetryDecision.MayHaveRun;
    if (attempt.attempts >= MAXIMUM_ATTEMPTS)
      return RetryDecision.AttemptsExhausted;
    return RetryDecision.Retry;
  }
}
