import type {Clock} from '@gentiandoor/kernel';
import {
  ClaimOutcome,
  PeerTopic,
  type ClaimEntry,
  type ClaimReference,
  type ClaimTable,
  type PeerLinks,
} from '@gentiandoor/shared-state';
import {
  ClaimMessageKind,
  ClaimStatus,
  parseClaimStatusResponse,
  type ClaimStatusRequest,
  type ClaimStatusResponse,
} from './claim-messages.js';
import type {HeldAnswers} from './held-answers.js';
import type {KeyWaiters} from './key-waiters.js';
import type {OwnClaims} from './own-claims.js';

/** Time allowed for the network round trip, in addition to the requested wait. */
const ROUND_TRIP_MILLISECONDS = 1000;

/** Dependencies of `ClaimStatusLookup`. */
export interface ClaimStatusLookupDependencies {
  readonly holder: string;
  readonly clock: Clock;
  readonly table: ClaimTable;
  readonly ownClaims: OwnClaims;
  readonly heldAnswers: HeldAnswers;
  readonly keyWaiters: KeyWaiters;
  readonly peerLinks: PeerLinks;
}

/** Identifies an attempt across daemons: its claim and the incarnation that holds it. */
export interface AttemptReference extends ClaimReference {
  readonly holder: string;
}

/** Status of a claimed attempt, and whether the daemon that holds its answer was reachable. */
export interface ResolvedClaimStatus extends ClaimStatusResponse {
  readonly isAnswerHolderReached: boolean;
}

/** Looks up the status of a claimed key, here or at the daemon that holds its answer. */
export class ClaimStatusLookup {
  constructor(private readonly dependencies: ClaimStatusLookupDependencies) {}

  /** Returns the status; waits up to `milliseconds` for a running request to finish. */
  async findStatus(
    entry: ClaimEntry,
    milliseconds: number,
    signal?: AbortSignal,
  ): Promise<ResolvedClaimStatus> {
    const {holder, table} = this.dependencies;
    const answerHolder = table.answerHolderOf(entry.holder);
    if (answerHolder === holder) {
      const localStatus = await this.localStatus(entry, milliseconds, signal);
      return applyLoggedOutcome(
        {...localStatus, isAnswerHolderReached: true},
        entry,
      );
    }
    try {
      const remoteStatus = await this.remoteStatus(
        answerHolder,
        entry,
        milliseconds,
      );
      return applyLoggedOutcome(
        {...remoteStatus, isAnswerHolderReached: true},
        entry,
      );
    } catch {
      return applyLoggedOutcome(
        {standing: ClaimStatus.Unknown, isAnswerHolderReached: false},
        entry,
      );
    }
  }

  /**
   * Returns the status of an attempt at this daemon; waits up to `milliseconds` while it runs.
   */
  async localStatus(
    reference: AttemptReference,
    milliseconds: number,
    signal?: AbortSignal,
  ): Promise<ClaimStatusResponse> {
    const {holder, clock, heldAnswers, ownClaims, keyWaiters} =
      this.dependencies;
    const deadline = clock.monotonicMilliseconds() + milliseconds;
    for (;;) {
      const heldOutcome = heldAnswers.get(reference.holder, reference.attempt);
      if (heldOutcome)
        return {
          standing: STATUS_BY_OUTCOME[heldOutcome.end],
          answer: heldOutcome.answer,
        };
      if (reference.holder !== holder) return {standing: ClaimStatus.Unknown};
      const status = ownClaims.statusOf(reference);
      if (status !== ClaimStatus.Running) return {standing: status};
      const remainingMilliseconds = deadline - clock.monotonicMilliseconds();
      if (remainingMilliseconds <= 0 || signal?.aborted)
        return {standing: status};
      await keyWaiters.wait(reference.key, remainingMilliseconds, signal);
    }
  }

  private async remoteStatus(
    answerHolder: string,
    {holder, key, attempt}: AttemptReference,
    waitMilliseconds: number,
  ): Promise<ClaimStatusResponse> {
    const message: ClaimStatusRequest = {
      kind: ClaimMessageKind.StatusRequest,
      holder,
      key,
      attempt,
      waitMilliseconds,
    };
    const response = await this.dependencies.peerLinks.request(
      answerHolder,
      PeerTopic.KeyedAnswer,
      message,
      waitMilliseconds + ROUND_TRIP_MILLISECONDS,
    );
    return parseClaimStatusResponse(response);
  }
}

const STATUS_BY_OUTCOME: Readonly<Record<ClaimOutcome, ClaimStatus>> = {
  [ClaimOutcome.Finished]: ClaimStatus.Finished,
  [ClaimOutcome.Lost]: ClaimStatus.Lost,
};

/**
 * Uses the outcome from the log when the daemon that holds the answer has no record of the
 * attempt.
 */
function applyLoggedOutcome(
  status: ResolvedClaimStatus,
  {end}: ClaimEntry,
): ResolvedClaimStatus {
  if (status.standing !== ClaimStatus.Unknown || end === undefined)
    return status;
  return {...status, standing: STATUS_BY_OUTCOME[end]};
}
