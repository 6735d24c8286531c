import {
  LogEvent,
  sleep,
  toError,
  type Clock,
  type DaemonIdentity,
  type Logger,
} from '@gentiandoor/kernel';
import {PeerTopic, type Peer, type PeerLinks} from '@gentiandoor/shared-state';
import {
  ClaimMessageKind,
  parseHandOverResponse,
  type HandOverMessage,
} from './claim-messages.js';
import type {ClaimWriter} from './claim-writer.js';
import {
  answerSizeBytes,
  type HeldAnswers,
  type AttemptOutcome,
} from './held-answers.js';
import type {OwnClaims} from './own-claims.js';

/** Bytes of answers in one message: small enough to leave a link free for other traffic. */
const MAXIMUM_MESSAGE_BYTES = 262_144;
const MAXIMUM_MESSAGE_ENDS = 500;
const POLL_INTERVAL_MILLISECONDS = 10;

/** What the hand-over needs. */
export interface AnswerHandOverDependencies {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly identity: DaemonIdentity;
  readonly peerLinks: PeerLinks;
  readonly writer: ClaimWriter;
  readonly ownClaims: OwnClaims;
  readonly heldAnswers: HeldAnswers;
}

/**
 * Hands held answers to another daemon before a planned stop, so that a retry after a
 * rolling restart still gets its whole answer. Without it every stop leaves keys whose
 * answer is gone. The heir takes them first, then the log says who it is.
 */
export class AnswerHandOver {
  constructor(private readonly dependencies: AnswerHandOverDependencies) {}

  /** Ends within `milliseconds`, whatever the peers and the log do. */
  async run(milliseconds: number): Promise<void> {
    const {clock, ownClaims: own, writer} = this.dependencies;
    const deadline = clock.monotonicMilliseconds() + milliseconds;
    await this.waitUntil(() => own.runningCount === 0, deadline);
    const heir = await this.sendToFirstAccepting(deadline);
    if (heir !== undefined) writer.setSuccessor(heir);
    writer.flush();
    await this.waitUntil(() => writer.isEmpty, deadline);
  }

  private async sendToFirstAccepting(
    deadline: number,
  ): Promise<string | undefined> {
    const {logger, heldAnswers: held} = this.dependencies;
    if (held.size === 0) return undefined;
    for (const peer of this.candidates()) {
      try {
        const answers = await this.sendTo(peer, deadline);
        logger.info(LogEvent.AnswersHandedOver, {to: peer.name, answers});
        return peer.incarnation;
      } catch (error) {
        logger.debug(LogEvent.AnswersNotHandedOver, {
          to: peer.name,
          error: toError(error).message,
        });
      }
    }
    logger.warn(LogEvent.AnswersNotHandedOver, {answers: held.size});
    return undefined;
  }

  /** Peers of the own data centre first: a cut between data centres leaves them in reach. */
  private candidates(): Peer[] {
    const {identity, peerLinks} = this.dependencies;
    const distance = ({dataCentre}: Peer) =>
      dataCentre === identity.dataCentre ? 0 : 1;
    return [...peerLinks.connected()].sort(
      (left, right) =>
        distance(left) - distance(right) ||
        (left.incarnation < right.incarnation ? -1 : 1),
    );
  }

  private async sendTo(peer: Peer, deadline: number): Promise<number> {
    const {clock, peerLinks} = this.dependencies;
    let handed = 0;
    for (const ends of this.messageBatches()) {
      const left = deadline - clock.monotonicMilliseconds();
      // What is left out was run and says so: the log has its outcome.
      if (left <= 0 && handed > 0) break;
      const message: HandOverMessage = {kind: ClaimMessageKind.HandOver, ends};
      const answer = await peerLinks.request(
        peer.incarnation,
        PeerTopic.KeyedAnswer,
        message,
        Math.max(1, left),
      );
      handed += parseHandOverResponse(answer).taken;
    }
    return handed;
  }

  /** Newest first: they are the likeliest to be asked for, should time run out. */
  private messageBatches(): AttemptOutcome[][] {
    const messages: AttemptOutcome[][] = [];
    let ends: AttemptOutcome[] = [];
    let bytes = 0;
    for (const named of [...this.dependencies.heldAnswers.all()].reverse()) {
      const size = named.answer ? answerSizeBytes(named.answer) : 0;
      const isFull =
        bytes + size > MAXIMUM_MESSAGE_BYTES ||
        ends.length >= MAXIMUM_MESSAGE_ENDS;
      if (isFull && ends.length > 0) {
        messages.push(ends);
        ends = [];
        bytes = 0;
      }
      ends.push(named);
      bytes += size;
    }
    return ends.length > 0 ? [...messages, ends] : messages;
  }

  private async waitUntil(
    condition: () => boolean,
    deadline: number,
  ): Promise<void> {
    const {clock} = this.dependencies;
    while (!condition() && clock.monotonicMilliseconds() < deadline)
      await sleep(clock, POLL_INTERVAL_MILLISECONDS);
  }
}
