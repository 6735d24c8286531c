import {
  ErrorKind,
  MetricName,
  RequestError,
  RunOutcome,
  resolveNow,
  type Clock,
  type DaemonIdentity,
  type Logger,
  type Metrics,
  type Plugin,
  type RandomSource,
} from '@gentiandoor/kernel';
import {
  ClaimTable,
  PeerTopic,
  claimFingerprint,
  claimKey,
  type BatchVerdict,
  type ClaimBatch,
  type ClaimEntry,
  type KeyDecision,
  type KeyIssuer,
  type KeyedRequest,
  type OnceOnly,
  type PeerLinks,
  type PlatformLog,
  type SharedState,
} from '@gentiandoor/shared-state';
import {AnswerKeeper} from './answer-keeper.js';
import {
  ClaimMessageKind,
  Standing,
  parseClaimMessage,
  type AskMessage,
  type HandOverMessage,
} from './claim-messages.js';
import {ClaimWriter} from './claim-writer.js';
import {ClaimsFollower} from './claims-follower.js';
import {HandOver} from './hand-over.js';
import {HeldAnswers} from './held-answers.js';
import {IssuedKeys} from './key-issuer.js';
import {KeyWaiters} from './key-waiters.js';
import type {OnceOnlyOptions} from './once-only-options.js';
import {ClaimResult, OwnClaims} from './own-claims.js';

const MILLISECONDS_PER_SECOND = 1000;
/** Refused callers come back spread over so many seconds. */
const RETRY_SPREAD_SECONDS = 3;
/** When to ask again for a key whose holder is cut off, in seconds. */
const CUT_OFF_RETRY_SECONDS = 2;

/** What the claims need. */
export interface ClaimsOverLogDependencies {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly identity: DaemonIdentity;
  readonly platformLog: PlatformLog;
  readonly peerLinks: PeerLinks;
  readonly sharedState: Pick<SharedState, 'state'>;
  readonly onceOnlyOptions: OnceOnlyOptions;
}

/** A keyed request while it is decided. */
interface Asked {
  readonly request: KeyedRequest;
  readonly key: string;
  readonly fingerprint: string;
  readonly arrivedAt: number;
  readonly deadline: number;
  readonly signal?: AbortSignal;
}

/**
 * Recognises keyed requests at any daemon by claims in the log: the first claim of a key
 * in log order runs, and only after its daemon has read it back. docs/design/once-only.md
 * weighs the ways; packages/specification checks the protocol.
 */
export class ClaimsOverLog implements OnceOnly, KeyIssuer, Plugin {
  private readonly table: ClaimTable;
  private readonly held: HeldAnswers;
  private readonly waiters: KeyWaiters;
  private readonly writer: ClaimWriter;
  private readonly own: OwnClaims;
  private readonly follower: ClaimsFollower;
  private readonly keeper: AnswerKeeper;
  private readonly issued: IssuedKeys;
  private readonly stopping = new AbortController();
  private tasks: Promise<unknown> = Promise.resolve();
  private isDraining = false;

  private readonly dependencies: ClaimsOverLogDependencies;

  constructor(given: ClaimsOverLogDependencies) {
    const dependencies = resolveNow(
      given,
      'clock',
      'random',
      'logger',
      'metrics',
      'identity',
      'platformLog',
      'peerLinks',
      'sharedState',
      'onceOnlyOptions',
    );
    this.dependencies = dependencies;
    const {clock, identity, peerLinks, onceOnlyOptions} = dependencies;
    const holder = identity.incarnation;
    this.table = new ClaimTable(onceOnlyOptions.keys);
    this.held = new HeldAnswers({
      entries: onceOnlyOptions.held_answers,
      bytes: onceOnlyOptions.held_bytes,
      answerBytes: onceOnlyOptions.held_answer_bytes,
    });
    this.waiters = new KeyWaiters(clock);
    this.writer = new ClaimWriter(dependencies, holder);
    const {table, held, waiters, writer} = this;
    this.own = new OwnClaims({holder, table, writer, held, waiters});
    this.follower = new ClaimsFollower(dependencies, table, this);
    const {own} = this;
    this.keeper = new AnswerKeeper({
      holder,
      clock,
      table,
      own,
      held,
      waiters,
      peerLinks,
    });
    this.issued = new IssuedKeys(onceOnlyOptions);
  }

  async start(): Promise<void> {
    const {peerLinks} = this.dependencies;
    peerLinks.handle(PeerTopic.KeyedAnswer, async (_from, message) =>
      this.answerPeer(message),
    );
    const {signal} = this.stopping;
    this.tasks = Promise.all([
      this.follower.follow(signal),
      this.writer.write(signal),
    ]);
  }

