import assert from 'node:assert/strict';
import type {KeyedRequestOutcome} from './claims-fleet.js';

/** State of an attempt. */
enum AttemptState {
  Asking = 'asking',
  /** Its claim holds the key, so it may run. */
  Holding = 'holding',
  Finished = 'finished',
  Lost = 'lost',
  /** The claim was released before anything was sent. */
  Released = 'released',
  /** The caller got any other decision. */
  Refused = 'refused',
  /** Its daemon crashed while the attempt held the claim. */
  DaemonCrashed = 'gone',
}

/** One request with a key, through one daemon. */
export interface KeyedAttempt {
  readonly key: string;
  readonly incarnation: string;
  /** Earlier requests of the key that had run or held the claim when this one began. */
  readonly earlier: readonly KeyedAttempt[];
  state: AttemptState;
  outcome?: KeyedRequestOutcome;
}

/** States in which a request has run or may have run. */
const MAY_HAVE_RUN: ReadonlySet<AttemptState> = new Set([
  AttemptState.Holding,
  AttemptState.Finished,
  AttemptState.Lost,
  AttemptState.DaemonCrashed,
]);

/** Errors that concern only this request and say nothing about earlier requests of the key. */
const ABOUT_THIS_REQUEST = new Set(['caller_gone']);

/** The model, which checks the responses to callers and the runs against the guarantees. */
export class KeyedRequestModel {
  readonly attempts: KeyedAttempt[] = [];
  crashes = 0;
  /** Violations that were detected outside a command. */
  readonly violations: Error[] = [];

  begin(key: string, incarnation: string): KeyedAttempt {
    const earlier = this.attempts.filter(
      attempt => attempt.key === key && MAY_HAVE_RUN.has(attempt.state),
    );
    const attempt = {key, incarnation, earlier, state: AttemptState.Asking};
    this.attempts.push(attempt);
    return attempt;
  }

  /** Records the outcome of an attempt; throws if the outcome breaks a guarantee. */
  recordOutcome(attempt: KeyedAttempt, outcome: KeyedRequestOutcome): void {
    // A crashed daemon sends no response.
    if (attempt.state !== AttemptState.Asking) return;
    attempt.outcome = outcome;
    if (outcome.decision === 'run') {
      assert.ok(
        !this.mayHaveRun(attempt.key),
        `${attempt.key} may run a second time, at ${attempt.incarnation}`,
      );
      attempt.state = AttemptState.Holding;
      return;
    }
    attempt.state = AttemptState.Refused;
    this.checkRefusal(attempt, outcome);
  }

  finish(attempt: KeyedAttempt): void {
    attempt.state = AttemptState.Finished;
  }

  lose(attempt: KeyedAttempt): void {
    attempt.state = AttemptState.Lost;
  }

  release(attempt: KeyedAttempt): void {
    attempt.state = AttemptState.Released;
  }

  crash(incarnation: string): void {
    this.crashes++;
    for (const attempt of this.attempts) {
      if (attempt.incarnation !== incarnation) continue;
      if (attempt.state === AttemptState.Holding)
        attempt.state = AttemptState.DaemonCrashed;
      if (attempt.state === AttemptState.Asking)
        attempt.state = AttemptState.Refused;
    }
  }

  /** Returns the attempts that hold the claim of their key. */
  attemptsHoldingClaim(): KeyedAttempt[] {
    return this.attempts.filter(({state}) => state === AttemptState.Holding);
  }

  mayHaveRun(key: string): boolean {
    return this.attempts.some(
      attempt => attempt.key === key && MAY_HAVE_RUN.has(attempt.state),
    );
  }

  /** Returns all states and decisions that occurred. */
  observations(): string[] {
    return this.attempts.flatMap(({state, outcome}) => {
      const decision = outcome?.decision ?? '';
      return [state, decision, `${decision}, run: ${outcome?.runStatement}`];
    });
  }

  /** Throws the first recorded violation. */
  check(): void {
    if (this.violations.length > 0) throw this.violations[0];
  }

  /** Checks the outcome of a new request of the key after all faults are over. */
  checkAfterRecovery(key: string, outcome: KeyedRequestOutcome): void {
    const attempts = this.attempts.filter(attempt => attempt.key === key);
    if (attempts.some(({state}) => state === AttemptState.Finished)) {
      const isReportedAsRun = ['replayed', 'key_already_run'].includes(
        outcome.decision,
      );
      assert.ok(
        isReportedAsRun || this.crashes > 0,
        `${key}: ${outcome.decision} after a run`,
      );
      if (this.crashes === 0) assert.equal(outcome.decision, 'replayed');
    } else if (this.mayHaveRun(key)) {
      assert.equal(outcome.decision, 'key_outcome_unknown');
    } else if (this.crashes === 0) {
      assert.equal(
        outcome.decision,
        'run',
        `${key} is blocked though it never ran`,
      );
    }
  }

  private checkRefusal(
    attempt: KeyedAttempt,
    {decision, runStatement, answer}: KeyedRequestOutcome,
  ): void {
    const {key, earlier} = attempt;
    // An attempt that held the claim and has released it unsent since then has not run.
    const ranBefore = earlier.some(({state}) => MAY_HAVE_RUN.has(state));
    if (runStatement === 'no' && !ABOUT_THIS_REQUEST.has(decision))
      assert.ok(!ranBefore, `${key}: ${decision} says "not run" after a run`);
    const isFinished = this.attempts.some(
      other => other.key === key && other.state === AttemptState.Finished,
    );
    if (runStatement === 'yes')
      assert.ok(isFinished, `${key}: ${decision} before a run`);
    if (answer)
      assert.equal(Buffer.from(answer.body).toString(), answerText(key));
  }
}

/** Returns the only valid answer for a key. */
export function answerText(key: string): string {
  return `the answer to ${key}`;
}
