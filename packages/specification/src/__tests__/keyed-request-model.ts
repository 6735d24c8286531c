import assert from 'node:assert/strict';
import type {KeyedRequestOutcome} from './claims-fleet.js';

/** What became of a try. */
enum AttemptState {
  Asking = 'asking',
  /** Holds the right to run. */
  Holding = 'holding',
  Finished = 'finished',
  Lost = 'lost',
  /** Given back unsent. */
  Released = 'released',
  /** Told something else. */
  Refused = 'refused',
  /** Its daemon died while it held the right to run. */
  DaemonCrashed = 'gone',
}

/** One request under a key, through one daemon. */
export interface KeyedAttempt {
  readonly key: string;
  readonly incarnation: string;
  /** Earlier requests of the key that ran, or held the right to, when this one came. */
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

/** Errors that say nothing of the key's earlier requests and need not. */
const ABOUT_THIS_REQUEST = new Set(['caller_gone']);

/** The model: what callers were told and what ran, held against the promises. */
export class KeyedRequestModel {
  readonly attempts: KeyedAttempt[] = [];
  crashes = 0;
  /** Broken promises that were heard of outside a command. */
  readonly violations: Error[] = [];

  begin(key: string, incarnation: string): KeyedAttempt {
    const earlier = this.attempts.filter(
      entry => entry.key === key && MAY_HAVE_RUN.has(entry.state),
    );
    const entry = {key, incarnation, earlier, state: AttemptState.Asking};
    this.attempts.push(entry);
    return entry;
  }

  /** Takes in what a try was told; throws where that breaks a promise. */
  recordOutcome(entry: KeyedAttempt, told: KeyedRequestOutcome): void {
    // A daemon that died tells nobody anything.
    if (entry.state !== AttemptState.Asking) return;
    entry.outcome = told;
    if (told.decision === 'run') {
      assert.ok(
        !this.mayHaveRun(entry.key),
        `${entry.key} may run a second time, at ${entry.incarnation}`,
      );
      entry.state = AttemptState.Holding;
      return;
    }
    entry.state = AttemptState.Refused;
    this.checkRefusal(entry, told);
  }

  finish(entry: KeyedAttempt): void {
    entry.state = AttemptState.Finished;
  }

  lose(entry: KeyedAttempt): void {
    entry.state = AttemptState.Lost;
  }

  release(entry: KeyedAttempt): void {
    entry.state = AttemptState.Released;
  }

  crash(incarnation: string): void {
    this.crashes++;
    for (const entry of this.attempts) {
      if (entry.incarnation !== incarnation) continue;
      if (entry.state === AttemptState.Holding)
        entry.state = AttemptState.DaemonCrashed;
      if (entry.state === AttemptState.Asking)
        entry.state = AttemptState.Refused;
    }
  }

  /** Tries that hold the right to run. */
  attemptsHoldingClaim(): KeyedAttempt[] {
    return this.attempts.filter(({state}) => state === AttemptState.Holding);
  }

  mayHaveRun(key: string): boolean {
    return this.attempts.some(
      entry => entry.key === key && MAY_HAVE_RUN.has(entry.state),
    );
  }

  /** Everything that callers heard, and how their requests ended. */
  observations(): string[] {
    return this.attempts.flatMap(({state, outcome: told}) => {
      const said = told?.decision ?? '';
      return [state, said, `${said}, run: ${told?.runStatement}`];
    });
  }

  /** Throws the first broken promise. */
  check(): void {
    if (this.violations.length > 0) throw this.violations[0];
  }

  /** After everything is mended: what a new request of the key must be told. */
  checkAfterRecovery(key: string, told: KeyedRequestOutcome): void {
    const ended = this.attempts.filter(entry => entry.key === key);
    if (ended.some(({state}) => state === AttemptState.Finished)) {
      const isSaid = ['replayed', 'key_already_run'].includes(told.decision);
      assert.ok(
        isSaid || this.crashes > 0,
        `${key}: ${told.decision} after a run`,
      );
      if (this.crashes === 0) assert.equal(told.decision, 'replayed');
    } else if (this.mayHaveRun(key)) {
      assert.equal(told.decision, 'key_outcome_unknown');
    } else if (this.crashes === 0) {
      assert.equal(
        told.decision,
        'run',
        `${key} is blocked though it never ran`,
      );
    }
  }

  private checkRefusal(
    entry: KeyedAttempt,
    {decision: said, runStatement: run, answer}: KeyedRequestOutcome,
  ): void {
    const {key, earlier} = entry;
    // One that held the right and gave it back unsent meanwhile has not run.
    const ranBefore = earlier.some(({state}) => MAY_HAVE_RUN.has(state));
    if (run === 'no' && !ABOUT_THIS_REQUEST.has(said))
      assert.ok(!ranBefore, `${key}: ${said} says "not run" after a run`);
    const isFinished = this.attempts.some(
      other => other.key === key && other.state === AttemptState.Finished,
    );
    if (run === 'yes') assert.ok(isFinished, `${key}: ${said} before a run`);
    if (answer)
      assert.equal(Buffer.from(answer.body).toString(), answerText(key));
  }
}

/** The one answer of a key. */
export function answerText(key: string): string {
  return `the answer to ${key}`;
}
