import type {
  AppliedClaimBatch,
  ClaimBatch,
  ClaimEntry,
  ClaimRequest,
  ClaimReference,
  ClaimTable,
  HeldAnswer,
  ClaimHandle,
} from '@gentiandoor/shared-state';
import {ClaimOutcome} from '@gentiandoor/shared-state';
import {ClaimStatus} from './claim-messages.js';
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
export interface PendingClaim extends ClaimRequest {
  /** Every claim of the key at or above this offset is known to this daemon. */
  readonly startOffset: number;
  result: ClaimResult;
}

/** What the tries of this incarnation need. */
export interface OwnClaimsDependencies {
  readonly holder: string;
  readonly table: ClaimTable;
  readonly writer: ClaimWriter;
  readonly heldAnswers: HeldAnswers;
  readonly keyWaiters: KeyWaiters;
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
  begin(key: string, fingerprint: string, startOffset: number): PendingClaim {
    const attempt = ++this.lastAttempt;
    const result: ClaimResult = ClaimResult.Pending;
    const claim = {key, attempt, fingerprint, startOffset, result};
    this.pending.set(attempt, claim);
    this.pendingKeys.add(key);
    this.dependencies.writer.queueClaim({key, attempt, fingerprint});
    return claim;
  }

  /** Ends the wait for a claim; what is won later is given back. */
  giveUp(claim: PendingClaim): void {
    if (claim.result !== ClaimResult.Pending) return;
    this.setResult(claim, ClaimResult.GivenUp);
    const {key, attempt} = claim;
    // An append under way may land after the caller was told. It must neither run nor keep
    // the key: it stays here until the log shows it, or shows that it can land no more.
    if (!this.dependencies.writer.withdraw(attempt))
      this.givenUp.set(attempt, {key, attempt});
  }

  /** The right to run a won claim. */
  createHandle(claim: PendingClaim): ClaimHandle {
    const {key, attempt} = claim;
    return {
      finish: answer =>
        this.recordOutcome({key, attempt}, ClaimOutcome.Finished, answer),
      lose: () => this.recordOutcome({key, attempt}, ClaimOutcome.Lost),
      release: () => {
        if (this.running.delete(attempt)) this.release({key, attempt});
      },
    };
  }

  /** Where a try of this incarnation stands. */
  statusOf({key, attempt}: ClaimReference): ClaimStatus {
    if (this.running.has(attempt)) return ClaimStatus.Running;
    if (this.pending.get(attempt)?.key === key) return ClaimStatus.Running;
    if (this.releasing.has(attempt)) return ClaimStatus.Released;
    if (this.givenUp.has(attempt)) return ClaimStatus.Released;
    return ClaimStatus.Unknown;
  }

  /** Hears what the fold made of a batch of this incarnation. */
  onOwnBatch(batch: ClaimBatch, verdict: AppliedClaimBatch): void {
    for (const {item, entry} of verdict.appliedClaims)
      this.applyClaim(item, entry);
    for (const item of batch.releases) {
      this.releasing.delete(item.attempt);
      this.dependencies.keyWaiters.wake(item.key);
    }
    for (const attempt of this.dependencies.writer.confirmReadBack(batch))
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

  private applyClaim(item: ClaimRequest, entry: ClaimEntry): void {
    const {holder} = this.dependencies;
    const isOwn = entry.holder === holder && entry.attempt === item.attempt;
    const claim = this.pending.get(item.attempt);
    if (claim) this.resolvePending(claim, isOwn);
    else if (isOwn && this.givenUp.delete(item.attempt)) this.release(item);
  }

  private resolvePending(claim: PendingClaim, isOwn: boolean): void {
    if (!isOwn) return this.setResult(claim, ClaimResult.Taken);
    const {key, attempt, startOffset: knownFrom} = claim;
    // While the claim was on its way, older claims may have been forgotten above the bound,
    // one of this key among them; the symptom would be a second run.
    if (this.dependencies.table.retainedFromOffset > knownFrom) {
      this.setResult(claim, ClaimResult.Forgotten);
      return this.release(claim);
    }
    this.running.set(attempt, {key, attempt});
    this.setResult(claim, ClaimResult.Won);
  }

  private setResult(claim: PendingClaim, result: ClaimResult): void {
    claim.result = result;
    this.pending.delete(claim.attempt);
    this.pendingKeys.delete(claim.key);
    this.dependencies.keyWaiters.wake(claim.key);
  }

  private release({key, attempt}: ClaimReference): void {
    this.releasing.set(attempt, {key, attempt});
    this.dependencies.writer.queueRelease({key, attempt});
  }

  private recordOutcome(
    reference: ClaimReference,
    end: ClaimOutcome,
    answer?: HeldAnswer,
  ): void {
    const {
      holder,
      heldAnswers: held,
      writer,
      keyWaiters: waiters,
    } = this.dependencies;
    const {key, attempt} = reference;
    if (!this.running.delete(attempt)) return;
    held.put({holder, attempt, end, answer});
    writer.queueOutcome({key, attempt, end});
    waiters.wake(key);
  }
}
