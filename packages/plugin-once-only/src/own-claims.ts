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

/** Result of waiting for a claim. */
export enum ClaimResult {
  /** Still waiting. */
  Pending = 'pending',
  /** The claim is the first for its key in the log: the request may run. */
  Won = 'won',
  /** Another attempt claimed the key first. */
  Taken = 'taken',
  /** No request is waiting any more; it must not run even if the log shows the claim later. */
  GivenUp = 'given_up',
  /**
   * So many claims were applied meanwhile that an older claim of the key may have been
   * evicted.
   */
  Forgotten = 'forgotten',
}

/** A claim that was queued but not yet read back. Its result changes once, from `Pending`. */
export interface PendingClaim extends ClaimRequest {
  /** Every claim of the key at or above this offset is known to this daemon. */
  readonly startOffset: number;
  result: ClaimResult;
}

/** Dependencies of `OwnClaims`. */
export interface OwnClaimsDependencies {
  readonly holder: string;
  readonly table: ClaimTable;
  readonly writer: ClaimWriter;
  readonly heldAnswers: HeldAnswers;
  readonly keyWaiters: KeyWaiters;
}

/** Tracks the attempts of this incarnation, from the claim to the end of the request. */
export class OwnClaims {
  private lastAttempt = 0;
  private readonly pending = new Map<number, PendingClaim>();
  private readonly pendingKeys = new Set<string>();
  private readonly givenUp = new Map<number, ClaimReference>();
  private readonly running = new Map<number, ClaimReference>();
  private readonly releasing = new Map<number, ClaimReference>();

  constructor(private readonly dependencies: OwnClaimsDependencies) {}

  /** Number of requests that hold a claim and have not finished. */
  get runningCount(): number {
    return this.running.size;
  }

  /** True while a claim of the key is pending and a request waits for it. */
  isPending(key: string): boolean {
    return this.pendingKeys.has(key);
  }

  /** Queues a claim for the log. */
  begin(key: string, fingerprint: string, startOffset: number): PendingClaim {
    const attempt = ++this.lastAttempt;
    const result: ClaimResult = ClaimResult.Pending;
    const claim = {key, attempt, fingerprint, startOffset, result};
    this.pending.set(attempt, claim);
    this.pendingKeys.add(key);
    this.dependencies.writer.queueClaim({key, attempt, fingerprint});
    return claim;
  }

  /** Stops waiting for a claim. If the claim is won later, it is released. */
  giveUp(claim: PendingClaim): void {
    if (claim.result !== ClaimResult.Pending) return;
    this.setResult(claim, ClaimResult.GivenUp);
    const {key, attempt} = claim;
    // An append in flight may succeed after the caller got its response. The claim must then
    // neither run nor keep the key, so it is remembered until the log shows it or shows that
    // it can no longer be applied.
    if (!this.dependencies.writer.withdraw(attempt))
      this.givenUp.set(attempt, {key, attempt});
  }

  /** Creates the handle with which the request of a won claim reports how it ended. */
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

  /** Returns the status of an attempt of this incarnation. */
  statusOf({key, attempt}: ClaimReference): ClaimStatus {
    if (this.running.has(attempt)) return ClaimStatus.Running;
    if (this.pending.get(attempt)?.key === key) return ClaimStatus.Running;
    if (this.releasing.has(attempt)) return ClaimStatus.Released;
    if (this.givenUp.has(attempt)) return ClaimStatus.Released;
    return ClaimStatus.Unknown;
  }

  /** Handles the result of folding a batch of this incarnation. */
  onOwnBatch(batch: ClaimBatch, appliedBatch: AppliedClaimBatch): void {
    for (const {item, entry} of appliedBatch.appliedClaims)
      this.applyClaim(item, entry);
    for (const item of batch.releases) {
      this.releasing.delete(item.attempt);
      this.dependencies.keyWaiters.wake(item.key);
    }
    for (const attempt of this.dependencies.writer.confirmReadBack(batch))
      this.givenUp.delete(attempt);
  }

  /** Gives up and releases all pending claims: the batches that showed their results are lost. */
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
    const {key, attempt, startOffset} = claim;
    // While the claim was pending, claims above its start offset may have been evicted, among
    // them one of this key. Without this check the request could be run a second time.
    if (this.dependencies.table.retainedFromOffset > startOffset) {
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
    outcome: ClaimOutcome,
    answer?: HeldAnswer,
  ): void {
    const {holder, heldAnswers, writer, keyWaiters} = this.dependencies;
    const {key, attempt} = reference;
    if (!this.running.delete(attempt)) return;
    heldAnswers.put({holder, attempt, end: outcome, answer});
    writer.queueOutcome({key, attempt, end: outcome});
    keyWaiters.wake(key);
  }
}
