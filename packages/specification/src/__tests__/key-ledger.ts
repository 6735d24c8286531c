import assert from 'node:assert/strict';
import type {Told} from './claims-fleet.js';

/** What became of a try. */
enum TryState {
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
  Gone = 'gone',
}

/** One request under a key, through one daemon. */
export interface Try {
  readonly key: string;
  readonly incarnation: string;
  /** Earlier requests of the key that ran, or held the right to, when this one came. */
  readonly earlier: readonly Try[];
  state: TryState;
  told?: Told;
}

/** States in which a request has run or may have run. */
const MAY_HAVE_RUN: ReadonlySet<TryState> = new Set([
  TryState.Holding,
  TryState.Finished,
  TryState.Lost,
  TryState.Gone,
]);

/** Errors that say nothing of the key's earlier requests and need not. */
const ABOUT_THIS_REQUEST = new Set(['caller_gone']);

/** The model: what callers were told and what ran, held against the promises. */
export class KeyLedger {
  readonly tries: Try[] = [];
  crashes = 0;
  /** Broken promises that were heard of outside a command. */
  readonly faults: Error[] = [];

  begin(key: string, incarnation: string): Try {
    const earlier = this.tries.filter(
      entry => entry.key === key && MAY_HAVE_RUN.has(entry.state),
    );
    const entry = {key, incarnation, earlier, state: TryState.Asking};
    this.tries.push(entry);
    return entry;
  }

  /** Takes in what a try was told; throws where that breaks a promise. */
  hear(entry: Try, told: Told): void {
    // A daemon that died tells nobody anything.
    if (entry.state !== TryState.Asking) return;
    entry.told = told;
    if (told.said === 'run') {
      assert.ok(
        !this.mayHaveRun(entry.key),
        `${entry.key} may run a second time, at ${entry.incarnation}`,
      );
      entry.state = TryState.Holding;
      return;
    }
    entry.state = TryState.Refused;
    this.checkRefusal(entry, told);
  }

  finish(entry: Try): void {
    entry.state = TryState.Finished;
  }

  lose(entry: Try): void {
    entry.state = TryState.Lost;
  }

  release(entry: Try): void {
    entry.state = TryState.Released;
  }

  crash(incarnation: string): void {
    this.crashes++;
    for (const entry of this.tries) {
      if (entry.incarnation !== incarnation) continue;
      if (entry.state === TryState.Holding) entry.state = TryState.Gone;
      if (entry.state === TryState.Asking) entry.state = TryState.Refused;
    }
  }

  /** Tries that hold the right to run. */
  holding(): Try[] {
    return this.tries.filter(({state}) => state === TryState.Holding);
  }

  mayHaveRun(key: string): boolean {
    return this.tries.some(
      entry => entry.key === key && MAY_HAVE_RUN.has(entry.state),
    );
  }

  /** Everything that callers heard, and how their requests ended. */
  heard(): string[] {
    return this.tries.flatMap(({state, told}) => {
      const said = told?.said ?? '';
      return [state, said, `${said}, run: ${told?.run}`];
    });
  }

  /** Throws the first broken promise. */
  check(): void {
    if (this.faults.length > 0) throw this.faults[0];
  }

  /** After everything is mended: what a new request of the key must be told. */
  checkAtRest(key: string, told: Told): void {
    const ended = this.tries.filter(entry => entry.key === key);
    if (ended.some(({state}) => state === TryState.Finished)) {
      const isSaid = ['replayed', 'key_already_run'].includes(told.said);
      assert.ok(isSaid || this.crashes > 0, `${key}: ${told.said} after a run`);
      if (this.crashes === 0) assert.equal(told.said, 'replayed');
    } else if (this.mayHaveRun(key)) {
      assert.equal(told.said, 'key_outcome_unknown');
    } else if (this.crashes === 0) {
      assert.equal(told.said, 'run', `${key} is blocked though it never ran`);
    }
  }

  private checkRefusal(entry: Try, {said, run, answer}: Told): void {
    const {key, earlier} = entry;
    // One that held the right and gave it back unsent meanwhile has not run.
    const ranBefore = earlier.some(({state}) => MAY_HAVE_RUN.has(state));
    if (run === 'no' && !ABOUT_THIS_REQUEST.has(said))
      assert.ok(!ranBefore, `${key}: ${said} says "not run" after a run`);
    const isFinished = this.tries.some(
      other => other.key === key && other.state === TryState.Finished,
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