  /**
   * Whether keyed requests may be sent here. A daemon that has just started refuses every key
   * until it has read the claims; while the log is out it is ready for all other requests.
   */
  get isReady(): boolean {
    return this.follower.isCaughtUp || this.follower.failingMilliseconds > 0;
  }

  async drain(): Promise<void> {
    this.isDraining = true;
    const {writer, own, held} = this;
    const handOver = new HandOver({
      ...this.pickForHandOver(),
      writer,
      own,
      held,
    });
    await handOver.run(
      this.dependencies.onceOnlyOptions.hand_over_milliseconds,
    );
  }

  async stop(): Promise<void> {
    this.stopping.abort();
    await this.tasks;
  }

  issueKey(caller: string): string | undefined {
    return this.issued.issue(caller, this.table.nextOffset);
  }

  async begin(
    request: KeyedRequest,
    signal?: AbortSignal,
  ): Promise<KeyDecision> {
    const {metrics} = this.dependencies;
    try {
      const decision = await this.decide(this.asked(request, signal));
      const name = decision.run ? 'run' : 'replayed';
      metrics.increment(MetricName.KeyedRequests, {decision: name});
      return decision;
    } catch (error) {
      if (error instanceof RequestError)
        metrics.increment(MetricName.KeyedRequests, {decision: error.kind});
      throw error;
    }
  }

  onBatch(batch: ClaimBatch, verdict: BatchVerdict): void {
    const {identity, metrics} = this.dependencies;
    for (const {key} of verdict.released) this.waiters.wake(key);
    metrics.gauge(MetricName.ClaimsKept, this.table.size);
    metrics.gauge(MetricName.HeldAnswerBytes, this.held.bytes);
    if (batch.holder === identity.incarnation && !verdict.stale)
      this.own.onOwnBatch(batch, verdict);
  }

  onGap(): void {
    this.own.giveUpAll();
  }

  private asked(request: KeyedRequest, signal?: AbortSignal): Asked {
    const {clock, onceOnlyOptions: options} = this.dependencies;
    const arrivedAt = clock.monotonicMilliseconds();
    const longest =
      options.claim_wait_milliseconds + options.answer_wait_milliseconds;
    return {
      request,
      key: claimKey(request),
      fingerprint: claimFingerprint(request),
      arrivedAt,
      deadline: arrivedAt + longest,
      signal,
    };
  }

  private async decide(asked: Asked): Promise<KeyDecision> {
    if (this.isDraining) throw draining();
    const bornAt = this.issued.bornAt(asked.request.caller, asked.request.key);
    do {
      const entry = this.table.get(asked.key);
      const decision = entry
        ? await this.resolve(asked, entry)
        : await this.claim(asked, bornAt);
      if (decision) return decision;
    } while (this.timeLeft(asked) > 0);
    throw this.unavailable(asked, 'the key did not come free in time');
  }

  /** Claims a free key; undefined when another try came first. */
  private async claim(
    asked: Asked,
    bornAt: number | undefined,
  ): Promise<KeyDecision | undefined> {
    this.refuseForgotten(bornAt);
    this.refuseUnavailable(asked);
    const {key, fingerprint, signal} = asked;
    const longest = this.dependencies.onceOnlyOptions.claim_wait_milliseconds;
    const deadline = Math.min(asked.deadline, this.now() + longest);
    if (this.own.isPending(key)) {
      await this.waiters.wait(key, deadline - this.now(), signal);
      return undefined;
    }
    const claim = this.own.begin(key, fingerprint, this.table.nextOffset);
    while (claim.result === ClaimResult.Pending) {
      await this.waiters.wait(key, deadline - this.now(), signal);
      if (this.now() >= deadline || signal?.aborted) this.own.giveUp(claim);
    }
    if (claim.result === ClaimResult.Won)
      return {run: true, claim: this.own.held(claim)};
    if (claim.result === ClaimResult.Taken) return undefined;
    if (claim.result === ClaimResult.Forgotten) throw forgotten();
    throw this.unavailable(asked, 'the log did not take the claim in time');
  }

  /** Finds the answer of a taken key; undefined when the key is coming free. */
  private async resolve(
    asked: Asked,
    entry: ClaimEntry,
  ): Promise<KeyDecision | undefined> {
    if (entry.fingerprint !== asked.fingerprint) {
      throw new RequestError(
        ErrorKind.KeyReused,
        'the key belongs to another request',
      );
    }
    const found = await this.keeper.find(
      entry,
      this.answerWait(asked),
      asked.signal,
    );
    if (found.answer) return {run: false, answer: found.answer};
    if (found.standing === Standing.Released) {
      await this.waiters.wait(asked.key, this.timeLeft(asked), asked.signal);
      return undefined;
    }
    const kind = KIND_OF_STANDING[found.standing];
    throw new RequestError(kind, `the key is ${found.standing}`, {
      retryAfterSeconds: found.isReached ? undefined : this.cutOffRetry(entry),
    });
  }

