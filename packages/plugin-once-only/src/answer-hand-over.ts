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

/**
 * Maximum bytes of answers in one message, small enough not to block other traffic on the
 * link.
 */
const MAXIMUM_MESSAGE_BYTES = 262_144;
const MAXIMUM_MESSAGE_ENDS = 500;
const POLL_INTERVAL_MILLISECONDS = 10;

/** Dependencies of `AnswerHandOver`. */
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
 * Hands held answers over to another daemon before a planned stop, so that a retry after a
 * rolling restart still gets its complete answer. Without it, every stop leaves keys whose
 * answer is lost. The successor accepts the answers first; only then does the log name it.
 */
export class AnswerHandOver {
  constructor(private readonly dependencies: AnswerHandOverDependencies) {}

  /** Runs the hand-over. Returns within `milliseconds` even if peers or the log don't respond. */
  async run(milliseconds: number): Promise<void> {
    const {clock, ownClaims, writer} = this.dependencies;
    const deadline = clock.monotonicMilliseconds() + milliseconds;
    await this.waitUntil(() => ownClaims.runningCount === 0, deadline);
    const successor = await this.sendToFirstAccepting(deadline);
    if (successor !== undefined) writer.setSuccessor(successor);
    writer.flush();
    await this.waitUntil(() => writer.isEmpty, deadline);
  }

  private async sendToFirstAccepting(
    deadline: number,
  ): Promise<string | undefined> {
    const {logger, heldAnswers} = this.dependencies;
    if (heldAnswers.size === 0) return undefined;
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
    logger.warn(LogEvent.AnswersNotHandedOver, {answers: heldAnswers.size});
    return undefined;
  }

  /**
   * Returns the peers, own data centre first: they stay reachable in a partition between data
   * centres.
   */
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
    let acceptedCount = 0;
    for (const outcomes of this.messageBatches()) {
      const remainingMilliseconds = deadline - clock.monotonicMilliseconds();
      // The remaining answers are dropped. Their keys still count as run: the log has the outcomes.
      if (remainingMilliseconds <= 0 && acceptedCount > 0) break;
      const message: HandOverMessage = {
        kind: ClaimMessageKind.HandOver,
        ends: outcomes,
      };
      const response = await peerLinks.request(
        peer.incarnation,
        PeerTopic.KeyedAnswer,
        message,
        Math.max(1, remainingMilliseconds),
      );
      acceptedCount += parseHandOverResponse(response).taken;
    }
    return acceptedCount;
  }

  /**
   * Splits the answers into batches, newest first: those are the most likely to be requested
   * if time runs out.
   */
  private messageBatches(): AttemptOutcome[][] {
    const batches: AttemptOutcome[][] = [];
    let batch: AttemptOutcome[] = [];
    let bytes = 0;
    for (const outcome of [...this.dependencies.heldAnswers.all()].reverse()) {
      const size = outcome.answer ? answerSizeBytes(outcome.answer) : 0;
      const isFull =
        bytes + size > MAXIMUM_MESSAGE_BYTES ||
        batch.length >= MAXIMUM_MESSAGE_ENDS;
      if (isFull && batch.length > 0) {
        batches.push(batch);
        batch = [];
        bytes = 0;
      }
      batch.push(outcome);
      bytes += size;
    }
    return batch.length > 0 ? [...batches, batch] : batches;
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
