import type {Clock} from '@gentiandoor/kernel';
import {
  ClaimEnd,
  PeerTopic,
  type ClaimEntry,
  type ClaimReference,
  type ClaimTable,
  type PeerLinks,
} from '@gentiandoor/shared-state';
import {
  ClaimMessageKind,
  Standing,
  parseStanding,
  type AskMessage,
  type StandingAnswer,
} from './claim-messages.js';
import type {HeldAnswers} from './held-answers.js';
import type {KeyWaiters} from './key-waiters.js';
import type {OwnClaims} from './own-claims.js';

/** Time for the way there and back, on top of the wait that is asked for, in milliseconds. */
const LINK_MILLISECONDS = 1000;

/** What the search for an answer needs. */
export interface AnswerKeeperDependencies {
  readonly holder: string;
  readonly clock: Clock;
  readonly table: ClaimTable;
  readonly own: OwnClaims;
  readonly held: HeldAnswers;
  readonly waiters: KeyWaiters;
  readonly peerLinks: PeerLinks;
}

/** A try, as its holder names it. */
export interface NamedTry extends ClaimReference {
  readonly holder: string;
}

/** Where a claimed try stands, and whether whoever has its answer could be asked. */
export interface FoundStanding extends StandingAnswer {
  readonly isReached: boolean;
}

/** Finds out where a claimed key stands: here, or at the daemon that has its answer. */
export class AnswerKeeper {
  constructor(private readonly dependencies: AnswerKeeperDependencies) {}

  /** Waits up to `milliseconds` for the end of a running request. */
  async find(
    entry: ClaimEntry,
    milliseconds: number,
    signal?: AbortSignal,
  ): Promise<FoundStanding> {
    const {holder, table} = this.dependencies;
    const keeper = table.keeperOf(entry.holder);
    if (keeper === holder) {
      const here = await this.standingHere(entry, milliseconds, signal);
      return withLog({...here, isReached: true}, entry);
    }
    try {
      const there = await this.ask(keeper, entry, milliseconds);
      return withLog({...there, isReached: true}, entry);
    } catch {
      return withLog({standing: Standing.Unknown, isReached: false}, entry);
    }
  }

  /** Where a try stands at this daemon; waits up to `milliseconds` while it runs. */
  async standingHere(
    named: NamedTry,
    milliseconds: number,
    signal?: AbortSignal,
  ): Promise<StandingAnswer> {
    const {holder, clock, held, own, waiters} = this.dependencies;
    const deadline = clock.monotonicMilliseconds() + milliseconds;
    for (;;) {
      const ended = held.get(named.holder, named.attempt);
      if (ended)
        return {standing: STANDING_OF_END[ended.end], answer: ended.answer};
      if (named.holder !== holder) return {standing: Standing.Unknown};
      const standing = own.standing(named);
      if (standing !== Standing.Running) return {standing};
      const left = deadline - clock.monotonicMilliseconds();
      if (left <= 0 || signal?.aborted) return {standing};
      await waiters.wait(named.key, left, signal);
    }
  }

  private async ask(
    keeper: string,
    {holder, key, attempt}: NamedTry,
    waitMilliseconds: number,
  ): Promise<StandingAnswer> {
    const message: AskMessage = {
      kind: ClaimMessageKind.Ask,
      holder,
      key,
      attempt,
      waitMilliseconds,
    };
    const answer = await this.dependencies.peerLinks.request(
      keeper,
      PeerTopic.KeyedAnswer,
      message,
      waitMilliseconds + LINK_MILLISECONDS,
    );
    return parseStanding(answer);
  }
}

const STANDING_OF_END: Readonly<Record<ClaimEnd, Standing>> = {
  [ClaimEnd.Finished]: Standing.Finished,
  [ClaimEnd.Lost]: Standing.Lost,
};

/** Where the keeper knows nothing, what the log says of the end stands. */
function withLog(found: FoundStanding, {end}: ClaimEntry): FoundStanding {
  if (found.standing !== Standing.Unknown || end === undefined) return found;
  return {...found, standing: STANDING_OF_END[end]};
}