  // A key born below the horizon may have been claimed by a batch that is forgotten. The
  // offset in the key tells, whatever the clocks say.
  private refuseForgotten(bornAt: number | undefined): void {
    if (bornAt !== undefined && bornAt < this.table.horizon) throw forgotten();
  }

  private refuseUnavailable(asked: Asked): void {
    const {follower, writer} = this;
    const {onceOnlyOptions: options} = this.dependencies;
    if (!follower.isCaughtUp)
      throw this.unavailable(asked, 'the claims are still being read');
    const failing = Math.max(
      follower.failingMilliseconds,
      writer.failingMilliseconds,
    );
    if (failing > 0 && failing >= options.outage_milliseconds)
      throw this.unavailable(asked, 'the log has not answered for a while');
    if (this.waiters.size >= options.waiting_limit)
      throw this.unavailable(asked, 'too many requests wait for their claims');
  }

  // This request will not run. Whether an earlier one of the same key did is known only
  // when the log has said, since this one came, that nothing is left to read: a caller who
  // was cut off from a request that ran must not hear "not run" from its retry.
  private unavailable(asked: Asked, detail: string): RequestError {
    const isProven =
      this.follower.isCurrentAsOf(asked.arrivedAt) &&
      this.table.get(asked.key) === undefined;
    const soonest = Math.ceil(
      this.writer.nextAttemptMilliseconds / MILLISECONDS_PER_SECOND,
    );
    const spread = this.dependencies.random.nextInteger(RETRY_SPREAD_SECONDS);
    return new RequestError(ErrorKind.ClaimUnavailable, detail, {
      run: isProven ? RunOutcome.NotRun : RunOutcome.Unknown,
      retryAfterSeconds: Math.max(1, soonest) + spread,
    });
  }

  /** A holder that is a member still may be cut off only: its answer may come back. */
  private cutOffRetry({holder}: ClaimEntry): number | undefined {
    const {members} = this.dependencies.sharedState.state;
    const keeper = this.table.keeperOf(holder);
    return members.has(keeper) ? CUT_OFF_RETRY_SECONDS : undefined;
  }

  private async answerPeer(message: unknown): Promise<unknown> {
    const parsed = parseClaimMessage(message);
    if (parsed.kind === ClaimMessageKind.HandOver) return this.inherit(parsed);
    return this.answerAsk(parsed);
  }

  private answerAsk(message: AskMessage): Promise<unknown> {
    const {answer_wait_milliseconds: longest, waiting_limit: limit} =
      this.dependencies.onceOnlyOptions;
    const isFull = this.waiters.size >= limit;
    const wait = isFull ? 0 : Math.min(longest, message.waitMilliseconds);
    return this.keeper.standingHere(message, wait);
  }

  private inherit({ends}: HandOverMessage): {taken: number} {
    if (this.isDraining) throw new Error('this daemon is stopping itself');
    for (const named of ends) this.held.put(named);
    return {taken: ends.length};
  }

  private pickForHandOver() {
    const {clock, logger, identity, peerLinks} = this.dependencies;
    return {clock, logger, identity, peerLinks};
  }

  private answerWait(asked: Asked): number {
    const {answer_wait_milliseconds: longest, waiting_limit: limit} =
      this.dependencies.onceOnlyOptions;
    if (this.waiters.size >= limit) return 0;
    return Math.max(0, Math.min(longest, this.timeLeft(asked)));
  }

  private timeLeft({deadline, signal}: Asked): number {
    return signal?.aborted ? 0 : deadline - this.now();
  }

  private now(): number {
    return this.dependencies.clock.monotonicMilliseconds();
  }
}

const KIND_OF_STANDING: Readonly<
  Record<Exclude<Standing, Standing.Released>, ErrorKind>
> = {
  [Standing.Running]: ErrorKind.KeyInProgress,
  [Standing.Finished]: ErrorKind.KeyAlreadyRun,
  [Standing.Lost]: ErrorKind.KeyOutcomeUnknown,
  [Standing.Unknown]: ErrorKind.KeyOutcomeUnknown,
};

/** Says nothing of the key's earlier requests, which this daemon no longer looks for. */
function draining(): RequestError {
  return new RequestError(ErrorKind.Draining, 'this daemon is stopping', {
    run: RunOutcome.Unknown,
  });
}

function forgotten(): RequestError {
  return new RequestError(
    ErrorKind.KeyForgotten,
    'the key is older than the claims that are kept',
  );
}
