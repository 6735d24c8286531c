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

/** Time for the way there and back, on top of the wait that is asked for, in milliseconds. */
const ROUND_TRIP_MILLISECONDS = 1000;

/** What the search for an answer needs. */
export interface ClaimStatusLookupDependencies {
  readonly holder: string;
  readonly clock: Clock;
  readonly table: ClaimTable;
  readonly ownClaims: OwnClaims;
  readonly heldAnswers: HeldAnswers;
  readonly keyWaiters: KeyWaiters;
  readonly peerLinks: PeerLinks;
}

/** A try, as its holder names it. */
export interface AttemptReference extends ClaimReference {
  readonly holder: string;
}

/** Where a claimed try stands, and whether whoever has its answer could be asked. */
export interface ResolvedClaimStatus extends ClaimStatusResponse {
  readonly isAnswerHolderReached: boolean;
}

/** Finds out where a claimed key stands: here, or at the daemon that has its answer. */
export class ClaimStatusLookup {
  constructor(private readonly dependencies: ClaimStatusLookupDependencies) {}

  /** Waits up to `milliseconds` for the end of a running request. */
  async findStatus(
    entry: ClaimEntry,
    milliseconds: number,
    signal?: AbortSignal,
  ): Promise<ResolvedClaimStatus> {
    const {holder, table} = this.dependencies;
    const keeper = table.answerHolderOf(entry.holder);
    if (keeper === holder) {
      const here = await this.localStatus(entry, milliseconds, signal);
      return applyLoggedOutcome({...here, isAnswerHolderReached: true}, entry);
    }
    try {
      const there = await this.remoteStatus(keeper, entry, milliseconds);
      return applyLoggedOutcome({...there, isAnswerHolderReached: true}, entry);
    } catch {
      return applyLoggedOutcome(
        {standing: ClaimStatus.Unknown, isAnswerHolderReached: false},
        entry,
      );
    }
  }

  /** Where a try stands at this daemon; waits up to `milliseconds` while it runs. */
  async localStatus(
    named: AttemptReference,
    milliseconds: number,
    signal?: AbortSignal,
  ): Promise<ClaimStatusResponse> {
    const {
      holder,
      clock,
      heldAnswers: held,
      ownClaims: own,
      keyWaiters: waiters,
    } = this.dependencies;
    const deadline = clock.monotonicMilliseconds() + milliseconds;
    for (;;) {
      const ended = held.get(named.holder, named.attempt);
      if (ended)
        return {standing: STATUS_BY_OUTCOME[ended.end], answer: ended.answer};
      if (named.holder !== holder) return {standing: ClaimStatus.Unknown};
      const standing = own.statusOf(named);
      if (standing !== ClaimStatus.Running) return {standing};
      const left = deadline - clock.monotonicMilliseconds();
      if (left <= 0 || signal?.aborted) return {standing};
      await waiters.wait(named.key, left, signal);
    }
  }

  private async remoteStatus(
    keeper: string,
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
    const answer = await this.dependencies.peerLinks.request(
      keeper,
      PeerTopic.KeyedAnswer,
      message,
      waitMilliseconds + ROUND_TRIP_MILLISECONDS,
    );
    return parseClaimStatusResponse(answer);
  }
}

const STATUS_BY_OUTCOME: Readonly<Record<ClaimOutcome, ClaimStatus>> = {
  [ClaimOutcome.Finished]: ClaimStatus.Finished,
  [ClaimOutcome.Lost]: ClaimStatus.Lost,
};

/** Where the keeper knows nothing, what the log says of the end stands. */
function applyLoggedOutcome(
  found: ResolvedClaimStatus,
  {end}: ClaimEntry,
): ResolvedClaimStatus {
  if (found.standing !== ClaimStatus.Unknown || end === undefined) return found;
  return {...found, standing: STATUS_BY_OUTCOME[end]};
}
