import type {
  BatchVerdict,
  ClaimBatch,
  ClaimEntry,
  ClaimItem,
  ClaimReference,
  ClaimTable,
  HeldAnswer,
  HeldClaim,
} from '@gentiandoor/shared-state';
import {ClaimEnd} from '@gentiandoor/shared-state';
import {Standing} from './claim-messages.js';
import type {ClaimWriter} from './claim-writer.js';
import type {HeldAnswers} from './held-answers.js';
import type {KeyWaiters} from './key-waiters.js';

/** How the wait for a claim ended. */
export enum ClaimResult {
  /** Still waiting. */
  Pending = 'pending',
  /** It stands in the log: the request may run. */
  Won = 'won',
  /** Another try was first. */
  Taken = 'taken',
  /** Nobody waits any more; it must not run, whatever the log says later. */
  GivenUp = 'given_up',
  /** So much came in between that an older claim of the key may be forgotten. */
  Forgotten = 'forgotten',
}

/** A claim on its way. Its result changes once, from `Pending`. */
export interface PendingClaim extends ClaimItem {
  /** Every claim of the key at or above this offset is known to this daemon. */
  readonly knownFrom: number;
  result: ClaimResult;
}

/** What the tries of this incarnation need. */
export interface OwnClaimsDependencies {
  readonly holder: string;
  readonly table: ClaimTable;
  readonly writer: ClaimWriter;
  readonly held: HeldAnswers;
  readonly waiters: KeyWaiters;
}

/** The tries of this incarnation, from the claim to the end of the request. */
export class OwnClaims {
  private lastAttempt = 0;
  private readonly pending = new Map<number, PendingClaim>();
  private readonly pendingKeys = new Set<string>();
  private readonly givenUp = new Map<number, ClaimReference>();
  private readonly running = new Map<number, ClaimReference>();
  private readonly releasing = new Map<number, ClaimReference>();

  constructor(private readonly dependencies: OwnClaimsDependencies) {}

  /** Requests that hold a claim and have not ended. */
  get runningCount(): number {
    return this.running.size;
  }

  /** True while a claim of the key is on its way and somebody waits for it. */
  isPending(key: string): boolean {
    return this.pendingKeys.has(key);
  }

  /** Sends a claim on its way. */
  begin(key: string, fingerprint: string, knownFrom: number): PendingClaim {
    const attempt = ++this.lastAttempt;
    const result: ClaimResult = ClaimResult.Pending;
    const claim = {key, attempt, fingerprint, knownFrom, result};
    this.pending.set(attempt, claim);
    this.pendingKeys.add(key);
    this.dependencies.writer.claim({key, attempt, fingerprint});
    return claim;
  }

  /** Ends the wait for a claim; what is won later is given back. */
  giveUp(claim: PendingClaim): void {
    if (claim.result !== ClaimResult.Pending) return;
    this.settle(claim, ClaimResult.GivenUp);
    const {key, attempt} = claim;
    // An append under way may land after the caller was told. It must neither run nor keep
    // the key: it stays here until the log shows it, or shows that it can land no more.
    if (!this.dependencies.writer.withdraw(attempt))
      this.givenUp.set(attempt, {key, attempt});
  }

  /** The right to run a won claim. */
  held(claim: PendingClaim): HeldClaim {
    const {key, attempt} = claim;
    return {
      finish: answer => this.end({key, attempt}, ClaimEnd.Finished, answer),
      lose: () => this.end({key, attempt}, ClaimEnd.Lost),
      release: () => {
        if (this.running.delete(attempt)) this.release({key, attempt});
      },
    };
  }

  /** Where a try of this incarnation stands. */
  standing({key, attempt}: ClaimReference): Standing {
    if (this.running.has(attempt)) return Standing.Running;
    if (this.pending.get(attempt)?.key === key) return Standing.Running;
    if (this.releasing.has(attempt)) return Standing.Released;
    if (this.givenUp.has(attempt)) return Standing.Released;
    return Standing.Unknown;
  }

  /** Hears what the fold made of a batch of this incarnation. */
  onOwnBatch(batch: ClaimBatch, verdict: BatchVerdict): void {
    for (const {item, entry} of verdict.verdicts) this.judge(item, entry);
    for (const item of batch.releases) {
      this.releasing.delete(item.attempt);
      this.dependencies.waiters.wake(item.key);
    }
    for (const attempt of this.dependencies.writer.noteReadBack(batch))
      this.givenUp.delete(attempt);
  }

  /** Gives back whatever is on its way: the batches that told its fate are lost. */
  giveUpAll(): void {
    for (const claim of [...this.pending.values()]) this.giveUp(claim);
    for (const claim of [...this.givenUp.values()]) {
      this.givenUp.delete(claim.attempt);
      this.release(claim);
    }
  }

  private judge(item: ClaimItem, entry: ClaimEntry): void {
    const {holder} = this.dependencies;
    const isOwn = entry.holder === holder && entry.attempt === item.attempt;
    const claim = this.pending.get(item.attempt);
    if (claim) this.decide(claim, isOwn);
    else if (isOwn && this.givenUp.delete(item.attempt)) this.release(item);
  }

  private decide(claim: PendingClaim, isOwn: boolean): void {
    if (!isOwn) return this.settle(claim, ClaimResult.Taken);
    const {key, attempt, knownFrom} = claim;
    // While the claim was on its way, older claims may have been forgotten above the bound,
    // one of this key among them; the symptom would be a second run.
    if (this.dependencies.table.horizon > knownFrom) {
      this.settle(claim, ClaimResult.Forgotten);
      return this.release(claim);
    }
    this.running.set(attempt, {key, attempt});
    this.settle(claim, ClaimResult.Won);
  }

  private settle(claim: PendingClaim, result: ClaimResult): void {
    claim.result = result;
    this.pending.delete(claim.attempt);
    this.pendingKeys.delete(claim.key);
    this.dependencies.waiters.wake(claim.key);
  }

  private release({key, attempt}: ClaimReference): void {
    this.releasing.set(attempt, {key, attempt});
    this.dependencies.writer.release({key, attempt});
  }

  private end(
    reference: ClaimReference,
    end: ClaimEnd,
    answer?: HeldAnswer,
  ): void {
    const {holder, held, writer, waiters} = this.dependencies;
    const {key, attempt} = reference;
    if (!this.running.delete(attempt)) return;
    held.put({holder, attempt, end, answer});
    writer.outcome({key, attempt, end});
    waiters.wake(key);
  }
}
